//! Work that callers have recently requested of each model.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::data;
use shallottide_types::id::{ModelId, NodeId};

/// Sliding window over which demand is summed.
const WINDOW: Duration = Duration::from_secs(10);
/// Requests of all nodes below which the sample is too small to act on.
const MIN_REQUESTS: u32 = 120;
/// Age up to which a peer's report counts; single reports may be lost in transit.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

data! {
    /// Requests that one node received within the window.
    #[derive(Default)]
    pub struct DemandReport {
        /// Number of requests.
        pub requests: u32,
        /// Time for which these requests would occupy one group, by model.
        pub work: BTreeMap<ModelId, Duration>,
    }
}

/// Recently requested work at this node and its peers.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    recent: VecDeque<(Instant, ModelId, Duration)>,
    own_work: BTreeMap<ModelId, Duration>,
    peer_reports: BTreeMap<NodeId, (Instant, DemandReport)>,
}

impl Demand {
    /// Records a request to this node.
    pub fn record_request(&mut self, model: &ModelId, work: Duration, now: Instant) {
        self.remove_expired(now);
        self.recent.push_back((now, model.clone(), work));
        *self.own_work.entry(model.clone()).or_default() += work;
    }

    /// Returns the requests that this node received within the window.
    pub fn report(&mut self, now: Instant) -> DemandReport {
        self.remove_expired(now);
        DemandReport {
            requests: u32::try_from(self.recent.len()).unwrap_or(u32::MAX),
            work: self.own_work.clone(),
        }
    }

    /// Stores a peer's report in place of its previous one.
    pub fn record_peer_report(&mut self, peer: NodeId, report: DemandReport, now: Instant) {
        self.peer_reports.insert(peer, (now, report));
    }

    /// Returns the requested work by model over all nodes with a current report, or `None` while
    /// the sample is too small.
    pub fn by_model(&mut self, now: Instant) -> Option<BTreeMap<ModelId, Duration>> {
        let mut sum = self.report(now);
        for (_, report) in self.peer_reports.values() {
            sum.requests = sum.requests.saturating_add(report.requests);
            for (model, work) in &report.work {
                let total = sum.work.entry(model.clone()).or_default();
                *total = total.saturating_add(*work);
            }
        }
        (sum.requests >= MIN_REQUESTS).then_some(sum.work)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant, age| now.saturating_duration_since(at) <= age;
        self.peer_reports
            .retain(|_, (at, _)| is_recent(*at, MAX_REPORT_AGE));
        while let Some((at, ..)) = self.recent.front() {
            if is_recent(*at, WINDOW) {
                return;
            }
            if let Some((_, model, work)) = self.recent.pop_front()
                && let Some(sum) = self.own_work.get_mut(&model)
            {
                *sum = sum.saturating_sub(work);
            }
        }
    }
}
