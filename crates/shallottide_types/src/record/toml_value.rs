//! Conversion of TOML values to JSON values.

use serde_json::{Map, Number, Value};

use super::RecordError;

/// Converts a table; dates become strings.
///
/// Returns [`RecordError::Syntax`] for a number that JSON can't represent, such as NaN.
pub(super) fn to_json(table: toml::Table) -> Result<Map<String, Value>, RecordError> {
    let entry = |(name, value)| Ok((name, value_to_json(value)?));
    table.into_iter().map(entry).collect()
}

fn value_to_json(value: toml::Value) -> Result<Value, RecordError> {
    Ok(match value {
        toml::Value::String(text) => text.into(),
        toml::Value::Integer(number) => number.into(),
        toml::Value::Boolean(flag) => flag.into(),
        toml::Value::Datetime(date) => date.to_string().into(),
        toml::Value::Float(number) => Number::from_f64(number)
            .ok_or_else(|| RecordError::Syntax(format!("{number} is no number: write digits")))?
            .into(),
        toml::Value::Array(values) => {
            let values: Result<Vec<_>, _> = values.into_iter().map(value_to_json).collect();
            values?.into()
        }
        toml::Value::Table(table) => to_json(table)?.into(),
    })
}
