//! Work that callers have recently requested of each model.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::data;
use shallottide_types::id::{ModelId, NodeId};

use super::demand_forecast::{
    RECENT_DEMAND_VERSION, RECENT_WINDOW, RecentDemandReport, ShareHistory, Work, largest,
};

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
    /// Calls refused for lack of room within the recent window.
    refused: VecDeque<(Instant, ModelId, Duration)>,
    recent_reports: BTreeMap<NodeId, (Instant, RecentDemandReport)>,
    /// Shares of all known work over `WINDOW`, and over the recent window.
    shares: ShareHistory,
    recent_shares: ShareHistory,
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
            add(&mut sum.work, &report.work);
        }
        (sum.requests >= MIN_REQUESTS).then_some(sum.work)
    }

    /// Records that a request to this node was refused because its model had no room.
    pub fn record_refused(&mut self, model: &ModelId, work: Duration, now: Instant) {
        self.remove_expired(now);
        self.refused.push_back((now, model.clone(), work));
    }

    /// Returns what this node received and refused within the last three seconds, for its peers.
    pub fn recent_report(&mut self, own: &NodeId, now: Instant) -> RecentDemandReport {
        self.remove_expired(now);
        RecentDemandReport {
            version: RECENT_DEMAND_VERSION,
            node: own.clone(),
            requested: largest(self.own_recent(now)),
            refused: largest(sum_by_model(self.refused.iter())),
        }
    }

    /// Stores what a peer received and refused recently, in place of its previous report.
    pub fn merge(&mut self, report: RecentDemandReport, now: Instant) {
        let peer = report.node.clone();
        self.recent_reports.insert(peer, (now, report));
    }

    /// Returns the work by model as [`Self::by_model`] does, divided among the models as it will be
    /// `lead` from now, with refused calls counted once more; `None` while the sample is too small.
    ///
    /// A refused call was counted when it arrived. Counted again, it raises the share of a model that
    /// lacks supply, at most to twice its demand.
    pub fn forecast(
        &mut self,
        lead: Duration,
        now: Instant,
    ) -> Option<BTreeMap<ModelId, Duration>> {
        let mut work = self.by_model(now)?;
        self.shares.push(&work, now);
        let mut recent = self.own_recent(now);
        let mut refused = sum_by_model(self.refused.iter());
        for (_, report) in self.recent_reports.values() {
            add(&mut recent, &report.requested);
            add(&mut refused, &report.refused);
        }
        // Without reports, the recent requests are those of this node alone: too few.
        if !self.recent_reports.is_empty() {
            self.recent_shares.push(&recent, now);
        }
        let total: Duration = work.values().sum();
        for (model, sum) in &mut work {
            let by_recent = self.recent_shares.forecast(model, RECENT_WINDOW, lead, now);
            let by_sums = || self.shares.forecast(model, WINDOW, lead, now);
            if let Some(share) = by_recent.or_else(by_sums) {
                *sum = total.mul_f64(share);
            }
            let of = |work: &Work| work.get(model).map_or(0.0, Duration::as_secs_f64);
            let lacking = of(&refused) / of(&recent).max(f64::MIN_POSITIVE);
            *sum = sum.mul_f64(1.0 + lacking.clamp(0.0, 1.0));
        }
        Some(work)
    }

    /// Sums this node's requests of the recent window.
    fn own_recent(&self, now: Instant) -> Work {
        let is_recent = |(at, ..): &&(Instant, ModelId, Duration)| {
            now.saturating_duration_since(*at) <= RECENT_WINDOW
        };
        sum_by_model(self.recent.iter().rev().take_while(is_recent))
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant, age| now.saturating_duration_since(at) <= age;
        self.peer_reports
            .retain(|_, (at, _)| is_recent(*at, MAX_REPORT_AGE));
        self.recent_reports
            .retain(|_, (at, _)| is_recent(*at, MAX_REPORT_AGE));
        while let Some((at, ..)) = self.refused.front()
            && !is_recent(*at, RECENT_WINDOW)
        {
            self.refused.pop_front();
        }
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

fn sum_by_model<'a>(requests: impl Iterator<Item = &'a (Instant, ModelId, Duration)>) -> Work {
    let mut sums = Work::new();
    for (_, model, work) in requests {
        *sums.entry(model.clone()).or_default() += *work;
    }
    sums
}

fn add(sums: &mut Work, work: &Work) {
    for (model, work) in work {
        let sum = sums.entry(model.clone()).or_default();
        *sum = sum.saturating_add(*work);
    }
}
