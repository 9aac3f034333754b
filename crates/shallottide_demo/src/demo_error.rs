//! Errors of the demo.

use shallottide::node::NodeError;
use shallottide::operate::Outcome;
use shallottide::platform_client::PlatformOptionsError;
use shallottide_types::id::IdError;
use shallottide_types::platform::PlatformError;
use shallottide_types::record::RecordError;
use standin::http::StartError;

/// Reason why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A stand-in can't start.
    #[error("stand-in: {0}")]
    StandIn(#[from] StartError),
    /// A node can't start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The platform client can't be built.
    #[error(transparent)]
    Client(#[from] PlatformOptionsError),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A sample record is malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A sample id is malformed.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A sample record was not written. Holds the outcome.
    #[error("sample record was not applied: {0:?}")]
    RecordNotApplied(Box<Outcome>),
    /// A call to an entry node failed.
    #[error("call failed: {0}")]
    Http(#[from] Box<ureq::Error>),
    /// A call was still refused when the wait for the cluster ended.
    #[error("{what} still got status {status} when the wait ended: {body}")]
    NotServing {
        /// Name of the call.
        what: &'static str,
        /// HTTP status of the last answer.
        status: u16,
        /// Body of the last answer.
        body: String,
    },
    /// A check of the demo failed. Holds the requirement that was not met.
    #[error("{0}")]
    CheckFailed(String),
    /// The output can't be written.
    #[error("output can't be written: {0}")]
    Output(#[from] std::io::Error),
}

impl From<ureq::Error> for DemoError {
    fn from(e: ureq::Error) -> Self {
        Self::Http(Box::new(e))
    }
}
