//! A simulated engine that crashes when it is cold and gets too many calls.

use shallottide::routing::Route;
use shallottide_types::engine::EngineState;

use super::ANSWERS_TO_WARM;

/// A call on an engine. Times are since the start of the simulation.
pub(super) struct Running {
    pub(super) route: Route,
    pub(super) arrived_ms: u64,
    pub(super) first_ms: u64,
    pub(super) ends_ms: u64,
}

#[derive(Default)]
pub(super) struct Engine {
    pub(super) running: Vec<Running>,
    /// Complete answers since the engine was last cold.
    pub(super) answers: u32,
    /// When the engine is back after a crash.
    pub(super) down_until_ms: u64,
}

impl Engine {
    pub(super) fn is_cold(&self) -> bool {
        self.answers < ANSWERS_TO_WARM
    }

    pub(super) fn state(&self, now_ms: u64) -> EngineState {
        match (now_ms < self.down_until_ms, self.is_cold()) {
            (true, _) => EngineState::Loading,
            (false, true) => EngineState::Cold,
            (false, false) => EngineState::Warm,
        }
    }
}
