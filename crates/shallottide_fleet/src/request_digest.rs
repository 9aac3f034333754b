//! Digests of requests, which stay the same when a caller sends a request again.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use http::{Method, Uri};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of what makes a request the same one when it comes again, under another id and at another
/// node: its method, path and query, caller and body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request; `caller` is the team, if it has one.
    #[must_use]
    pub fn new(method: &Method, uri: &Uri, caller: Option<&str>, body: &[u8]) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        let mut hash = Sha256::new();
        for field in [method.as_str(), path, caller.unwrap_or_default()] {
            hash.update(field);
            // No field contains this byte.
            hash.update([0]);
        }
        hash.update(body);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize()[..8]);
        Self(u64::from_be_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    /// Parses up to 16 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
