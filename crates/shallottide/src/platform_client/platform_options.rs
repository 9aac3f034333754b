//! Options of the platform client.

use std::time::Duration;

use shallottide_types::secret::Secret;

/// Addresses, access token and limits of the platform client.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Base addresses such as `http://10.0.0.1:8500`, tried in turn. Never empty.
    pub addresses: Vec<String>,
    /// Access token; empty when the platform requires none.
    pub token: Secret,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from the open connection to the end of the answer; a watch's wait is added.
    pub answer_timeout: Duration,
    /// Largest accepted answer, in bytes.
    pub max_answer_bytes: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            token: Secret::default(),
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(2),
            max_answer_bytes: 64 << 20,
        }
    }
}

impl PlatformOptions {
    /// Sets the base addresses.
    #[must_use]
    pub fn addresses<T: Into<String>>(mut self, addresses: impl IntoIterator<Item = T>) -> Self {
        self.addresses = addresses.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the access token.
    #[must_use]
    pub fn token(mut self, token: Secret) -> Self {
        self.token = token;
        self
    }

    /// Sets the longest time to open a connection.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the longest time to wait for an answer.
    #[must_use]
    pub fn answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }

    /// Validates the base addresses and returns them without a slash at the end.
    pub(super) fn validated_addresses(&self) -> Result<Vec<String>, PlatformOptionsError> {
        if self.addresses.is_empty() {
            return Err(PlatformOptionsError::NoAddress);
        }
        self.addresses
            .iter()
            .map(|text| validate_address(text))
            .collect()
    }
}

/// Why platform options can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformOptionsError {
    /// The list of addresses is empty.
    #[error("platform has no address: add one such as \"http://10.0.0.1:8500\"")]
    NoAddress,
    /// An address is not of the form `http://HOST:PORT`.
    #[error("platform address {0:?} is not valid: write \"http://HOST:PORT\"")]
    Address(String),
}

fn validate_address(text: &str) -> Result<String, PlatformOptionsError> {
    let base = text.trim_end_matches('/');
    let error = || PlatformOptionsError::Address(text.into());
    let uri: http::Uri = base.parse().map_err(|_| error())?;
    let is_base = uri.scheme_str() == Some("http")
        && uri.host().is_some_and(|host| !host.is_empty())
        && uri.path() == "/"
        && uri.query().is_none();
    if is_base {
        Ok(base.into())
    } else {
        Err(error())
    }
}
