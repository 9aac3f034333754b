//! Messages between the status service and the operators' port.

/// Requests this node's status.
#[derive(Debug, Clone, Copy)]
pub struct StatusRequest {
    /// Correlates the reply with this request.
    pub token: u64,
}

/// This node's status.
#[derive(Debug, Clone)]
pub struct StatusReply {
    /// Token of the request.
    pub token: u64,
    /// The status as JSON.
    pub json: String,
}
