//! `get`: prints one record.

use serde_json::{Value, json};
use shallottide_types::platform::Platform as _;
use shallottide_types::record::Document;

use crate::args::{Args, GetArgs};
use crate::failure::Failure;
use crate::output::Output;
use crate::session::Session;

pub(super) fn run(args: &Args, command: &GetArgs) -> Result<Output, Failure> {
    let session = Session::open(args)?;
    let key = command.kind.store_key(&command.id);
    let entry = session.platform.get(&key)?;
    let entry = entry.ok_or(Failure::Missing(key))?;
    let document = Document::from_json(&entry.value).map_err(Failure::argument)?;
    let fields = document.fields();
    // TOML can't represent null, so a record with one is printed as JSON.
    let text =
        toml::to_string(fields).unwrap_or_else(|_| format!("{:#}", Value::from(fields.clone())));
    let text = format!("# store index {}\n{}", entry.index, text.trim_end());
    Ok(Output::done(
        text,
        json!({"index": entry.index, "record": fields}),
    ))
}
