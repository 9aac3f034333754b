//! One server of a plain service, in two schema versions.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::field::{Field, MergeRule, replaced};
use super::merge::{Fields, rename};
use super::{Document, RecordError, RecordKind};
use crate::data;
use crate::id::{DomainId, ServiceId, UpstreamId};

data! {
    /// One server of a plain service.
    pub struct UpstreamRecord {
        /// The upstream.
        pub id: UpstreamId,
        /// Address that the server listens on.
        pub address: SocketAddr,
        /// Its failure domain.
        pub failure_domain: DomainId,
        /// The service that the upstream belongs to; for an upstream of the old system that serves
        /// a model, the name of the model.
        pub service: ServiceId,
        /// Limit of requests in flight while the server is not yet warm; at least 1, at most
        /// `full_limit`.
        pub cold_limit: u32,
        /// Limit of requests in flight when the server is warm.
        pub full_limit: u32,
        /// Whether the upstream takes new work.
        #[serde(default)]
        pub state: UpstreamState,
        /// Whether the upstream belongs to the old system or the new one.
        #[serde(default)]
        pub generation: Generation,
    }

    /// Whether an upstream takes new work.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, Default)]
    pub enum UpstreamState {
        /// The upstream takes new work.
        #[default]
        Serving,
        /// The upstream gets no new work; requests in flight are completed (drain).
        Leaving,
    }

    /// Which of two systems an upstream belongs to while both run side by side.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, PartialOrd, Ord, Default)]
    pub enum Generation {
        /// The system being replaced.
        Old,
        /// The replacement.
        #[default]
        New,
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Old => "old",
            Self::New => "new",
        })
    }
}

/// Schema 1. It has one limit for cold and warm servers, `zone` for the failure domain and the flag
/// `leaving` for the state.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamV1 {
    id: UpstreamId,
    address: SocketAddr,
    zone: DomainId,
    service: ServiceId,
    limit: u32,
    #[serde(default)]
    leaving: bool,
}

impl UpstreamV1 {
    fn check(self) -> Result<Self, RecordError> {
        if self.limit > 0 {
            return Ok(self);
        }
        Err(RecordError::Range {
            kind: RecordKind::Upstream,
            field: "limit",
            remedy: "write at least 1".into(),
        })
    }
}

/// Schema 1 has no cold limit; it is derived as the full limit divided by this, rounded up.
const V1_COLD_DIVISOR: u32 = 8;

impl From<UpstreamV1> for UpstreamRecord {
    fn from(v1: UpstreamV1) -> Self {
        Self {
            id: v1.id,
            address: v1.address,
            failure_domain: v1.zone,
            service: v1.service,
            cold_limit: v1.limit.div_ceil(V1_COLD_DIVISOR),
            full_limit: v1.limit,
            state: if v1.leaving {
                UpstreamState::Leaving
            } else {
                UpstreamState::Serving
            },
            generation: Generation::Old,
        }
    }
}

impl UpstreamRecord {
    /// Newest schema version.
    pub const NEWEST_SCHEMA: u64 = 2;

    /// Known fields of each schema version, oldest first.
    pub(super) const SCHEMAS: &'static [&'static [Field]] = &[
        &[
            replaced("id"),
            replaced("address"),
            replaced("zone"),
            replaced("service"),
            replaced("limit"),
            Field {
                name: "leaving",
                rule: MergeRule::KeptIfOmitted,
            },
        ],
        &[
            replaced("id"),
            replaced("address"),
            replaced("failure_domain"),
            replaced("service"),
            replaced("cold_limit"),
            replaced("full_limit"),
            Field {
                name: "state",
                rule: MergeRule::KeptIfOmitted,
            },
            replaced("generation"),
        ],
    ];

    /// Converts the fields of schema 1 to those of schema 2; fields new in schema 2 stay absent.
    pub(super) fn upgrade_v1(mut fields: Fields) -> Fields {
        rename(&mut fields, "zone", "failure_domain");
        rename(&mut fields, "limit", "full_limit");
        if let Some(leaving) = fields.remove("leaving") {
            let state = if leaving == Value::Bool(true) {
                "leaving"
            } else {
                "serving"
            };
            fields.insert("state".into(), state.into());
        }
        fields
    }

    /// Sets the state of the upstream that a document describes, in the field that its schema
    /// version has for it.
    ///
    /// # Errors
    /// [`RecordError`] when the document's schema version is missing or not known.
    pub fn set_state(document: &mut Document, state: UpstreamState) -> Result<(), RecordError> {
        let leaving = state == UpstreamState::Leaving;
        match document.schema()? {
            1 => document.set("leaving", leaving),
            2 => document.set("state", if leaving { "leaving" } else { "serving" }),
            _ => return document.unknown_schema(Self::NEWEST_SCHEMA),
        }
        Ok(())
    }

    /// Converts a document of any known schema version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        let record: Self = match document.schema()? {
            1 => document.parse::<UpstreamV1>()?.check()?.into(),
            2 => document.parse()?,
            _ => return document.unknown_schema(Self::NEWEST_SCHEMA),
        };
        record.check()
    }

    fn check(self) -> Result<Self, RecordError> {
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return Err(RecordError::Range {
                kind: RecordKind::Upstream,
                field: "address",
                remedy: "write the server's own IP number and port".into(),
            });
        }
        if (1..=self.full_limit).contains(&self.cold_limit) {
            return Ok(self);
        }
        Err(RecordError::Range {
            kind: RecordKind::Upstream,
            field: "cold_limit",
            remedy: format!("write 1 to full_limit ({})", self.full_limit),
        })
    }
}
