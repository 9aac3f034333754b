//! Options of an engine stand-in.

use std::time::Duration;

use shallottide_types::id::{Incarnation, VmId};

use super::EngineFaults;
use crate::http::ListenOptions;

/// Behaviour of a cold engine above its cold capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdOverload {
    /// Responds with 500 to each request above the cold capacity.
    Fail,
    /// Multiplies the time of every token by this factor.
    Slow(u32),
}

/// Options of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Listening address and connection limit.
    pub listen: ListenOptions,
    /// Id of the engine's VM.
    pub vm: VmId,
    /// Initial incarnation, incremented by each restart.
    pub incarnation: Incarnation,
    /// Whether orders with an outdated fencing token are refused.
    pub fences_orders: bool,
    /// Generation time of a token when no other request runs.
    pub token_time: Duration,
    /// Percent of `token_time` that each other running request adds.
    pub batch_percent: u32,
    /// Time added before the first token when the prompt's prefix isn't cached.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache.
    pub cached_prefixes: usize,
    /// Length of a prompt's cached prefix, in characters.
    pub prefix_length: usize,
    /// Requests that run concurrently; further ones are queued.
    pub capacity: u32,
    /// Concurrent requests that a cold engine handles.
    pub cold_capacity: u32,
    /// Behaviour above `cold_capacity`.
    pub cold_overload: ColdOverload,
    /// Factor on `token_time` while cold.
    pub cold_slowdown: u32,
    /// Tokens to generate until the engine is warm.
    pub warm_up_tokens: u64,
    /// Time to load a model.
    pub load_time: Duration,
    /// Age of the load figures in the engine's report.
    pub report_lag: Duration,
    /// Interval between two checks of the other group members.
    pub member_check_interval: Duration,
    /// Initial fault switches.
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
