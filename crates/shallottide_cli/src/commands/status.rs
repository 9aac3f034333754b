//! `status`: shows the state of each failure domain.

use std::collections::BTreeMap;

use serde_json::json;
use shallottide::operate::{DomainSummary, summarize_domains};
use shallottide::view::ConfigView;
use shallottide_types::id::DomainId;

use crate::args::Args;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::node_client::NodeAnswers;
use crate::output::Output;
use crate::rollout_report::unanswered_text;
use crate::session::Session;
use crate::table::Table;

pub(super) fn run(args: &Args) -> Result<Output, Failure> {
    let session = Session::open(args)?;
    let records = session.records();
    let answers = NodeAnswers::query(&session.settings.nodes, &session.settings.token);
    let is_known = records.is_ok() && !answers.statuses.is_empty();
    let platform_error = records.as_ref().err().map(ToString::to_string);
    let records = records.ok();
    let recorded = records.iter().flat_map(|records| records.domains.keys());
    let domains = summarize_domains(recorded.cloned(), &answers.statuses);
    let mut text = table(&domains, records.as_ref()).to_string();
    if let Some(error) = &platform_error {
        text = format!("{text}\n{error}");
    }
    text.push_str(&unanswered_text(&answers.unanswered));
    let json = json!({
        "domains": domains,
        "states": states(&domains, records.as_ref()),
        "stored_index": records.as_ref().map(|records| records.index),
        "platform_error": platform_error,
        "unanswered": answers.unanswered,
    });
    let exit = if is_known {
        Exit::Done
    } else {
        Exit::PlatformUnreachable
    };
    Ok(Output::done(text, json).with_exit(exit))
}

fn table(domains: &BTreeMap<DomainId, DomainSummary>, records: Option<&ConfigView>) -> Table {
    let mut table = Table::new([
        "DOMAIN",
        "STATE",
        "NODES",
        "SILENT",
        "ANSWERED",
        "UPSTREAMS",
        "GROUPS",
        "IN FLIGHT",
        "CALLS",
        "CONFIG",
    ]);
    for (id, domain) in domains {
        table.add_row(&[
            id.to_string(),
            state(id, records).into(),
            domain.live_nodes.to_string(),
            domain.silent_nodes.to_string(),
            domain.answered_nodes.to_string(),
            or_dash(domain.upstreams),
            or_dash(domain.groups),
            domain.in_flight.to_string(),
            or_dash(domain.calls),
            config(domain),
        ]);
    }
    table
}

fn or_dash(count: Option<u64>) -> String {
    count.map_or("-".into(), |count| count.to_string())
}

fn states(
    domains: &BTreeMap<DomainId, DomainSummary>,
    records: Option<&ConfigView>,
) -> BTreeMap<DomainId, &'static str> {
    let ids = domains.keys();
    ids.map(|id| (id.clone(), state(id, records))).collect()
}

/// Returns the state in the stored record, or "unknown" if the platform can't be read.
fn state(id: &DomainId, records: Option<&ConfigView>) -> &'static str {
    let Some(records) = records else {
        return "unknown";
    };
    match records.domains.get(id) {
        None => "no record",
        Some(_) if records.is_out(id) => "out",
        Some(_) => "serving",
    }
}

fn config(domain: &DomainSummary) -> String {
    match (domain.lowest_config, domain.highest_config) {
        (Some(low), Some(high)) if low == high => low.to_string(),
        (Some(low), Some(high)) => format!("{low} to {high}"),
        _ => "-".into(),
    }
}
