//! What an engine decides, without sockets or time of its own.

use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineReport, EngineState, Order, OrderAction};
use shallottide_types::id::{FencingToken, Incarnation};

use super::engine_options::{ColdOverload, EngineOptions};
use super::load_history::{Load, LoadHistory};
use super::prefix_cache::{CacheCounts, PrefixCache};

const PERCENT: u32 = 100;

/// Why an engine doesn't run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// It isn't rank 0 of a loaded group; nothing ran.
    #[error("engine is not rank 0 of a loaded group: send the request to another group")]
    NotReady,
    /// It is cold and failed under more requests than it bears.
    #[error("cold engine failed under load: send fewer requests until it is warm")]
    ColdOverload,
}

/// A request that the engine has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Raised when the group fails or is replaced, which cuts the run.
    epoch: u64,
}

/// The state of one engine; the time is passed in.
#[derive(Debug)]
pub struct EngineModel {
    options: EngineOptions,
    incarnation: Incarnation,
    seen: FencingToken,
    assignment: Option<Assignment>,
    /// When its own shard is loaded; unset while it must wait for the members first.
    loaded_at: Option<Instant>,
    /// Whether all other members hold the same assignment and are ready.
    members_ready: bool,
    /// Tokens made since it was last cold.
    work: u64,
    /// Tokens that the other members have not been told of.
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
            seen: FencingToken::default(),
            assignment: None,
            loaded_at: None,
            members_ready: false,
            work: 0,
            unreported_tokens: 0,
            epoch: 0,
            load: Load::default(),
            history: LoadHistory::default(),
            cache: PrefixCache::default(),
            overloads: 0,
        }
    }

    /// Takes an order.
    ///
    /// # Errors
    /// The highest fence seen, when the order's is lower and the engine fences.
    pub fn order(&mut self, order: &Order, now: Instant) -> Result<(), FencingToken> {
        if self.options.fences_orders {
            if order.fencing_token < self.seen {
                return Err(self.seen);
            }
            self.seen = order.fencing_token;
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
        self.work = 0;
        self.epoch += 1;
        self.cache.clear();
    }

    /// Starts again without a model, as a new incarnation.
    pub fn restart(&mut self) {
        self.drop_model();
        self.incarnation = self.incarnation.next();
        self.seen = FencingToken::default();
    }

    /// Makes the engine cold again.
    pub fn turn_cold(&mut self) {
        self.work = 0;
    }

    /// Returns the assignment when this engine has to watch its members.
    #[must_use]
    pub fn watched_assignment(&self) -> Option<&Assignment> {
        let leads = |a: &&Assignment| a.rank == 0 && a.members.len() > 1;
        self.assignment.as_ref().filter(leads)
    }

    /// Notes whether all other members of `assignment` are ready. A lost member fails the
    /// group, which then loads again.
    pub fn update_members_ready(&mut self, assignment: &Assignment, ready: bool, now: Instant) {
        if self.assignment.as_ref() != Some(assignment) {
            return;
        }
        if self.members_ready && !ready {
            self.epoch += 1;
            self.loaded_at = None;
            self.work = 0;
            self.cache.clear();
        }
        if ready && self.loaded_at.is_none() {
            self.loaded_at = Some(now + self.options.load_time);
        }
        self.members_ready = ready;
    }

    /// Returns how far the engine is.
    #[must_use]
    pub fn state(&self, now: Instant) -> EngineState {
        let loaded = self.loaded_at.is_some_and(|at| at <= now);
        if self.assignment.is_none() {
            EngineState::Idle
        } else if !loaded || !self.members_ready {
            EngineState::Loading
        } else if self.work < self.options.warm_up_tokens {
            EngineState::Cold
        } else {
            EngineState::Warm
        }
    }

    /// Returns the report, with load figures as old as the lag.
    #[must_use]
    pub fn report(&self, now: Instant) -> EngineReport {
        let lag = self.options.report_lag;
        let load = self.history.as_of(now, lag);
        EngineReport {
            vm: self.options.vm.clone(),
            incarnation: self.incarnation,
            fencing_token: self.seen,
            assignment: self.assignment.clone(),
            state: self.state(now),
            running: load.running,
            queued: load.queued,
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Takes a request into the queue.
    ///
    /// # Errors
    /// [`RefusalReason`], when it doesn't run.
    pub fn queue(&mut self, now: Instant) -> Result<Run, RefusalReason> {
        let leads = self.assignment.as_ref().is_some_and(|a| a.rank == 0);
        if !leads || !self.state(now).is_ready() {
            return Err(RefusalReason::NotReady);
        }
        if self.is_cold_full(now) {
            self.overloads += 1;
            if self.options.cold_overload == ColdOverload::Fail {
                return Err(RefusalReason::ColdOverload);
            }
        }
        self.change_load(now, |load| load.queued += 1);
        Ok(Run { epoch: self.epoch })
    }

    fn is_cold_full(&self, now: Instant) -> bool {
        let taken = self.load.running + self.load.queued;
        self.state(now) == EngineState::Cold && taken >= self.options.cold_capacity
    }

    /// Moves a queued request into the batch; `false` while the batch is full.
    pub fn start(&mut self, now: Instant) -> bool {
        let has_place = self.load.running < self.options.capacity;
        if has_place {
            self.change_load(now, |load| {
                load.queued -= 1;
                load.running += 1;
            });
        }
        has_place
    }

    /// Takes a request out of the queue before it ran.
    pub fn leave_queue(&mut self, now: Instant) {
        self.change_load(now, |load| load.queued -= 1);
    }

    /// Takes a request out of the batch.
    pub fn end(&mut self, now: Instant) {
        self.change_load(now, |load| load.running -= 1);
    }

    fn change_load(&mut self, now: Instant, change: impl FnOnce(&mut Load)) {
        change(&mut self.load);
        self.history.note(now, self.load, self.options.report_lag);
    }

    /// Tells whether a run goes on, or was cut by the group's failure or replacement.
    #[must_use]
    pub fn is_run_active(&self, run: Run) -> bool {
        run.epoch == self.epoch
    }

    /// Returns the time before the first token: none when the prompt's prefix is cached.
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

    /// Counts one token.
    pub fn record_token(&mut self) {
        self.work += 1;
        self.unreported_tokens += 1;
    }

    /// Takes the tokens that the other members have not been told of; each makes its share
    /// of every token.
    pub fn take_unreported_tokens(&mut self) -> u64 {
        std::mem::take(&mut self.unreported_tokens)
    }

    /// Counts tokens that rank 0 made with this member.
    pub fn record_shared_tokens(&mut self, tokens: u64) {
        self.work += tokens;
    }

    /// Returns the time that the next token takes.
    #[must_use]
    pub fn token_time(&self, now: Instant) -> Duration {
        let others = self.load.running.saturating_sub(1);
        let percent = PERCENT + self.options.batch_percent * others;
        let time = self.options.token_time * percent / PERCENT;
        if self.state(now) != EngineState::Cold {
            return time;
        }
        let time = time * self.options.cold_slowdown;
        match self.options.cold_overload {
            ColdOverload::Slow(times) if self.load.running > self.options.cold_capacity => {
                time * times
            }
            _ => time,
        }
    }

    /// Returns how often a cold engine got more than it bears.
    #[must_use]
    pub fn overloads(&self) -> u64 {
        self.overloads
    }
}
