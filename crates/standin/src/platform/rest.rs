//! JSON bodies of the key-value service's HTTP interface.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::duration_text;
use shallottide_types::platform::Vm;

use super::platform_faults::PlatformFaults;
use super::store::Stored;

/// One entry in the response to `GET /v1/kv/KEY`.
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
    /// Creates the JSON entry of a stored value.
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
pub(super) struct SessionRequest {
    /// Time to live without a renewal.
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

/// The response to creating or renewing a session.
#[derive(Debug, Serialize)]
pub(super) struct SessionReply {
    /// Session id.
    #[serde(rename = "ID")]
    pub(super) id: String,
}

data! {
    /// The body of `PUT /control`; each field that is present replaces the current setting.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformControl {
        /// New values of all fault switches.
        pub faults: Option<PlatformFaults>,
        /// The VM list of all failure domains.
        pub vms: Option<Vec<Vm>>,
    }
}
