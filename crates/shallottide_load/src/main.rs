//! `shallottide-load`: generates load and reports the outcomes of the calls.

mod cli;

use std::process::ExitCode;

/// Exit code for invalid options.
const BAD_OPTIONS: u8 = 2;

fn main() -> ExitCode {
    let arguments: cli::Arguments = argh::from_env();
    let report = match shallottide_load::run(&arguments.options()) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("shallottide-load: {error}");
            return BAD_OPTIONS.into();
        }
    };
    if arguments.json {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{report}");
    }
    if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
