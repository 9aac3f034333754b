//! A plain service and which of its calls may be repeated.

use compact_str::CompactString;

use super::field::{Field, Form, SPLIT, replaced};
use super::{Document, RecordError, RecordKind, TrafficSplit};
use crate::data;
use crate::id::ServiceId;

data! {
    /// One plain service.
    pub struct ServiceRecord {
        /// The service.
        pub id: ServiceId,
        /// Calls that may be repeated; any other call runs at most once and needs a key.
        #[serde(default)]
        pub repeatable: Vec<CallRule>,
        /// Whether a call may go to another failure domain when its own has no capacity.
        #[serde(default)]
        pub other_domains: bool,
        /// Share of the traffic that still goes to the old system.
        #[serde(default)]
        pub split: Option<TrafficSplit>,
    }

    /// Matches calls by method and path.
    pub struct CallRule {
        /// HTTP method, in capitals.
        pub method: CompactString,
        /// Beginning of the path.
        pub path_prefix: CompactString,
    }
}

impl CallRule {
    /// An empty prefix would match every call.
    fn is_valid(&self) -> bool {
        let capitals = self.method.bytes().all(|b| b.is_ascii_uppercase());
        capitals && !self.method.is_empty() && self.path_prefix.starts_with('/')
    }
}

impl ServiceRecord {
    /// Newest schema version.
    pub const NEWEST_SCHEMA: u64 = 1;

    /// Known fields of each schema version, oldest first.
    pub(super) const SCHEMAS: &'static [&'static [Field]] = &[&[
        replaced("id"),
        Field {
            name: "repeatable",
            form: Form::List(&["method", "path_prefix"]),
        },
        replaced("other_domains"),
        SPLIT,
    ]];

    /// Reads a document of any known version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        match document.schema()? {
            1 => document.parse::<Self>()?.check(),
            _ => document.unknown_schema(Self::NEWEST_SCHEMA),
        }
    }

    fn check(self) -> Result<Self, RecordError> {
        let range = |field, remedy: &str| {
            Err(RecordError::Range {
                kind: RecordKind::Service,
                field,
                remedy: remedy.into(),
            })
        };
        if !self.repeatable.iter().all(CallRule::is_valid) {
            return range(
                "repeatable",
                "write method in capitals and path_prefix from its first \"/\"",
            );
        }
        if !self.split.as_ref().is_none_or(TrafficSplit::is_valid) {
            return range("split", "write percents from 0 to 100");
        }
        Ok(self)
    }

    /// Tells whether a call may run more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|rule| rule.method == method && path.starts_with(rule.path_prefix.as_str()))
    }
}
