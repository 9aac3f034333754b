//! `status --entry`: shows the status of entry nodes on a platform, read from their metrics
//! addresses.

use std::fmt::Write as _;
use std::net::SocketAddr;

use serde_json::json;
use shallottide_types::entry_status::EntryStatus;

use crate::exit::Exit;
use crate::node_client;
use crate::output::Output;
use crate::rollout_report::unanswered_text;
use crate::table::Table;

pub(super) fn run(addresses: &[SocketAddr]) -> Output {
    let (statuses, unanswered) = node_client::query_entry_nodes(addresses);
    let mut text = node_table(&statuses).to_string();
    for status in &statuses {
        for (domain, engines) in &status.engines {
            let engines: Vec<_> = engines
                .iter()
                .map(|(duty, n)| format!("{n} {duty}"))
                .collect();
            // Writing to a string can't fail.
            let _ = write!(text, "\nengines of {domain}: {}", engines.join(", "));
        }
    }
    text.push_str(&unanswered_text(&unanswered));
    let exit = if statuses.is_empty() {
        Exit::PlatformUnreachable
    } else {
        Exit::Done
    };
    let json = json!({ "entries": statuses, "unanswered": unanswered });
    Output::done(text, json).with_exit(exit)
}

fn node_table(statuses: &[EntryStatus]) -> Table {
    let mut table = Table::new([
        "NODE",
        "DOMAIN",
        "READY",
        "CONFIG",
        "REVISION",
        "STORE AGE",
        "NODES",
        "IN FLIGHT",
        "SERVING",
        "STEWARD",
        "OUT",
    ]);
    for status in statuses {
        let serving = status.serving.iter();
        let serving: Vec<_> = serving.map(|(name, n)| format!("{name}:{n}")).collect();
        let controller = status.controllers.get(&status.domain);
        let evacuated: Vec<_> = status.evacuated.iter().map(ToString::to_string).collect();
        table.add_row(&[
            status.node.to_string(),
            status.domain.to_string(),
            if status.ready { "yes" } else { "no" }.into(),
            or_dash(status.config_version),
            status.index.to_string(),
            status
                .store_age_ms
                .map_or("never".into(), |ms| format!("{ms}ms")),
            status.nodes.to_string(),
            status.in_flight.to_string(),
            text_or_dash(serving.join(" ")),
            or_dash(controller),
            text_or_dash(evacuated.join(" ")),
        ]);
    }
    table
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

fn text_or_dash(text: String) -> String {
    if text.is_empty() { "-".into() } else { text }
}
