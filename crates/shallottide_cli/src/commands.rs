//! Implementations of the subcommands, one module each.

mod apply;
mod check;
mod demo;
mod drain;
mod entry_status;
mod get;
mod hash_key;
mod list;
mod record_file;
mod status;
mod write_report;

use crate::args::{Args, Command};
use crate::failure::Failure;
use crate::output::Output;

/// Runs the subcommand given on the command line.
pub(crate) fn run(args: &Args) -> Result<Output, Failure> {
    match &args.command {
        Command::Check(command) => check::run(args, command),
        Command::Apply(command) => apply::run(args, command),
        Command::Get(command) => get::run(args, command),
        Command::List(command) => list::run(args, command),
        Command::Status(command) if command.entry.is_empty() => status::run(args),
        Command::Status(command) => Ok(entry_status::run(&command.entry)),
        Command::Drain(command) => drain::drain(args, command),
        Command::Restore(command) => drain::restore(args, command),
        Command::HashKey(args) => hash_key::run(args),
        Command::Demo(command) => demo::run(command),
    }
}
