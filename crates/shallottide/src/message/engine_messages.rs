//! Messages between the groups service and the engines' adapter.

use std::net::SocketAddr;
use std::time::Instant;

use shallottide_types::engine::{EngineReport, Order};
use shallottide_types::id::{FencingToken, VmId};

/// Sends one order to an engine.
#[derive(Debug, Clone)]
pub struct EngineOrder {
    /// VM of the engine.
    pub vm: VmId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Order to send.
    pub order: Order,
    /// End of the sender's lease; the adapter drops the order from then on.
    pub valid_until: Instant,
}

/// Result of an [`EngineOrder`].
#[derive(Debug, Clone)]
pub struct EngineOrderResult {
    /// VM of the engine.
    pub vm: VmId,
    /// Fencing token of the order.
    pub fencing_token: FencingToken,
    /// Whether the engine accepted the order.
    pub result: Result<(), OrderError>,
}

/// Why an order was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a higher fencing token.
    #[error("engine refused stale fencing token: it has seen {seen}")]
    Stale {
        /// Highest fencing token the engine has seen.
        seen: FencingToken,
    },
    /// The engine is unreachable or did not answer; it may still have accepted the order.
    #[error("engine did not answer: {0}")]
    NoAnswer(String),
}

/// Reads an engine's report.
#[derive(Debug, Clone)]
pub struct EnginePoll {
    /// VM of the engine.
    pub vm: VmId,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Result of an [`EnginePoll`].
#[derive(Debug, Clone)]
pub struct EnginePollResult {
    /// VM of the engine.
    pub vm: VmId,
    /// The report, or why it could not be read.
    pub result: Result<EngineReport, String>,
}
