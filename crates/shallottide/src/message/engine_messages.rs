//! Messages between the groups service and the engines' border.

use std::net::SocketAddr;
use std::time::Instant;

use shallottide_types::engine::{EngineReport, Order};
use shallottide_types::id::{FencingToken, VmId};

/// Sends one order to an engine.
#[derive(Debug, Clone)]
pub struct EngineOrder {
    /// The VM.
    pub vm: VmId,
    /// Its engine's address.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// When the sender's lease ends; the border drops the order from then on.
    pub valid_until: Instant,
}

/// The result of an order.
#[derive(Debug, Clone)]
pub struct EngineOrderResult {
    /// The VM.
    pub vm: VmId,
    /// Fencing token of the order.
    pub fencing_token: FencingToken,
    /// Whether the engine took it.
    pub result: Result<(), OrderError>,
}

/// Why an order was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a higher fence.
    #[error("engine refused fence: it has seen {seen}")]
    Stale {
        /// Highest fence the engine has seen.
        seen: FencingToken,
    },
    /// The engine can't be reached or gave no answer; the order may have been taken.
    #[error("engine gave no answer: {0}")]
    NoAnswer(String),
}

/// Reads an engine's report.
#[derive(Debug, Clone)]
pub struct EnginePoll {
    /// The VM.
    pub vm: VmId,
    /// Its engine's address.
    pub address: SocketAddr,
}

/// The result of a poll.
#[derive(Debug, Clone)]
pub struct EnginePollResult {
    /// The VM.
    pub vm: VmId,
    /// The report, or why there is none.
    pub result: Result<EngineReport, String>,
}
