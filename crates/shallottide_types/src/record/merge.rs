//! Merges a written document into the stored one without losing fields that the writer
//! doesn't know.
//!
//! - The result has the newer of the two schema versions; the other document is upgraded to it.
//! - A field that the writer's schema has is set as written. If the writer omits it, it is
//!   removed, unless operators set it with a separate command ([`MergeRule::KeptIfOmitted`]).
//! - A field that the writer's schema doesn't have is kept as it is stored.

use serde_json::{Map, Value};

use super::field::{Field, MergeRule};
use super::{Document, ModelRecord, RecordError, RecordKind, UpstreamRecord};

/// Fields by name.
pub(super) type Fields = Map<String, Value>;

/// What happens to known fields that the writer omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OmittedFields {
    /// They are removed, because the writer's schema has them.
    Removed,
    /// They are kept, because the writer's older schema may not have them.
    Kept,
}

impl Document {
    /// Returns the document to store when this one is written over `stored`, without stamps.
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
        let omitted = if written_schema < stored_schema {
            OmittedFields::Kept
        } else {
            OmittedFields::Removed
        };
        let written = upgraded(kind, self, schema)?;
        let stored = upgraded(kind, stored, schema)?;
        let mut merged = Self {
            fields: merge_fields(fields, omitted, &stored, &written),
        };
        merged.set(Self::SCHEMA, schema);
        if omitted == OmittedFields::Kept {
            merged.lower_cold_limit();
        }
        Ok(merged)
    }

    /// Lowers `cold_limit` to `full_limit`. A writer of an older schema sets only the full limit,
    /// so that the stored cold limit could exceed it.
    fn lower_cold_limit(&mut self) {
        let limits = (self.number("cold_limit"), self.number("full_limit"));
        if let (Some(cold), Some(full)) = limits {
            self.set("cold_limit", cold.min(full));
        }
    }
}

/// Returns a document's fields without stamps, upgraded to a schema version.
fn upgraded(kind: RecordKind, document: &Document, schema: u64) -> Result<Fields, RecordError> {
    let fields = document.without_stamps().fields;
    if document.schema()? == schema {
        return Ok(fields);
    }
    Ok(match kind {
        RecordKind::Model => ModelRecord::upgrade_v1(fields),
        RecordKind::Upstream => UpstreamRecord::upgrade_v1(fields),
        // These kinds have only one schema version.
        RecordKind::Service | RecordKind::Domain | RecordKind::Team => fields,
    })
}

/// Renames a field, if it is present.
pub(super) fn rename(fields: &mut Fields, old: &str, new: &str) {
    if let Some(value) = fields.remove(old) {
        fields.insert(new.into(), value);
    }
}

fn merge_fields(
    fields: &[Field],
    omitted: OmittedFields,
    stored: &Fields,
    written: &Fields,
) -> Fields {
    let mut result = stored.clone();
    for field in fields {
        let is_kept =
            omitted == OmittedFields::Kept || matches!(field.rule, MergeRule::KeptIfOmitted);
        if !is_kept && !written.contains_key(field.name) {
            result.remove(field.name);
        }
    }
    for (name, value) in written {
        let rule = fields.iter().find(|field| field.name == name);
        let rule = rule.map_or(&MergeRule::Replaced, |field| &field.rule);
        let value = merge_value(rule, stored.get(name), value);
        result.insert(name.clone(), value);
    }
    result
}

fn merge_value(rule: &MergeRule, stored: Option<&Value>, written: &Value) -> Value {
    match (rule, stored, written) {
        (MergeRule::Table(fields), Some(Value::Object(stored)), Value::Object(written)) => {
            Value::Object(merge_fields(
                fields,
                OmittedFields::Removed,
                stored,
                written,
            ))
        }
        (MergeRule::List(keys), Some(Value::Array(stored)), Value::Array(written)) => {
            let entry = |entry| merge_entry(keys, stored, entry);
            Value::Array(written.iter().map(entry).collect())
        }
        _ => written.clone(),
    }
}

/// Returns a written list entry with the unknown fields of the stored entry that has the same
/// values in the key fields.
fn merge_entry(keys: &[&str], stored: &[Value], written: &Value) -> Value {
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
