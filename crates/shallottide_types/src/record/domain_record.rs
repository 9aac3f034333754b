//! A failure domain and whether operators have taken it out.

use super::field::{Field, Form, replaced};
use super::{Document, RecordError};
use crate::data;
use crate::id::{DomainId, RegionId};

data! {
    /// One failure domain.
    pub struct DomainRecord {
        /// The failure domain.
        pub id: DomainId,
        /// The region it lies in.
        pub region: RegionId,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: DomainState,
    }

    /// Whether a failure domain takes new work.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, Default)]
    pub enum DomainState {
        /// It takes new work.
        #[default]
        Serving,
        /// It gets no new work; work in flight ends.
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
            form: Form::KeptIfLeftOut,
        },
    ]];

    /// Sets whether the failure domain that a document describes takes new work.
    ///
    /// # Errors
    /// [`RecordError`] when the document is no failure domain of a known schema version.
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

    /// Reads a document of any known version.
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
