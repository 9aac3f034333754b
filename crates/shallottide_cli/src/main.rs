//! `shallottide`, the command-line tool for operators.

mod args;
mod commands;
mod exit;
mod failure;
mod node_client;
mod output;
mod rollout_report;
mod session;
mod settings;
mod table;

use std::process::ExitCode;

use args::{Args, Parsed};
use output::Output;

fn main() -> ExitCode {
    let args = match Args::parse(std::env::args()) {
        Parsed::Run(args) => args,
        Parsed::Help(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Parsed::Invalid(text) => {
            eprintln!("{text}");
            return exit::Exit::BadInput.into();
        }
    };
    let output = commands::run(&args).unwrap_or_else(|failure| Output::failure(&failure));
    output.print(args.json);
    output.exit.into()
}
