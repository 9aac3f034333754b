//! A record as stored: JSON with its schema version, including fields unknown to this program.

use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::toml_value;
use crate::id::{ChangeId, IdError, OperatorId, Revision};

/// Error of reading or writing a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The text is neither TOML nor JSON.
    #[error("record can't be read: {0}")]
    Syntax(String),
    /// A field that every record needs is missing or has the wrong type.
    #[error("record has no valid {field:?}: add {example}")]
    Missing {
        /// Name of the field.
        field: &'static str,
        /// Example of a valid line.
        example: &'static str,
    },
    /// The kind is not known.
    #[error("kind {0:?} is not known: use model, upstream, service, domain or team")]
    Kind(String),
    /// The schema version is not known to this program.
    #[error(
        "{kind} has schema {found}, this program knows up to {newest}: upgrade it or write schema {newest}"
    )]
    Schema {
        /// Kind of the record.
        kind: RecordKind,
        /// Version found.
        found: u64,
        /// Newest version known.
        newest: u64,
    },
    /// The stored record has a schema version newer than this program knows.
    #[error(
        "stored {kind} has schema {found}, this program knows up to {newest}: use a newer program to change it"
    )]
    StoredNewer {
        /// Kind of the record.
        kind: RecordKind,
        /// Version found.
        found: u64,
        /// Newest version known.
        newest: u64,
    },
    /// A field has the wrong form.
    #[error("{kind}: {message}")]
    Field {
        /// Kind of the record.
        kind: RecordKind,
        /// Message that names the field and what is wrong with it.
        message: String,
    },
    /// A field has a value outside its valid range.
    #[error("{kind} field {field:?}: {remedy}")]
    Range {
        /// Kind of the record.
        kind: RecordKind,
        /// Name of the field.
        field: &'static str,
        /// What to write instead.
        remedy: String,
    },
    /// The id breaks the naming rule.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// The kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// How a model is served by groups of VMs.
    Model,
    /// One server of a plain service.
    Upstream,
    /// A plain service.
    Service,
    /// A failure domain.
    Domain,
    /// A team of callers.
    Team,
}

impl RecordKind {
    /// All kinds in key order.
    pub const ALL: [Self; 5] = [
        Self::Model,
        Self::Upstream,
        Self::Service,
        Self::Domain,
        Self::Team,
    ];

    /// Returns the platform key of the record with this id, `records/KIND/ID`.
    #[must_use]
    pub fn store_key(self, id: &str) -> String {
        format!("{}{self}/{id}", Document::KEY_PREFIX)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Model => "model",
            Self::Upstream => "upstream",
            Self::Service => "service",
            Self::Domain => "domain",
            Self::Team => "team",
        })
    }
}

impl FromStr for RecordKind {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| RecordError::Kind(text.into()))
    }
}

/// A record's JSON document, with all fields, known or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    pub(super) fields: Map<String, Value>,
}

impl Document {
    /// Prefix of all record keys in the platform.
    pub const KEY_PREFIX: &'static str = "records/";
    /// Name of the field with the schema version.
    pub const SCHEMA: &'static str = "schema";
    /// Name of the field with the revision, which each write increments by one.
    pub const REVISION: &'static str = "revision";
    /// Name of the field with the id of the change that wrote the document.
    pub const CHANGE: &'static str = "change";
    /// Name of the field with the operator who wrote the document.
    pub const OPERATOR: &'static str = "operator";

    /// Parses the text of an operator's TOML file.
    ///
    /// # Errors
    /// [`RecordError::Syntax`] with the position in the file.
    pub fn from_toml(text: &str) -> Result<Self, RecordError> {
        let table = toml::from_str(text).map_err(|e| RecordError::Syntax(e.to_string()))?;
        let fields = toml_value::to_json(table)?;
        Ok(Self { fields })
    }

