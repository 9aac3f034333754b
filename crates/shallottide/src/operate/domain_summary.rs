//! The state of a failure domain, aggregated over its nodes.

use std::collections::BTreeMap;

use shallottide_types::data;
use shallottide_types::id::{DomainId, StoreIndex};

use super::node_status::{NodeStatus, count, sum};
use super::rollout::Rollout;

data! {
    /// The state of a failure domain, aggregated over its nodes.
    #[derive(Default)]
    pub struct DomainSummary {
        /// Entry nodes that answered, or that another node reports as alive.
        pub live_nodes: u64,
        /// Entry nodes that did not answer and that no node reports as alive.
        pub silent_nodes: u64,
        /// Entry nodes that answered; the fields below cover only these.
        pub answered_nodes: u64,
        /// Upstreams: the highest count of any node; absent if no node reports one.
        pub upstreams: Option<u64>,
        /// Groups: the highest count of any node; absent if no node reports one.
        pub groups: Option<u64>,
        /// Requests in flight on all nodes that answered.
        pub in_flight: u64,
        /// Calls answered, summed over the nodes that report them; absent if none does.
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

/// Aggregates the nodes' statuses by failure domain.
#[must_use]
pub fn summarize_domains(
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
