//! Configuration of a model that groups of VMs serve, in two schema versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::field::{Field, SPLIT, replaced};
use super::merge::{Fields, rename};
use super::{Document, RecordError, RecordKind, TrafficSplit};
use crate::data;
use crate::id::{DomainId, ModelId};

data! {
    /// How a model is served.
    pub struct ModelRecord {
        /// The model.
        pub id: ModelId,
        /// Number of VMs in one group; at least 1.
        pub vms_per_group: u8,
        /// Desired number of groups in each failure domain.
        pub groups: BTreeMap<DomainId, u32>,
        /// Limit of requests in flight of a group that is not yet warm; at least 1, at most
        /// `full_limit`.
        pub cold_limit: u32,
        /// Limit of requests in flight of a warm group.
        pub full_limit: u32,
        /// Load priority; models with a higher value are loaded first.
        #[serde(default)]
        pub priority: u8,
        /// Whether an interrupted stream may resume on another group.
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

/// Schema 1. It has one limit for cold and warm groups, `members` for `vms_per_group`, and the
/// same number of groups (`copies`) in every listed zone.
#[derive(Debug, Serialize, Deserialize)]
struct ModelV1 {
    id: ModelId,
    members: u8,
    zones: Vec<DomainId>,
    copies: u32,
    limit: u32,
}

impl ModelV1 {
    fn check(self) -> Result<Self, RecordError> {
        let (field, value) = if self.members == 0 {
            ("members", 0)
        } else {
            ("limit", self.limit)
        };
        if value > 0 {
            return Ok(self);
        }
        Err(RecordError::Range {
            kind: RecordKind::Model,
            field,
            remedy: "write at least 1".into(),
        })
    }
}

/// Schema 1 has no cold limit; it is derived as the full limit divided by this, rounded up.
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

    /// Known fields of each schema version, oldest first.
    pub(super) const SCHEMAS: &'static [&'static [Field]] = &[
        &[
            replaced("id"),
            replaced("members"),
            replaced("zones"),
            replaced("copies"),
            replaced("limit"),
        ],
        &[
            replaced("id"),
            replaced("vms_per_group"),
            replaced("groups"),
            replaced("cold_limit"),
            replaced("full_limit"),
            replaced("priority"),
            replaced("resumable"),
            replaced("other_domains"),
            SPLIT,
        ],
    ];

    /// Converts the fields of schema 1 to those of schema 2; fields new in schema 2 stay absent.
    pub(super) fn upgrade_v1(mut fields: Fields) -> Fields {
        rename(&mut fields, "members", "vms_per_group");
        rename(&mut fields, "limit", "full_limit");
        let zones = fields.remove("zones");
        let copies = fields.remove("copies");
        if let (Some(Value::Array(zones)), Some(copies)) = (zones, copies) {
            let names = zones.iter().filter_map(Value::as_str);
            let groups: Fields = names.map(|zone| (zone.into(), copies.clone())).collect();
            fields.insert("groups".into(), groups.into());
        }
        fields
    }

    /// Converts a document of any known schema version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        let record: Self = match document.schema()? {
            1 => document.parse::<ModelV1>()?.check()?.into(),
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
