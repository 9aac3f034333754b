//! A simulated failure domain in one process (groups services, a platform, engines and a manual
//! clock), and a single node whose views the test sets.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod dispatcher_harness;
mod domain_sim;
mod fake_engine;
mod records;

pub(crate) use dispatcher_harness::{DispatcherHarness, ME, PEER, group, server};
pub(crate) use domain_sim::DomainSim;
pub(crate) use fake_engine::FakeEngine;
pub(crate) use records::*;
