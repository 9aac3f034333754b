//! JSON forms of the platform's HTTP interface.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use shallottide_types::id::StoreIndex;
use shallottide_types::platform::Entry;

/// One stored value; fields that this program doesn't use are left out.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireEntry {
    key: String,
    value: Option<String>,
    modify_index: u64,
    session: Option<String>,
}

impl TryFrom<WireEntry> for Entry {
    type Error = base64::DecodeError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            key: wire.key,
            value: STANDARD.decode(wire.value.unwrap_or_default())?,
            index: StoreIndex(wire.modify_index),
            session: wire.session.filter(|session| !session.is_empty()),
        })
    }
}

/// Asks for a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireSessionWanted {
    #[serde(rename = "TTL")]
    pub(super) ttl: String,
    pub(super) lock_delay: &'static str,
    pub(super) behavior: &'static str,
}

/// A session that was opened.
#[derive(Debug, Deserialize)]
pub(super) struct WireSession {
    #[serde(rename = "ID")]
    pub(super) id: String,
}

/// Escapes everything in a key but letters, digits, `/` and the marks that need no escape.
pub(super) fn escaped(key: &str) -> String {
    key.bytes().map(escaped_byte).collect()
}

fn escaped_byte(byte: u8) -> String {
    if byte.is_ascii_alphanumeric() || b"/-_.~:".contains(&byte) {
        char::from(byte).to_string()
    } else {
        format!("%{byte:02X}")
    }
}
