//! The operator adapter: serves the node's status on the operators' port.

mod operator_adapter;

pub use operator_adapter::OperatorAdapter;
