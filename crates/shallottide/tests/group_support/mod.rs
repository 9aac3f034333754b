//! A failure domain in one process: groups services, a platform, engines and a clock that
//! the test moves.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod bench;
mod engine;
mod records;

pub(crate) use bench::Bench;
pub(crate) use engine::FakeEngine;
pub(crate) use records::*;
