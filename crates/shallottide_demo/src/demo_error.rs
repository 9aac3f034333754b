//! What can go wrong in the demo.

use shallottide::node::NodeError;
use shallottide::operate::Outcome;
use shallottide::platform_client::PlatformOptionsError;
use shallottide_types::id::IdError;
use shallottide_types::platform::PlatformError;
use shallottide_types::record::RecordError;
use standin::http::StartError;

/// Why the demo failed.
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
    /// The platform refused a call.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A sample record is malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// A sample id is malformed.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A record was not accepted.
    #[error("record was not accepted: {0:?}")]
    NotAccepted(Box<Outcome>),
    /// A call could not be made.
    #[error("call failed: {0}")]
    Http(#[from] Box<ureq::Error>),
    /// The cluster did not serve in time.
    #[error("{what} gave status {status} to the end of the wait: {body}")]
    NotServing {
        /// What was asked for.
        what: &'static str,
        /// Last status.
        status: u16,
        /// Last body.
        body: String,
    },
    /// Something that must hold did not.
    #[error("{0}")]
    Broken(String),
    /// Output can't be written.
    #[error("output can't be written: {0}")]
    Output(#[from] std::io::Error),
}

impl From<ureq::Error> for DemoError {
    fn from(e: ureq::Error) -> Self {
        Self::Http(Box::new(e))
    }
}
