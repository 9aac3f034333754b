//! Orders to model engines and their status reports.

use std::net::SocketAddr;

use crate::data;
use crate::id::{FencingToken, GroupId, Incarnation, ModelId, VmId};

data! {
    /// An order to one engine, sent as JSON to `POST /orders`.
    pub struct Order {
        /// Number of the placement write that caused the order. An engine that fences orders
        /// answers 409 to a number lower than the highest it has seen.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// What the engine must do.
        pub action: OrderAction,
    }

    /// The action that an order requests.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum OrderAction {
        /// Load this member's shard of the model and join the group.
        Join(Assignment),
        /// Unload the model and become idle.
        Release,
    }

    /// A VM's membership in a group.
    pub struct Assignment {
        /// The group to join.
        pub group: GroupId,
        /// The model to load.
        pub model: ModelId,
        /// Fencing token of the placement write that formed the group.
        pub formed: FencingToken,
        /// This VM's rank in the group; rank 0 receives the group's requests.
        pub rank: u8,
        /// Engine addresses of all members, in rank order.
        pub members: Vec<SocketAddr>,
    }

    /// Status of an engine, returned as JSON by `GET /report`.
    pub struct EngineReport {
        /// The VM that the engine runs on.
        pub vm: VmId,
        /// Start number of the engine process; a restart increments it.
        pub incarnation: Incarnation,
        /// Highest fencing token seen; 0 when the engine ignores fencing tokens.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// The current assignment; `None` while the engine is idle.
        pub assignment: Option<Assignment>,
        /// Loading state of the assignment.
        pub state: EngineState,
        /// Number of requests running, as of `lag_ms` ago.
        pub running: u32,
        /// Number of requests queued, as of `lag_ms` ago.
        pub queued: u32,
        /// Age of `running` and `queued` in milliseconds.
        pub lag_ms: u64,
    }

    /// Loading state of an engine.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, PartialOrd, Ord)]
    pub enum EngineState {
        /// No model is loaded.
        Idle,
        /// The weights are being loaded.
        Loading,
        /// The model is loaded but slow until it has processed some requests (warm-up).
        Cold,
        /// Warm-up is complete; the engine runs at full speed.
        Warm,
    }
}

impl EngineState {
    /// Returns whether the engine can take requests, at full speed or not.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }
}
