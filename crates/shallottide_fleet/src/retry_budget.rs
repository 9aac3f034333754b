//! Limits repeated sends to a service over all nodes, without communication between them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the operators' limit that nodes use; the rest covers nodes whose views differ.
const USED_FRACTION: f64 = 0.6;

/// The operators' limit on repeated sends, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBound {
    /// Repeats per first send.
    pub ratio: f64,
    /// Repeats that are allowed in addition, in each window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RepeatBound {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// One node's share of the retry budget of one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Records a call that arrived for the service.
    pub fn first(&mut self, now: Instant, bound: &RepeatBound) {
        remove_expired(&mut self.firsts, now, bound.window);
        self.firsts.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left.
    ///
    /// `nodes` is the highest number of nodes that may draw on the budget.
    pub fn take(&mut self, now: Instant, nodes: usize, bound: &RepeatBound) -> bool {
        remove_expired(&mut self.firsts, now, bound.window);
        remove_expired(&mut self.repeats, now, bound.window);
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let firsts = f64::from(u32::try_from(self.firsts.len()).unwrap_or(u32::MAX));
        let allowed = USED_FRACTION * (bound.ratio * firsts + bound.slack / nodes);
        let used = f64::from(u32::try_from(self.repeats.len()).unwrap_or(u32::MAX));
        if used + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Gives back the repeat that was taken last, as nothing was sent.
    pub fn give_back(&mut self) {
        self.repeats.pop_back();
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|&at| now.saturating_duration_since(at) > window)
    {
        times.pop_front();
    }
}
