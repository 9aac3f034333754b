//! Runs one stand-in as a process until SIGTERM.

mod cli;

use std::io::Write;
use std::process::ExitCode;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> ExitCode {
    let arguments: cli::Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &cli::Arguments) -> Result<(), Box<dyn std::error::Error>> {
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .init();
    // The signal handlers are installed before the address is printed, so that no signal is missed.
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let running = arguments.start()?;
    let line = serde_json::json!({"listening": running.address().to_string()});
    writeln!(std::io::stdout().lock(), "{line}")?;
    signals.forever().next();
    Ok(())
}
