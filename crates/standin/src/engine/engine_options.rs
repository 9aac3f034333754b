//! How an engine stand-in is set up.

use std::time::Duration;

use shallottide_types::id::{Incarnation, VmId};

use super::EngineFaults;
use crate::http::ListenOptions;

/// What a cold engine does with more requests than it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdOverload {
    /// It answers 500 to each request above its cold capacity.
    Fail,
    /// It takes so many times as long for every token.
    Slow(u32),
}

/// How an engine stand-in is set up.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: ListenOptions,
    /// Its VM.
    pub vm: VmId,
    /// Its first incarnation.
    pub incarnation: Incarnation,
    /// Whether it refuses orders with an old fencing number.
    pub fences_orders: bool,
    /// Time for a token when nothing else runs.
    pub token_time: Duration,
    /// Percent of `token_time` that each other running request adds.
    pub batch_percent: u32,
    /// Time added before the first token when the prompt's prefix isn't cached.
    pub prefill_time: Duration,
    /// Prefixes that stay cached.
    pub cached_prefixes: usize,
    /// Characters of a prompt that make its prefix.
    pub prefix_length: usize,
    /// Requests that run at once; more wait.
    pub capacity: u32,
    /// Requests that it bears while cold.
    pub cold_capacity: u32,
    /// What happens above `cold_capacity`.
    pub cold_overload: ColdOverload,
    /// Times as long that a token takes while cold.
    pub cold_slowdown: u32,
    /// Tokens after which it is warm.
    pub warm_up_tokens: u64,
    /// Time to load a model.
    pub load_time: Duration,
    /// Age of the load figures in its report.
    pub report_lag: Duration,
    /// Time between two checks of the other members of its group.
    pub member_check_interval: Duration,
    /// Switches that are set from the start.
    pub faults: EngineFaults,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: ListenOptions::default(),
            vm: "vm-1".parse().expect("a valid id"),
            incarnation: Incarnation(1),
            fences_orders: true,
            token_time: Duration::from_millis(10),
            batch_percent: 5,
            prefill_time: Duration::ZERO,
            cached_prefixes: 16,
            prefix_length: 64,
            capacity: 64,
            cold_capacity: 8,
            cold_overload: ColdOverload::Fail,
            cold_slowdown: 3,
            warm_up_tokens: 200,
            load_time: Duration::from_millis(500),
            report_lag: Duration::ZERO,
            member_check_interval: Duration::from_secs(1),
            faults: EngineFaults::default(),
        }
    }
}
