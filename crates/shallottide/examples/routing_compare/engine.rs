//! A simulated engine with continuous batching and a cache of prompt prefixes.

use shallottide::routing::Route;

use super::{
    CACHE_PREFIXES, PREFILL_HIT_MS, PREFILL_MISS_MS, STEP_MS, TOKEN_MS, TOKEN_MS_PER_CONCURRENT,
};

/// A call on an engine.
pub(super) struct Running {
    /// Index of the entry node that routed the call.
    pub(super) entry: usize,
    pub(super) route: Route,
    pub(super) started_ms: u64,
    /// Prefill time that is left, in milliseconds.
    pub(super) prefill_left: f64,
    pub(super) first_token_ms: Option<u64>,
    pub(super) tokens_left: f64,
    pub(super) tokens: f64,
}

#[derive(Default)]
pub(super) struct Engine {
    pub(super) running: Vec<Running>,
    /// Cached prefixes, least recently used first.
    pub(super) cache: Vec<u64>,
    /// Factor by which each token takes longer.
    pub(super) slowdown: f64,
}

impl Engine {
    /// Returns the prefill time of a prefix in milliseconds, and caches the prefix.
    pub(super) fn prefill(&mut self, prefix: u64) -> f64 {
        let hit = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = hit {
            self.cache.remove(index);
        } else if self.cache.len() == CACHE_PREFIXES {
            self.cache.remove(0);
        }
        self.cache.push(prefix);
        if hit.is_some() {
            PREFILL_HIT_MS
        } else {
            PREFILL_MISS_MS
        }
    }

    /// Simulates one step; returns the calls that ended.
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub(super) fn step(&mut self, now_ms: u64) -> Vec<Running> {
        let others = self.running.len().saturating_sub(1) as f64;
        let token_ms = (TOKEN_MS + TOKEN_MS_PER_CONCURRENT * others) * self.slowdown;
        let step = STEP_MS as f64;
        let share = TOKEN_MS / token_ms;
        for call in &mut self.running {
            if call.prefill_left > 0.0 {
                call.prefill_left -= step * share;
            } else {
                call.first_token_ms.get_or_insert(now_ms);
                call.tokens_left -= step / token_ms;
            }
        }
        self.running
            .extract_if(.., |call| call.tokens_left <= 0.0)
            .collect()
    }
}
