//! The state of one failure domain, put together from its nodes.

use std::collections::BTreeMap;

use shallottide_types::data;
use shallottide_types::id::{DomainId, StoreIndex};

use super::node_status::{NodeStatus, count, sum};
use super::rollout::Rollout;

data! {
    /// The state of one failure domain.
    #[derive(Default)]
    pub struct DomainSummary {
        /// Entry nodes that answered or were heard lately.
        pub live_nodes: u64,
        /// Entry nodes that nobody has heard lately.
        pub silent_nodes: u64,
        /// Entry nodes that answered; the counts below are theirs.
        pub answered_nodes: u64,
        /// Upstreams, as known to the node that knows most; absent when no node tells.
        pub upstreams: Option<u64>,
        /// Groups, as known to the node that knows most; absent when no node tells.
        pub groups: Option<u64>,
        /// Requests in flight on all nodes that answered.
        pub in_flight: u64,
        /// Calls answered by the nodes that tell; absent when none does.
        pub calls: Option<u64>,
        /// Lowest store index in force on a node that answered.
        pub lowest_config: Option<StoreIndex>,
        /// Highest store index in force on a node that answered.
        pub highest_config: Option<StoreIndex>,
    }
}

impl DomainSummary {
    fn add(&mut self, status: &NodeStatus) {
        let index = status.config_index;
        self.answered_nodes += 1;
        self.upstreams = self.upstreams.max(count(&status.upstreams));
        self.groups = self.groups.max(count(&status.groups));
        self.in_flight += status.in_flight;
        if let Some(calls) = sum(&status.calls) {
            self.calls = Some(self.calls.unwrap_or(0) + calls);
        }
        self.lowest_config = Some(self.lowest_config.map_or(index, |low| low.min(index)));
        self.highest_config = self.highest_config.max(Some(index));
    }
}

/// Puts the nodes' answers together by failure domain.
#[must_use]
pub fn summaries(
    domains: impl IntoIterator<Item = DomainId>,
    statuses: &[NodeStatus],
) -> BTreeMap<DomainId, DomainSummary> {
    let rollout = Rollout::of(StoreIndex(0), &[], domains, statuses);
    let mut summaries: BTreeMap<_, DomainSummary> = BTreeMap::new();
    for (domain, nodes) in rollout.domains {
        let summary = summaries.entry(domain).or_default();
        summary.live_nodes = nodes.in_force.len() as u64;
        summary.silent_nodes = nodes.silent.len() as u64;
    }
    for status in statuses {
        let summary = summaries.entry(status.failure_domain.clone()).or_default();
        summary.add(status);
    }
    summaries
}
