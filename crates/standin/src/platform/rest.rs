//! What the key-value service says over HTTP.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::duration_text;
use shallottide_types::platform::Vm;

use super::platform_faults::PlatformFaults;
use super::store::Stored;

/// One value, as `GET /v1/kv/KEY` shows it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KvEntry {
    key: String,
    /// Base64.
    value: String,
    modify_index: u64,
    create_index: u64,
    lock_index: u64,
    flags: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<String>,
}

impl KvEntry {
    /// Shows one stored value.
    pub(super) fn new(key: &str, stored: &Stored) -> Self {
        Self {
            key: key.into(),
            value: STANDARD.encode(&stored.value),
            modify_index: stored.modified,
            create_index: stored.created,
            lock_index: stored.locked,
            flags: 0,
            session: stored.session.clone(),
        }
    }
}

/// The body of `PUT /v1/session/create`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionWanted {
    /// Time to live.
    #[serde(rename = "TTL", with = "duration_text")]
    pub(super) ttl: Duration,
    /// Only `0s` is supported.
    #[serde(default, with = "duration_text")]
    pub(super) lock_delay: Duration,
    /// Only `release` is supported.
    #[serde(default = "release")]
    pub(super) behavior: String,
}

fn release() -> String {
    "release".into()
}

/// Names a session.
#[derive(Debug, Serialize)]
pub(super) struct SessionName {
    /// The session.
    #[serde(rename = "ID")]
    pub(super) id: String,
}

data! {
    /// The body of `PUT /control`: what is given replaces what was set.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformControl {
        /// All fault switches.
        pub faults: Option<PlatformFaults>,
        /// The VM list of all failure domains.
        pub vms: Option<Vec<Vm>>,
    }
}
