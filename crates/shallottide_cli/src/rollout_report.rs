//! Waits until a change is in force and reports on each failure domain.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::{Value, json};
use shallottide::operate::{DomainRollout, NodeStatus, Pause, Rollout, RolloutState, SystemPause};
use shallottide_types::clock::{Clock, SystemClock};
use shallottide_types::id::{DomainId, NodeId, StoreIndex};

use crate::exit::Exit;
use crate::node_client::{NodeAnswers, UnansweredNode};
use crate::session::Session;
use crate::table::Table;

/// Pause between two rounds of status queries.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Where a change is in force when the wait ends.
#[derive(Debug)]
pub(crate) struct RolloutReport {
    rollout: Rollout,
    /// Nodes that reject one of the changed records, with the reason.
    refusals: BTreeMap<NodeId, String>,
    unanswered: Vec<UnansweredNode>,
}

impl RolloutReport {
    /// Queries the nodes until the change is in force in every failure domain or `timeout` has
    /// passed.
    pub(crate) fn wait(
        session: &Session,
        index: StoreIndex,
        keys: &[String],
        timeout: Duration,
    ) -> Self {
        let domains = session.domains();
        let deadline = SystemClock.now() + timeout;
        loop {
            let report = Self::query(session, index, keys, &domains);
            let is_timed_out = SystemClock.now() + ROUND_PAUSE > deadline;
            if report.rollout.is_complete() || is_timed_out {
                return report;
            }
            SystemPause.pause(ROUND_PAUSE);
        }
    }

    fn query(session: &Session, index: StoreIndex, keys: &[String], domains: &[DomainId]) -> Self {
        let answers = NodeAnswers::query(&session.settings.nodes, &session.settings.token);
        Self {
            rollout: Rollout::of(index, keys, domains.iter().cloned(), &answers.statuses),
            refusals: refusals(keys, &answers.statuses),
            unanswered: answers.unanswered,
        }
    }

    /// Returns [`Exit::Done`] if the change is in force in every failure domain and at least one
    /// failure domain is known.
    pub(crate) fn exit(&self) -> Exit {
        if self.rollout.is_complete() && !self.rollout.domains.is_empty() {
            Exit::Done
        } else {
            Exit::NotInForce
        }
    }

    pub(crate) fn json(&self) -> Value {
        let domains = self.rollout.domains.iter().map(|(id, domain)| {
            let json = json!({
                "state": domain.state(),
                "in_force": domain.in_force,
                "behind": domain.behind,
                "refusing": domain.refusing,
                "silent": domain.silent,
            });
            (id.to_string(), json)
        });
        let domains: Value = domains.collect::<serde_json::Map<_, _>>().into();
        json!({
            "index": self.rollout.index,
            "domains": domains,
            "refusals": self.refusals,
            "unanswered": self.unanswered,
        })
    }

    pub(crate) fn text(&self) -> String {
        if self.rollout.domains.is_empty() {
            return "no failure domain is known: add nodes to the settings, or pass --wait 0s"
                .into();
        }
        let mut table = Table::new([
            "DOMAIN", "CHANGE", "IN FORCE", "BEHIND", "REFUSING", "SILENT",
        ]);
        for (id, domain) in &self.rollout.domains {
            table.add_row(&[
                id.to_string(),
                state_text(domain).into(),
                join_names(&domain.in_force),
                join_names(&domain.behind),
                join_names(&domain.refusing),
                join_names(&domain.silent),
            ]);
        }
        let refusals = self.refusals.iter();
        let refusals: Vec<_> = refusals
            .map(|(node, reason)| format!("\nnode {node} can't use the record: {reason}"))
            .collect();
        let unanswered = unanswered_text(&self.unanswered);
        format!("{table}{}{unanswered}", refusals.concat())
    }
}

fn refusals(keys: &[String], statuses: &[NodeStatus]) -> BTreeMap<NodeId, String> {
    let refusal = |status: &NodeStatus| {
        let mut invalid = status.invalid.iter();
        let record = invalid.find(|record| keys.contains(&record.key))?;
        Some((status.node.clone(), record.reason.clone()))
    };
    statuses.iter().filter_map(refusal).collect()
}

/// Formats the nodes whose status could not be read, each on a line that starts with a line break.
pub(crate) fn unanswered_text(unanswered: &[UnansweredNode]) -> String {
    let line =
        |node: &UnansweredNode| format!("\nnode {} gave no status: {}", node.address, node.reason);
    unanswered.iter().map(line).collect()
}

fn state_text(domain: &DomainRollout) -> &'static str {
    match domain.state() {
        RolloutState::InForce => "in force",
        RolloutState::NotYet => "not yet",
        RolloutState::Refused => "refused",
        RolloutState::Unreachable => "can't be reached",
    }
}

fn join_names(nodes: &BTreeSet<NodeId>) -> String {
    if nodes.is_empty() {
        return "-".into();
    }
    let names: Vec<_> = nodes.iter().map(NodeId::as_str).collect();
    names.join(",")
}
