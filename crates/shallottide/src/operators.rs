//! The operator border: serves the node's status on the operators' port.

mod operator_border;

pub use operator_border::OperatorBorder;
