//! Distinguishes failures to connect from failures of an open connection.

use ureq::Error;
use ureq::unversioned::transport::{ConnectionDetails, Connector, DefaultConnector, Transport};

/// The connection could not be opened, so no byte was sent.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct NotConnected(String);

/// Opens connections and reports every failure to do so as [`NotConnected`].
///
/// The kind of an I/O error is not enough: an open connection can also fail with "host
/// unreachable", after bytes were sent.
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

/// Returns why the connection could not be opened, or `None` if bytes may have been sent.
pub(crate) fn connect_failure_reason(error: &Error) -> Option<String> {
    match error {
        Error::Other(source) => Some(source.downcast_ref::<NotConnected>()?.to_string()),
        Error::HostNotFound | Error::Timeout(ureq::Timeout::Resolve) => Some(error.to_string()),
        _ => None,
    }
}
