//! How much work callers ask of each model.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use shallottide_types::id::ModelId;

/// Span over which demand is added up.
const SPAN: Duration = Duration::from_secs(10);
/// Requests below which the operators' shares count instead.
const FEWEST: usize = 120;

/// Work asked for lately, as the time that one group would be busy with it.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    asked: VecDeque<(Instant, ModelId, Duration)>,
    sums: BTreeMap<ModelId, Duration>,
}

impl Demand {
    /// Notes a request.
    pub fn asked(&mut self, model: &ModelId, work: Duration, now: Instant) {
        self.forget(now);
        self.asked.push_back((now, model.clone(), work));
        *self.sums.entry(model.clone()).or_default() += work;
    }

    /// Returns the work asked for by model, or nothing while too little is known.
    pub fn by_model(&mut self, now: Instant) -> Option<&BTreeMap<ModelId, Duration>> {
        self.forget(now);
        (self.asked.len() >= FEWEST).then_some(&self.sums)
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, ..)) = self.asked.front() {
            if now.saturating_duration_since(*at) <= SPAN {
                return;
            }
            if let Some((_, model, work)) = self.asked.pop_front()
                && let Some(sum) = self.sums.get_mut(&model)
            {
                *sum = sum.saturating_sub(work);
            }
        }
    }
}
