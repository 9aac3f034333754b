//! `hash-key`: prints the hash of a team's key.

use std::io::Read as _;

use serde_json::json;
use shallottide_types::record::KeyHash;

use crate::args::HashKeyArgs;
use crate::failure::Failure;
use crate::output::Output;

pub(super) fn run(args: &HashKeyArgs) -> Result<Output, Failure> {
    if args.key.is_some() {
        let message = "the key is read from standard input, as arguments are visible in shell histories: \
                       run `shallottide hash-key`, enter the key and end the input";
        return Err(Failure::argument(message));
    }
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|e| Failure::argument(format!("standard input: {e}: write the key as text")))?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Failure::argument("no key: write it to standard input"));
    }
    let hash = KeyHash::of(key).to_string();
    Ok(Output::done(hash.clone(), json!({"key_hash": hash})))
}
