//! Border: the operators' port, with the node's status.

mod operator_border;

pub use operator_border::OperatorBorder;
