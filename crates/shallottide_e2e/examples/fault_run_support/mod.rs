//! The faults of `fault_run` and the rows of its table.

mod fault;
mod row;
mod stage;

pub(crate) use fault::{FAULTS, Fault, together};
pub(crate) use row::{Row, heading};
pub(crate) use stage::Stage;
