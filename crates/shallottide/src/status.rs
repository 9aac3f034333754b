//! This node's status page for operators, as JSON.

mod status_page;
mod status_service;

pub use status_page::{
    GroupStatus, InvalidRecord, LoadStatus, NodeStatus, RecordCounts, StatusPage, UpstreamStatus,
};
pub use status_service::StatusService;
