//! The faults of `fault_run` and the rows of its result table.

mod fault;
mod fault_context;
mod row;

pub(crate) use fault::{FAULTS, Fault, choose_faults};
pub(crate) use fault_context::FaultContext;
pub(crate) use row::{Row, heading};
