//! Calls that end the upstreams which run them, and come again under new ids.
//!
//! The node that a caller reached reports each attempt whose answer was lost to a few watchers, which
//! all nodes choose equally for the call's digest. A watcher that hears of losses at enough
//! upstreams, and of no answer, tells all nodes to refuse the call.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::CallDigest;
use shallottide_types::peer::SlotTag;

/// Crashes with a call, and no complete answer since, from which it is refused.
const MIN_CRASHES: usize = 3;
/// Losses at one upstream closer together than this are of the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_millis(300);
/// Time for which losses count.
const EVIDENCE_LIFETIME: Duration = Duration::from_mins(1);
/// Time for which a call is refused; losses count until then, so that the next one refuses it again.
pub(super) const REFUSAL_TIME: Duration = Duration::from_mins(2);
/// Most calls whose losses are kept.
const MAX_CALLS: usize = 4_096;

#[derive(Debug, Clone)]
struct Losses {
    /// Upstreams that ended with the call, and when; bounded, as enough of them refuse it.
    crashes: Vec<(SlotTag, Instant)>,
    counts_until: Instant,
}

/// Losses of calls that this node knows of, and the calls that it refuses.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashingCalls {
    losses: BTreeMap<CallDigest, Losses>,
    /// Until when each call is refused.
    refused: BTreeMap<CallDigest, Instant>,
}

impl CrashingCalls {
    /// Returns whether nothing is known, so that no call needs a digest.
    pub(super) fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.refused.is_empty()
    }

    /// Records that the answer of a call was lost; returns whether the call must be refused from now on.
    pub(super) fn record_loss(&mut self, call: CallDigest, slot: SlotTag, now: Instant) -> bool {
        self.expire(now);
        if self.losses.len() >= MAX_CALLS && !self.losses.contains_key(&call) {
            return false;
        }
        let losses = self.losses.entry(call).or_insert_with(|| Losses {
            crashes: Vec::new(),
            counts_until: now,
        });
        let is_same = |(other, at): &(SlotTag, Instant)| {
            *other == slot && now.saturating_duration_since(*at) < SAME_CRASH_TIME
        };
        if losses.crashes.len() < MIN_CRASHES && !losses.crashes.iter().any(is_same) {
            losses.crashes.push((slot, now));
        }
        losses.counts_until = losses.counts_until.max(now + EVIDENCE_LIFETIME);
        losses.crashes.len() >= MIN_CRASHES && !self.refused.contains_key(&call)
    }

    /// Records that a call was answered.
    pub(super) fn record_answer(&mut self, call: CallDigest) {
        self.losses.remove(&call);
        self.refused.remove(&call);
    }

    /// Refuses a call for a time.
    pub(super) fn refuse(&mut self, call: CallDigest, time: Duration, now: Instant) {
        let until = now + time.min(REFUSAL_TIME);
        self.refused.insert(call, until);
        if let Some(losses) = self.losses.get_mut(&call) {
            losses.counts_until = until + EVIDENCE_LIFETIME;
        }
    }

    /// Returns for how long a call is refused.
    pub(super) fn refused_for(&self, call: CallDigest, now: Instant) -> Option<Duration> {
        let left = self.refused.get(&call)?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a call has ended more than one upstream, so that it is not sent again.
    pub(super) fn is_suspect(&self, call: CallDigest) -> bool {
        let losses = self.losses.get(&call);
        losses.is_some_and(|losses| losses.crashes.len() >= MIN_CRASHES - 1)
    }

    /// Returns whether any loss of a call is known.
    pub(super) fn is_known(&self, call: CallDigest) -> bool {
        self.losses.contains_key(&call)
    }

    fn expire(&mut self, now: Instant) {
        self.losses.retain(|_, losses| now < losses.counts_until);
        self.refused.retain(|_, until| now < *until);
    }
}
