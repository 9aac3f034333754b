//! Tells a connection that was never opened from one that failed later.

use ureq::Error;
use ureq::unversioned::transport::{ConnectionDetails, Connector, DefaultConnector, Transport};

/// A connection that could not be opened; no byte was sent.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct NotConnected(String);

/// Opens connections and marks every failure to do so as [`NotConnected`].
///
/// The kinds of I/O errors alone don't tell: an open connection can fail with "host
/// unreachable" too, after bytes were sent.
#[derive(Debug, Default)]
pub(crate) struct MarkingConnector(DefaultConnector);

impl Connector for MarkingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        self.0
            .connect(details, chained)
            .map_err(|e| Error::Other(Box::new(NotConnected(e.to_string()))))
    }
}

/// Returns the reason when a call failed before any byte was sent.
pub(crate) fn connect_failure_reason(error: &Error) -> Option<String> {
    match error {
        Error::Other(source) => Some(source.downcast_ref::<NotConnected>()?.to_string()),
        Error::HostNotFound | Error::Timeout(ureq::Timeout::Resolve) => Some(error.to_string()),
        _ => None,
    }
}
