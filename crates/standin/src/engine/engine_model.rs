//! The engine's state machine, without I/O or a clock of its own.

use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport, EngineState, Order, OrderAction};
use shallottide_types::id::{FencingToken, Incarnation};

use super::engine_options::{ColdOverload, EngineOptions};
use super::load_history::{Load, LoadHistory};
use super::prefix_cache::{CacheCounts, PrefixCache};

const PERCENT: u32 = 100;

/// Why an engine refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// The engine isn't rank 0 of a loaded group; nothing ran.
    #[error("engine is not rank 0 of a loaded group: send the request to another group")]
    NotReady,
    /// The engine is cold and failed because its cold capacity was exceeded.
    #[error("cold engine failed under load: send fewer requests until it is warm")]
    ColdOverload,
}

/// A request that the engine has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Engine epoch at the start of the run. The engine increments its epoch when the group fails
    /// or is replaced, which interrupts the run.
    epoch: u64,
}

/// The state of one engine; callers pass in the time.
#[derive(Debug)]
pub struct EngineModel {
    options: EngineOptions,
    incarnation: Incarnation,
    highest_fencing_token: FencingToken,
    assignment: Option<Assignment>,
    /// When the engine's own shard is loaded; `None` while it must wait for the other members
    /// first.
    loaded_at: Option<Instant>,
    /// Whether all other members hold the same assignment and are ready.
    members_ready: bool,
    /// Tokens generated since the engine was last reset to cold.
    tokens_since_cold: u64,
    /// Tokens not yet reported to the other members.
    unreported_tokens: u64,
    epoch: u64,
    load: Load,
    history: LoadHistory,
    cache: PrefixCache,
    overloads: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self {
            incarnation: options.incarnation,
            options,
            highest_fencing_token: FencingToken::default(),
            assignment: None,
            loaded_at: None,
            members_ready: false,
            tokens_since_cold: 0,
            unreported_tokens: 0,
            epoch: 0,
            load: Load::default(),
            history: LoadHistory::default(),
            cache: PrefixCache::default(),
            overloads: 0,
        }
    }

    /// Applies an order.
    ///
    /// # Errors
    /// The highest fencing token seen, when the order's token is lower and the engine checks
    /// fencing tokens.
    pub fn order(&mut self, order: &Order, now: Instant) -> Result<(), FencingToken> {
        if self.options.fences_orders {
            if order.fencing_token < self.highest_fencing_token {
                return Err(self.highest_fencing_token);
            }
            self.highest_fencing_token = order.fencing_token;
        }
        match &order.action {
            OrderAction::Join(assignment) => self.join(assignment, now),
            OrderAction::Release => self.drop_model(),
        }
        Ok(())
    }

    fn join(&mut self, assignment: &Assignment, now: Instant) {
        if self.assignment.as_ref() == Some(assignment) {
            return;
        }
        self.drop_model();
        self.members_ready = assignment.rank != 0 || assignment.members.len() < 2;
        self.assignment = Some(assignment.clone());
        self.loaded_at = Some(now + self.options.load_time);
    }

    fn drop_model(&mut self) {
        self.assignment = None;
        self.loaded_at = None;
        self.tokens_since_cold = 0;
        self.epoch += 1;
        self.cache.clear();
    }

    /// Restarts without a model and increments the incarnation.
    pub fn restart(&mut self) {
        self.drop_model();
        self.incarnation = self.incarnation.next();
        self.highest_fencing_token = FencingToken::default();
    }

    /// Resets the engine to cold.
    pub fn turn_cold(&mut self) {
        self.tokens_since_cold = 0;
    }

    /// Returns the assignment if this engine is rank 0 and must check the other members.
    #[must_use]
    pub fn watched_assignment(&self) -> Option<&Assignment> {
        let is_rank_zero = |a: &&Assignment| a.rank == 0 && a.members.len() > 1;
        self.assignment.as_ref().filter(is_rank_zero)
    }

    /// Records whether all other members of `assignment` are ready. A lost member fails the
    /// group, which must then load again.
    pub fn update_members_ready(&mut self, assignment: &Assignment, ready: bool, now: Instant) {
        if self.assignment.as_ref() != Some(assignment) {
            return;
        }
        if self.members_ready && !ready {
            self.epoch += 1;
            self.loaded_at = None;
            self.tokens_since_cold = 0;
            self.cache.clear();
        }
        if ready && self.loaded_at.is_none() {
            self.loaded_at = Some(now + self.options.load_time);
        }
        self.members_ready = ready;
    }

    /// Returns the loading and warm-up state.
    #[must_use]
    pub fn state(&self, now: Instant) -> EngineState {
        let loaded = self.loaded_at.is_some_and(|at| at <= now);
        if self.assignment.is_none() {
            EngineState::Idle
        } else if !loaded || !self.members_ready {
            EngineState::Loading
        } else if self.tokens_since_cold < self.options.warm_up_tokens {
            EngineState::Cold
        } else {
            EngineState::Warm
        }
    }

    /// Returns the report; its load figures are `report_lag` old.
    #[must_use]
    pub fn report(&self, now: Instant) -> EngineReport {
        let lag = self.options.report_lag;
        let load = self.history.as_of(now, lag);
        EngineReport {
            vm: self.options.vm.clone(),
            incarnation: self.incarnation,
            fencing_token: self.highest_fencing_token,
            assignment: self.assignment.clone(),
            state: self.state(now),
            running: load.running,
            queued: load.queued,
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// [`RefusalReason`], when the request is refused.
    pub fn queue(&mut self, now: Instant) -> Result<Run, RefusalReason> {
        let is_rank_zero = self.assignment.as_ref().is_some_and(|a| a.rank == 0);
        if !is_rank_zero || !self.state(now).is_ready() {
            return Err(RefusalReason::NotReady);
        }
        if self.is_at_cold_capacity(now) {
            self.overloads += 1;
            if self.options.cold_overload == ColdOverload::Fail {
                return Err(RefusalReason::ColdOverload);
            }
        }
        self.change_load(now, |load| load.queued += 1);
        Ok(Run { epoch: self.epoch })
    }

    fn is_at_cold_capacity(&self, now: Instant) -> bool {
        let accepted = self.load.running + self.load.queued;
        self.state(now) == EngineState::Cold && accepted >= self.options.cold_capacity
    }

    /// Moves a queued request into the batch; `false` while the batch is full.
    pub fn start(&mut self, now: Instant) -> bool {
        let has_capacity = self.load.running < self.options.capacity;
        if has_capacity {
            self.change_load(now, |load| {
                load.queued -= 1;
                load.running += 1;
            });
        }
        has_capacity
    }

    /// Removes a request from the queue before it ran.
    pub fn leave_queue(&mut self, now: Instant) {
        self.change_load(now, |load| load.queued -= 1);
    }

    /// Removes a request from the batch.
    pub fn end(&mut self, now: Instant) {
        self.change_load(now, |load| load.running -= 1);
    }

    fn change_load(&mut self, now: Instant, change: impl FnOnce(&mut Load)) {
        change(&mut self.load);
        self.history.record(now, self.load, self.options.report_lag);
    }

    /// Returns whether a run is still active: its group has neither failed nor been replaced.
    #[must_use]
    pub fn is_run_active(&self, run: Run) -> bool {
        run.epoch == self.epoch
    }

    /// Returns the prefill time: zero when the prompt's prefix is cached.
    pub fn prefill(&mut self, prompt: &str) -> Duration {
        let prefix = prompt.chars().take(self.options.prefix_length);
        let prefix: String = prefix.collect();
        let capacity = self.options.cached_prefixes;
        if self.cache.use_prefix(&prefix, capacity) {
            Duration::ZERO
        } else {
            self.options.prefill_time
        }
    }

    /// Returns how often prompts began with a cached prefix.
    #[must_use]
    pub fn cache_counts(&self) -> CacheCounts {
        self.cache.counts()
    }

    /// Records one generated token.
    pub fn record_token(&mut self) {
        self.tokens_since_cold += 1;
        self.unreported_tokens += 1;
    }

    /// Takes the number of tokens not yet reported to the other members. All members take part in
    /// generating every token, so all of them warm up.
    pub fn take_unreported_tokens(&mut self) -> u64 {
        std::mem::take(&mut self.unreported_tokens)
    }

    /// Records tokens that rank 0 generated together with this member.
    pub fn record_shared_tokens(&mut self, tokens: u64) {
        self.tokens_since_cold += tokens;
    }

    /// Returns the generation time of the next token.
    #[must_use]
    pub fn token_time(&self, now: Instant) -> Duration {
        let other_runs = self.load.running.saturating_sub(1);
        let percent = PERCENT + self.options.batch_percent * other_runs;
        let time = self.options.token_time * percent / PERCENT;
        if self.state(now) != EngineState::Cold {
            return time;
        }
        let time = time * self.options.cold_slowdown;
        match self.options.cold_overload {
            ColdOverload::Slow(factor) if self.load.running > self.options.cold_capacity => {
                time * factor
            }
            _ => time,
        }
    }

    /// Returns how often requests exceeded the cold capacity.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.overloads
    }
}
