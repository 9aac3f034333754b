//! A failure domain and whether operators have taken it out of service.

use super::field::{Field, MergeRule, replaced};
use super::{Document, RecordError};
use crate::data;
use crate::id::{DomainId, RegionId};

data! {
    /// One failure domain.
    pub struct DomainRecord {
        /// The failure domain.
        pub id: DomainId,
        /// The region that the failure domain is in.
        pub region: RegionId,
        /// Whether the failure domain takes new work.
        #[serde(default)]
        pub state: DomainState,
    }

    /// Whether a failure domain takes new work.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, Default)]
    pub enum DomainState {
        /// The failure domain takes new work.
        #[default]
        Serving,
        /// The failure domain gets no new work; requests in flight are completed (drain).
        Out,
    }
}

impl DomainRecord {
    /// Newest schema version.
    pub const NEWEST_SCHEMA: u64 = 1;

    /// Known fields of each schema version, oldest first.
    pub(super) const SCHEMAS: &'static [&'static [Field]] = &[&[
        replaced("id"),
        replaced("region"),
        Field {
            name: "state",
            rule: MergeRule::KeptIfOmitted,
        },
    ]];

    /// Sets the state of the failure domain that a document describes.
    ///
    /// # Errors
    /// [`RecordError`] when the document's schema version is missing or not known.
    pub fn set_state(document: &mut Document, state: DomainState) -> Result<(), RecordError> {
        let text = match state {
            DomainState::Serving => "serving",
            DomainState::Out => "out",
        };
        match document.schema()? {
            1 => document.set("state", text),
            _ => return document.unknown_schema(Self::NEWEST_SCHEMA),
        }
        Ok(())
    }

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
