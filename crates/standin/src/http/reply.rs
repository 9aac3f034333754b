//! A complete HTTP response.

use serde::Serialize;

/// A complete response with a known length.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers except `Content-Length`.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// Creates a response with a JSON body.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("plain data can be written as JSON");
        let headers = vec![("Content-Type", "application/json".into())];
        Self {
            status,
            headers,
            body,
        }
    }

    /// Creates an error response with a message.
    pub(crate) fn error(status: u16, message: impl AsRef<str>) -> Self {
        Self::json(status, &serde_json::json!({"error": message.as_ref()}))
    }

    /// Creates a refusal that states that the request did not run.
    pub(crate) fn not_run(message: impl AsRef<str>, request_id: &str) -> Self {
        Self::error(503, message)
            .header("X-Not-Run", "1")
            .header("X-Request-Id", request_id)
    }

    /// Adds a header.
    #[must_use]
    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Returns the status line and headers; `framing` is the header that defines the body's length.
    pub(super) fn head(&self, framing: &str) -> String {
        let lines = self.headers.iter();
        let lines = lines.map(|(name, value)| [name, ": ", value, "\r\n"].concat());
        let lines: String = lines.collect();
        format!(
            "HTTP/1.1 {} Answer\r\n{framing}\r\n{lines}\r\n",
            self.status
        )
    }
}
