//! `shallottide-load`: makes load and reports what became of it.

mod cli;

use std::process::ExitCode;

/// Exit code for options that make no sense.
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
