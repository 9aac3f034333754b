//! Stand-ins and cases of the review: `review CASE FOLDER` plays one case and writes FOLDER/record.txt.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod clock;
mod cold;
mod engines;
mod homes;
mod http;
mod json;
mod keys;
mod memory;
mod node;
mod record;
mod server;
mod store;
mod two;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Returns whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("shallottide-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_else(|| ".".into());
    let record = record::Record::new();
    let verdict = match case.as_str() {
        "clock" => clock::play(&record),
        "cold" => cold::play(&record),
        "keys" => keys::play(&record),
        "homes" => homes::play(&record),
        "memory" => memory::play(&record),
        "two" => two::play(&record),
        other => Verdict::NotRun(format!("there is no case {other:?}")),
    };
    let (text, code) = match &verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.add(&text);
    record.write(&format!("{folder}/record.txt"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
