//! A plain service and which of its calls may be repeated.

use compact_str::CompactString;

use super::field::{Field, MergeRule, SPLIT, replaced};
use super::{Document, RecordError, RecordKind, TrafficSplit};
use crate::data;
use crate::id::ServiceId;

data! {
    /// One plain service.
    pub struct ServiceRecord {
        /// The service.
        pub id: ServiceId,
        /// Calls that may be repeated; any other call runs at most once and needs an idempotency
        /// key.
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
        /// HTTP method in upper case.
        pub method: CompactString,
        /// Prefix of the path, beginning with `/`.
        pub path_prefix: CompactString,
    }
}

impl CallRule {
    /// Checks the method and the prefix; an empty prefix is not allowed because it would match
    /// every call.
    fn is_valid(&self) -> bool {
        let is_upper_case = self.method.bytes().all(|b| b.is_ascii_uppercase());
        is_upper_case && !self.method.is_empty() && self.path_prefix.starts_with('/')
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
            rule: MergeRule::List(&["method", "path_prefix"]),
        },
        replaced("other_domains"),
        SPLIT,
    ]];

    /// Converts a document of any known schema version.
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

    /// Returns whether a call may run more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable
            .iter()
            .any(|rule| rule.method == method && path.starts_with(rule.path_prefix.as_str()))
    }
}
