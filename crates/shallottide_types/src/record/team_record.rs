//! A team of callers, its keys and limits.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::field::{Field, replaced};
use super::{Document, RecordError};
use crate::data;
use crate::id::TeamId;
use crate::quantity::PerSecond;

/// The SHA-256 hash of a bearer key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || format!("key hash {text:?} is not valid: write 64 hex digits of SHA-256");
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut hash = [0; 32];
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

data! {
    /// One team of callers.
    pub struct TeamRecord {
        /// The team.
        pub id: TeamId,
        /// Hashes of the bearer keys that are valid now.
        pub key_hashes: Vec<KeyHash>,
        /// Maximum rate of requests, summed over a failure domain.
        pub rate: PerSecond,
        /// Maximum number of requests in flight, summed over a failure domain.
        pub max_in_flight: u32,
        /// Priority of the requests; those with a higher value go first when upstreams are full.
        #[serde(default)]
        pub priority: u8,
    }
}

impl TeamRecord {
    /// Newest schema version.
    pub const NEWEST_SCHEMA: u64 = 1;

    /// Known fields of each schema version, oldest first.
    pub(super) const SCHEMAS: &'static [&'static [Field]] = &[&[
        replaced("id"),
        replaced("key_hashes"),
        replaced("rate"),
        replaced("max_in_flight"),
        replaced("priority"),
    ]];

    /// Converts a document of any known schema version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        match document.schema()? {
            1 => document.parse(),
            _ => document.unknown_schema(Self::NEWEST_SCHEMA),
        }
    }
}
