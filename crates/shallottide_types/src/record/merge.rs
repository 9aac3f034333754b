//! Writing a document over a stored one without losing what the writer doesn't know.
//!
//! - The result has the newer of the two schema versions; the other document is raised to it.
//! - A field that the writer's schema has is set as written. Left out, it is removed, unless
//!   operators set it by a command of its own ([`Form::KeptIfLeftOut`]).
//! - A field that the writer's schema doesn't have is kept as stored.

use serde_json::{Map, Value};

use super::field::{Field, Form};
use super::{Document, ModelRecord, RecordError, RecordKind, UpstreamRecord};

/// Fields by name.
pub(super) type Fields = Map<String, Value>;

/// What happens to a known field that the writer left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeftOut {
    /// The writer's schema has the field.
    Removed,
    /// The writer's schema may not have the field.
    Kept,
}

impl Document {
    /// Returns what to store when this document is written over `stored`, without stamps.
    ///
    /// # Errors
    /// [`RecordError::StoredNewer`] when this program doesn't know the stored schema version,
    /// [`RecordError`] of this document otherwise.
    pub fn merged_onto(&self, stored: &Self) -> Result<Self, RecordError> {
        let kind = self.kind()?;
        let (written_schema, stored_schema) = (self.schema()?, stored.schema()?);
        let newest = kind.newest_schema();
        if stored_schema > newest {
            return Err(RecordError::StoredNewer {
                kind,
                found: stored_schema,
                newest,
            });
        }
        let schema = written_schema.max(stored_schema);
        let Some(fields) = kind.fields(schema) else {
            return self.unknown_schema(newest);
        };
        let left_out = if written_schema < stored_schema {
            LeftOut::Kept
        } else {
            LeftOut::Removed
        };
        let written = raised(kind, self, schema)?;
        let stored = raised(kind, stored, schema)?;
        let mut merged = Self {
            fields: merged(fields, left_out, &stored, &written),
        };
        merged.set(Self::SCHEMA, schema);
        if left_out == LeftOut::Kept {
            merged.lower_cold_limit();
        }
        Ok(merged)
    }

    /// Lowers a kept cold limit to a full limit that an older schema has set.
    fn lower_cold_limit(&mut self) {
        let limits = (self.number("cold_limit"), self.number("full_limit"));
        if let (Some(cold), Some(full)) = limits {
            self.set("cold_limit", cold.min(full));
        }
    }
}

/// Raises a document's fields to a schema version.
fn raised(kind: RecordKind, document: &Document, schema: u64) -> Result<Fields, RecordError> {
    let fields = document.without_stamps().fields;
    if document.schema()? == schema {
        return Ok(fields);
    }
    Ok(match kind {
        RecordKind::Model => ModelRecord::raise_v1(fields),
        RecordKind::Upstream => UpstreamRecord::raise_v1(fields),
        // These have one schema version.
        RecordKind::Service | RecordKind::Domain | RecordKind::Team => fields,
    })
}

/// Gives a field its newer name.
pub(super) fn rename(fields: &mut Fields, old: &str, new: &str) {
    if let Some(value) = fields.remove(old) {
        fields.insert(new.into(), value);
    }
}

fn merged(fields: &[Field], left_out: LeftOut, stored: &Fields, written: &Fields) -> Fields {
    let mut result = stored.clone();
    for field in fields {
        let keeps = left_out == LeftOut::Kept || matches!(field.form, Form::KeptIfLeftOut);
        if !keeps && !written.contains_key(field.name) {
            result.remove(field.name);
        }
    }
    for (name, value) in written {
        let form = fields.iter().find(|field| field.name == name);
        let form = form.map_or(&Form::Replaced, |field| &field.form);
        let value = merged_value(form, stored.get(name), value);
        result.insert(name.clone(), value);
    }
    result
}

fn merged_value(form: &Form, stored: Option<&Value>, written: &Value) -> Value {
    match (form, stored, written) {
        (Form::Table(fields), Some(Value::Object(stored)), Value::Object(written)) => {
            Value::Object(merged(fields, LeftOut::Removed, stored, written))
        }
        (Form::List(keys), Some(Value::Array(stored)), Value::Array(written)) => {
            let entry = |entry| merged_entry(keys, stored, entry);
            Value::Array(written.iter().map(entry).collect())
        }
        _ => written.clone(),
    }
}

/// Keeps the unknown fields of the stored entry with the same keys.
fn merged_entry(keys: &[&str], stored: &[Value], written: &Value) -> Value {
    let same = |entry: &&Value| keys.iter().all(|key| entry.get(key) == written.get(key));
    let stored = stored.iter().find(same).and_then(Value::as_object);
    match (stored, written) {
        (Some(stored), Value::Object(written)) => {
            let mut entry = stored.clone();
            entry.extend(written.clone());
            Value::Object(entry)
        }
        _ => written.clone(),
    }
}
