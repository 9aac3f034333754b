//! `demo`: runs stand-ins and two entry nodes in this process and calls them.

use serde_json::json;

use crate::args::DemoArgs;
use crate::failure::Failure;
use crate::output::Output;

/// Runs the demo, which prints each call as it is made.
pub(crate) fn run(args: &DemoArgs) -> Result<Output, Failure> {
    shallottide_demo::run(args.keep, &mut std::io::stdout())?;
    Ok(Output::done(
        "demo: all checks passed",
        json!({"demo": "all held"}),
    ))
}
