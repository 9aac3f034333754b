//! `demo`: stand-ins and two entry nodes in this process.

use serde_json::json;

use crate::args::DemoArgs;
use crate::failure::Failure;
use crate::output::Output;

/// Runs the demo, printing as it goes.
pub(crate) fn run(args: &DemoArgs) -> Result<Output, Failure> {
    shallottide_demo::run(args.keep, &mut std::io::stdout())?;
    Ok(Output::done("demo: all held", json!({"demo": "all held"})))
}
