//! How a model is served by groups of VMs, in two schema versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Document, RecordError, RecordKind, TrafficSplit};
use crate::data;
use crate::id::{DomainId, ModelId};

data! {
    /// How a model is served.
    pub struct ModelRecord {
        /// The model.
        pub id: ModelId,
        /// VMs in one group. At least 1.
        pub vms_per_group: u8,
        /// Wanted groups in each failure domain.
        pub groups: BTreeMap<DomainId, u32>,
        /// Requests in flight a freshly loaded group bears. At least 1, at most `full_limit`.
        pub cold_limit: u32,
        /// Requests in flight a warm group bears.
        pub full_limit: u32,
        /// Higher is loaded first.
        #[serde(default)]
        pub priority: u8,
        /// Whether a cut stream may resume on another group.
        #[serde(default)]
        pub resumable: bool,
        /// Whether a call may go to another failure domain when its own has no capacity.
        #[serde(default)]
        pub other_domains: bool,
        /// Share of the traffic that still goes to the old system.
        #[serde(default)]
        pub split: Option<TrafficSplit>,
    }
}

/// Schema 1: `members`, one limit, the same number of groups in every listed zone.
#[derive(Debug, Serialize, Deserialize)]
struct ModelV1 {
    id: ModelId,
    members: u8,
    zones: Vec<DomainId>,
    copies: u32,
    limit: u32,
}

/// Schema 1 names no cold limit: the full limit divided by this, rounded up.
const V1_COLD_DIVISOR: u32 = 8;

impl From<ModelV1> for ModelRecord {
    fn from(v1: ModelV1) -> Self {
        Self {
            id: v1.id,
            vms_per_group: v1.members,
            groups: v1.zones.into_iter().map(|zone| (zone, v1.copies)).collect(),
            cold_limit: v1.limit.div_ceil(V1_COLD_DIVISOR),
            full_limit: v1.limit,
            priority: 0,
            resumable: false,
            other_domains: false,
            split: None,
        }
    }
}

impl ModelRecord {
    /// Newest schema version.
    pub const NEWEST_SCHEMA: u64 = 2;

    /// Reads a document of any known version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn lift(document: &Document) -> Result<Self, RecordError> {
        let record: Self = match document.schema()? {
            1 => document.parse::<ModelV1>()?.into(),
            2 => document.parse()?,
            _ => return document.unknown_schema(Self::NEWEST_SCHEMA),
        };
        record.check()
    }

    fn check(self) -> Result<Self, RecordError> {
        let range = |field, remedy: &str| {
            Err(RecordError::Range {
                kind: RecordKind::Model,
                field,
                remedy: remedy.into(),
            })
        };
        if self.vms_per_group == 0 {
            return range("vms_per_group", "write at least 1");
        }
        if !(1..=self.full_limit).contains(&self.cold_limit) {
            return range("cold_limit", "write 1 to full_limit");
        }
        if self.split.as_ref().is_some_and(|split| !split.is_valid()) {
            return range("split", "write percents from 0 to 100");
        }
        Ok(self)
    }
}
