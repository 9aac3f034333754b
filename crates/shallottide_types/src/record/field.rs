//! Which fields a schema version knows, and how a write treats each.

use serde_json::{Map, Value};

use super::{
    Document, DomainRecord, ModelRecord, RecordError, RecordKind, ServiceRecord, TeamRecord,
    UpstreamRecord,
};

/// One field of a schema version.
#[derive(Debug)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) form: Form,
}

/// How a write treats a field.
#[derive(Debug)]
pub(super) enum Form {
    /// The written value stands; left out means removed.
    Replaced,
    /// Like `Replaced`, but left out means kept: operators set the field by a command of its own.
    KeptIfLeftOut,
    /// A table with known fields; unknown fields inside are kept.
    Table(&'static [Field]),
    /// A list of tables; an entry with the same values in these fields keeps its unknown fields.
    List(&'static [&'static str]),
}

/// A field that is replaced as a whole.
pub(super) const fn replaced(name: &'static str) -> Field {
    Field {
        name,
        form: Form::Replaced,
    }
}

/// Fields of a [`TrafficSplit`](super::TrafficSplit).
pub(super) const SPLIT: Field = Field {
    name: "split",
    form: Form::Table(&[replaced("old_percent"), replaced("teams")]),
};

/// Fields that every record has besides those of its schema.
const COMMON: [&str; 2] = ["kind", Document::SCHEMA];

impl RecordKind {
    /// Fields of each schema version, oldest first.
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

    /// Returns the fields of one schema version.
    pub(super) fn fields(self, schema: u64) -> Option<&'static [Field]> {
        let position = usize::try_from(schema.checked_sub(1)?).ok()?;
        self.schemas().get(position).copied()
    }
}

impl Document {
    /// Returns the fields that this program would store but not act upon, such as misspelt ones.
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
        if let (Form::Table(inner), Value::Object(value)) = (&field.form, value) {
            collect_unknown(inner, value, &format!("{prefix}{name}."), unknown);
        }
    }
}
