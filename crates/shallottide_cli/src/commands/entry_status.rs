//! `status --entry`: shows entry nodes on a platform, asked at their metrics addresses.

use std::fmt::Write as _;
use std::net::SocketAddr;

use serde_json::json;
use shallottide_types::entry_status::EntryStatus;

use crate::exit::Exit;
use crate::node_client;
use crate::output::Output;
use crate::rollout_wait::unanswered_text;
use crate::table::Table;

pub(super) fn run(addresses: &[SocketAddr]) -> Output {
    let (statuses, unanswered) = node_client::ask_entries(addresses);
    let mut text = nodes(&statuses).to_string();
    for status in &statuses {
        for (domain, engines) in &status.engines {
            let engines: Vec<_> = engines.iter().map(|(d, n)| format!("{n} {d}")).collect();
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
    Output::done(text, json).exit(exit)
}

fn nodes(statuses: &[EntryStatus]) -> Table {
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
        let steward = status.controllers.get(&status.domain);
        let evacuated: Vec<_> = status.evacuated.iter().map(ToString::to_string).collect();
        table.row(&[
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
            or_dash(steward),
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
