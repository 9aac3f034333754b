//! A failure domain in one process: groups services, a platform, engines and a clock that
//! the test moves; and single nodes whose views the test sets.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod bench;
mod desk;
mod engine;
mod records;

pub(crate) use bench::Bench;
pub(crate) use desk::{Desk, ME, PEER, group, server};
pub(crate) use engine::FakeEngine;
pub(crate) use records::*;
