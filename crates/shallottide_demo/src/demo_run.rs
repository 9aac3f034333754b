//! The demo: one streamed completion, and one booking that is sent twice and must run once.

use std::io::Write;
use std::time::Duration;

use crate::{Answer, DemoCluster, DemoError, DemoOptions};

/// Idempotency key of the demo's booking.
const BOOKING_KEY: &str = "booking-2026-12-04-1";

/// Sleep between two turns of the endless loop that keeps the cluster running.
const KEEP_PAUSE: Duration = Duration::from_secs(1);

/// Runs the demo and prints each call with its trace. With `keep` the cluster then runs until the
/// process is ended.
///
/// # Errors
/// [`DemoError`] if a part does not start or serve, or a check fails.
pub fn run(keep: bool, out: &mut impl Write) -> Result<(), DemoError> {
    let cluster = DemoCluster::start(&DemoOptions::default())?;
    for node in 0..2 {
        let addresses = cluster.addresses(node);
        writeln!(
            out,
            "node {}: callers {}, operators {}",
            node + 1,
            addresses.callers,
            addresses.operators
        )?;
    }
    let completion = cluster
        .caller(1)
        .retry_until_served("completion", |caller| caller.complete("wash report", 8))?;
    print_answer(out, "completion through node 2", &completion)?;
    require(
        completion.body.contains("[DONE]"),
        "the stream must end with [DONE]",
    )?;

    let first = cluster
        .caller(0)
        .retry_until_served("booking", |caller| caller.book(BOOKING_KEY, 12))?;
    print_answer(out, "booking through node 1", &first)?;
    let repeated = cluster.caller(1).repeat_booking(BOOKING_KEY, 12)?;
    print_answer(out, "the same booking through node 2", &repeated)?;

    let runs = cluster.service.runs().by_key().get(BOOKING_KEY).copied();
    writeln!(
        out,
        "the service ran the booking {} time(s)",
        runs.unwrap_or(0)
    )?;
    require(runs == Some(1), "the booking must run once")?;
    require(
        first.body == repeated.body,
        "the repeated booking must get the first answer",
    )?;
    if keep {
        keep_running(&cluster, out)?;
    }
    let left: usize = cluster.stop().iter().map(|report| report.unfinished).sum();
    require(left == 0, "a planned stop must leave no work unfinished")?;
    Ok(())
}

fn print_answer(out: &mut impl Write, what: &str, answer: &Answer) -> Result<(), DemoError> {
    writeln!(
        out,
        "\n{what}: status {}, trace {}",
        answer.status, answer.trace
    )?;
    writeln!(out, "{}", answer.body.trim_end())?;
    Ok(())
}

fn require(condition: bool, requirement: &str) -> Result<(), DemoError> {
    if condition {
        Ok(())
    } else {
        Err(DemoError::CheckFailed(requirement.into()))
    }
}

/// Prints settings and commands to call the nodes, then sleeps forever.
fn keep_running(cluster: &DemoCluster, out: &mut impl Write) -> Result<(), DemoError> {
    let callers = cluster.addresses(0).callers;
    let operators = cluster.addresses(0).operators;
    let key = cluster.team_key();
    let token = cluster.operator_token();
    let platform = cluster.platform.address();
    writeln!(
        out,
        "\nsettings of the command line (shallottide.toml):\n\
         platform = [\"http://{platform}\"]\n\
         nodes = [\"{operators}\"]\n\
         operator = \"demo\"\n\
         token = \"{token}\""
    )?;
    writeln!(
        out,
        "\ncurl -N http://{callers}/v1/completions -H 'Authorization: Bearer {key}' \
         -d '{{\"model\":\"tide\",\"prompt\":\"hello\",\"stream\":true}}'\n\
         curl http://{callers}/services/bookings/bookings -H 'Authorization: Bearer {key}' \
         -H 'Idempotency-Key: mine-1' -d '{{\"pallets\":3}}'\n\
         curl http://{operators}/status -H 'Authorization: Bearer {token}'"
    )?;
    out.flush()?;
    loop {
        std::thread::sleep(KEEP_PAUSE);
    }
}
