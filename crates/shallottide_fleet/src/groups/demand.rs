//! How much work callers ask of each model.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::data;
use shallottide_types::id::{ModelId, NodeId};

/// Span over which demand is added up.
const SPAN: Duration = Duration::from_secs(10);
/// Requests over all nodes below which nothing is said of the demand.
const FEWEST: u32 = 120;
/// Age up to which a peer's report counts; some reports may be lost on the way.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

data! {
    /// What was asked of one node within the span.
    #[derive(Default)]
    pub struct DemandReport {
        /// Requests.
        pub requests: u32,
        /// The time that one group would be busy with them, by model.
        pub work: BTreeMap<ModelId, Duration>,
    }
}

/// Work asked for lately of this node and its peers.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    asked: VecDeque<(Instant, ModelId, Duration)>,
    own: BTreeMap<ModelId, Duration>,
    peers: BTreeMap<NodeId, (Instant, DemandReport)>,
}

impl Demand {
    /// Notes a request to this node.
    pub fn record_request(&mut self, model: &ModelId, work: Duration, now: Instant) {
        self.forget(now);
        self.asked.push_back((now, model.clone(), work));
        *self.own.entry(model.clone()).or_default() += work;
    }

    /// Returns what was asked of this node.
    pub fn report(&mut self, now: Instant) -> DemandReport {
        self.forget(now);
        DemandReport {
            requests: u32::try_from(self.asked.len()).unwrap_or(u32::MAX),
            work: self.own.clone(),
        }
    }

    /// Takes in what was asked of a peer.
    pub fn record_peer_report(&mut self, peer: NodeId, report: DemandReport, now: Instant) {
        self.peers.insert(peer, (now, report));
    }

    /// Returns the work asked for by model, of all nodes that were heard, or nothing while too
    /// little is known.
    pub fn by_model(&mut self, now: Instant) -> Option<BTreeMap<ModelId, Duration>> {
        let mut sum = self.report(now);
        for (_, report) in self.peers.values() {
            sum.requests = sum.requests.saturating_add(report.requests);
            for (model, work) in &report.work {
                let known = sum.work.entry(model.clone()).or_default();
                *known = known.saturating_add(*work);
            }
        }
        (sum.requests >= FEWEST).then_some(sum.work)
    }

    fn forget(&mut self, now: Instant) {
        let is_new = |at: Instant, age| now.saturating_duration_since(at) <= age;
        self.peers.retain(|_, (at, _)| is_new(*at, REPORT_AGE));
        while let Some((at, ..)) = self.asked.front() {
            if is_new(*at, SPAN) {
                return;
            }
            if let Some((_, model, work)) = self.asked.pop_front()
                && let Some(sum) = self.own.get_mut(&model)
            {
                *sum = sum.saturating_sub(work);
            }
        }
    }
}