    /// Parses a stored value.
    ///
    /// # Errors
    /// [`RecordError::Syntax`] when the value is not a JSON object.
    pub fn from_json(bytes: &[u8]) -> Result<Self, RecordError> {
        let fields =
            serde_json::from_slice(bytes).map_err(|e| RecordError::Syntax(e.to_string()))?;
        Ok(Self { fields })
    }

    /// Returns the JSON to store.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        Value::Object(self.fields.clone()).to_string().into_bytes()
    }

    /// Returns all fields, including those unknown to this program.
    #[must_use]
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }

    /// Sets one field, replacing its old value.
    pub fn set(&mut self, field: &str, value: impl Into<Value>) {
        self.fields.insert(field.into(), value.into());
    }

    /// Returns the record's kind.
    ///
    /// # Errors
    /// [`RecordError::Missing`] or [`RecordError::Kind`].
    pub fn kind(&self) -> Result<RecordKind, RecordError> {
        let missing = RecordError::Missing {
            field: "kind",
            example: "kind = \"upstream\"",
        };
        self.text("kind").ok_or(missing)?.parse()
    }

    /// Returns the schema version.
    ///
    /// # Errors
    /// [`RecordError::Missing`].
    pub fn schema(&self) -> Result<u64, RecordError> {
        let missing = RecordError::Missing {
            field: Self::SCHEMA,
            example: "schema = 2",
        };
        self.number(Self::SCHEMA).ok_or(missing)
    }

    /// Returns the revision; 0 for a document that was never stored or has no valid one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision(self.number(Self::REVISION).unwrap_or(0))
    }

    /// Returns the id of the change that wrote the document, if it has a valid one.
    #[must_use]
    pub fn change(&self) -> Option<ChangeId> {
        self.text(Self::CHANGE)?.parse().ok()
    }

    /// Returns the operator who wrote the document, if it names a valid one.
    #[must_use]
    pub fn operator(&self) -> Option<OperatorId> {
        self.text(Self::OPERATOR)?.parse().ok()
    }

    /// Deserializes the fields into the type of one schema version, ignoring unknown fields.
    ///
    /// # Errors
    /// [`RecordError::Field`] naming the field.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, RecordError> {
        let kind = self.kind()?;
        deserialize::<T>(self.fields.clone()).map_err(|message| RecordError::Field {
            kind,
            message: self.with_field_name::<T>(message),
        })
    }

    /// Adds the name of the offending field to an error message of serde that lacks it. The
    /// offending field is the one without which deserializing gives a different result.
    fn with_field_name<T: DeserializeOwned>(&self, message: String) -> String {
        if message.starts_with(MISSING_FIELD) {
            return format!("{message}: add it");
        }
        let is_cause = |field: &&String| {
            let mut others = self.fields.clone();
            others.remove(field.as_str());
            deserialize::<T>(others).err().as_ref() != Some(&message)
        };
        match self.fields.keys().find(is_cause) {
            Some(field) => format!("field {field:?}: {message}"),
            None => message,
        }
    }

    /// Refuses ids that consist only of dots, because in a path they refer to other directories.
    pub(super) fn check_id(&self, kind: RecordKind) -> Result<(), RecordError> {
        match self.text("id") {
            Some(id) if id.bytes().all(|b| b == b'.') => Err(RecordError::Range {
                kind,
                field: "id",
                remedy: "write at least one letter or digit".into(),
            }),
            _ => Ok(()),
        }
    }

    /// Returns the error for a schema version above `newest` or below 1.
    pub(crate) fn unknown_schema<T>(&self, newest: u64) -> Result<T, RecordError> {
        Err(RecordError::Schema {
            kind: self.kind()?,
            found: self.schema()?,
            newest,
        })
    }

    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(super) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }
}

/// Beginning of the error message of serde for a missing field, which names the field itself.
const MISSING_FIELD: &str = "missing field";

fn deserialize<T: DeserializeOwned>(fields: Map<String, Value>) -> Result<T, String> {
    serde_json::from_value(Value::Object(fields)).map_err(|e| e.to_string())
}
