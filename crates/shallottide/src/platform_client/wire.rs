//! JSON types of the platform's HTTP API.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use shallottide_types::id::{StoreEra, StoreIndex};
use shallottide_types::platform::Entry;

/// A stored key and value. Unused fields are ignored.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireEntry {
    key: String,
    value: Option<String>,
    modify_index: u64,
    session: Option<String>,
}

impl WireEntry {
    /// Converts to an entry that was read in an era of the store.
    pub(super) fn into_entry(self, era: StoreEra) -> Result<Entry, base64::DecodeError> {
        Ok(Entry {
            key: self.key,
            value: STANDARD.decode(self.value.unwrap_or_default())?,
            index: StoreIndex::new(era, self.modify_index),
            session: self.session.filter(|session| !session.is_empty()),
        })
    }
}

/// A request to open a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireSessionRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: String,
    pub(super) lock_delay: &'static str,
    pub(super) behavior: &'static str,
}

/// The answer to a [`WireSessionRequest`].
#[derive(Debug, Deserialize)]
pub(super) struct WireSession {
    #[serde(rename = "ID")]
    pub(super) id: String,
}

/// Percent-encodes a key, except letters, digits, `/` and the characters that need no escape.
pub(super) fn escape_key(key: &str) -> String {
    key.bytes().map(escape_byte).collect()
}

fn escape_byte(byte: u8) -> String {
    if byte.is_ascii_alphanumeric() || b"/-_.~:".contains(&byte) {
        char::from(byte).to_string()
    } else {
        format!("%{byte:02X}")
    }
}
