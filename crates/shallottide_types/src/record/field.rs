//! The known fields of a schema version, and how a write merges each of them.

use serde_json::{Map, Value};

use super::{
    Document, DomainRecord, ModelRecord, RecordError, RecordKind, ServiceRecord, TeamRecord,
    UpstreamRecord,
};

/// One field of a schema version.
#[derive(Debug)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) rule: MergeRule,
}

/// How a write merges the written value of a field with the stored one.
#[derive(Debug)]
pub(super) enum MergeRule {
    /// The written value replaces the stored one; an omitted field is removed.
    Replaced,
    /// Like `Replaced`, but an omitted field is kept, because operators set it with a separate
    /// command.
    KeptIfOmitted,
    /// A table with known fields; unknown fields inside the table are kept.
    Table(&'static [Field]),
    /// A list of tables; an entry whose values in these key fields equal those of a stored entry
    /// keeps the unknown fields of that entry.
    List(&'static [&'static str]),
}

/// Returns a field that each write replaces as a whole.
pub(super) const fn replaced(name: &'static str) -> Field {
    Field {
        name,
        rule: MergeRule::Replaced,
    }
}

/// The field that holds a [`TrafficSplit`](super::TrafficSplit).
pub(super) const SPLIT: Field = Field {
    name: "split",
    rule: MergeRule::Table(&[replaced("old_percent"), replaced("teams")]),
};

/// Fields that every record has in addition to those of its schema.
const COMMON: [&str; 2] = ["kind", Document::SCHEMA];

impl RecordKind {
    /// Returns the fields of each schema version, oldest first.
    pub(super) fn schemas(self) -> &'static [&'static [Field]] {
        match self {
            Self::Model => ModelRecord::SCHEMAS,
            Self::Upstream => UpstreamRecord::SCHEMAS,
            Self::Service => ServiceRecord::SCHEMAS,
            Self::Domain => DomainRecord::SCHEMAS,
            Self::Team => TeamRecord::SCHEMAS,
        }
    }

    /// Returns the newest schema version that this program knows.
    #[must_use]
    pub fn newest_schema(self) -> u64 {
        self.schemas().len() as u64
    }

    /// Returns the fields of one schema version; `None` when the version is not known.
    pub(super) fn fields(self, schema: u64) -> Option<&'static [Field]> {
        let position = usize::try_from(schema.checked_sub(1)?).ok()?;
        self.schemas().get(position).copied()
    }
}

impl Document {
    /// Returns the names of fields that this program would store but not use, such as misspelt
    /// ones.
    ///
    /// # Errors
    /// [`RecordError`] when the kind or the schema version is not known.
    pub fn unknown_fields(&self) -> Result<Vec<String>, RecordError> {
        let kind = self.kind()?;
        let Some(fields) = kind.fields(self.schema()?) else {
            return self.unknown_schema(kind.newest_schema());
        };
        let mut unknown = Vec::new();
        collect_unknown(fields, &self.without_stamps().fields, "", &mut unknown);
        unknown.retain(|name| !COMMON.contains(&name.as_str()));
        Ok(unknown)
    }
}

fn collect_unknown(
    fields: &[Field],
    values: &Map<String, Value>,
    prefix: &str,
    unknown: &mut Vec<String>,
) {
    for (name, value) in values {
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            unknown.push(format!("{prefix}{name}"));
            continue;
        };
        if let (MergeRule::Table(inner), Value::Object(value)) = (&field.rule, value) {
            collect_unknown(inner, value, &format!("{prefix}{name}."), unknown);
        }
    }
}
