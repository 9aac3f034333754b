//! Orders to model engines and what they report.

use std::net::SocketAddr;

use crate::data;
use crate::id::{FencingToken, GroupId, Incarnation, ModelId, VmId};

data! {
    /// An order to one engine, sent as JSON to `POST /orders`.
    pub struct Order {
        /// Number of the placement write behind the order. A fencing engine answers
        /// 409 to a number lower than the highest it has seen.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// What to do.
        pub action: OrderAction,
    }

    /// What an engine is told to do.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum OrderAction {
        /// Load a model's shard and join a group.
        Join(Assignment),
        /// Drop the model and be idle.
        Release,
    }

    /// A VM's place in a group.
    pub struct Assignment {
        /// The group.
        pub group: GroupId,
        /// The model to load.
        pub model: ModelId,
        /// The fence of the write that formed the group.
        pub formed: FencingToken,
        /// This VM's rank; rank 0 takes the requests.
        pub rank: u8,
        /// The engine addresses of all members by rank.
        pub members: Vec<SocketAddr>,
    }

    /// An engine's own view, answered as JSON by `GET /report`.
    pub struct EngineReport {
        /// The VM.
        pub vm: VmId,
        /// Raised when the engine process restarts.
        pub incarnation: Incarnation,
        /// The highest fence seen; 0 when the engine ignores fences.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// The assignment it holds.
        pub assignment: Option<Assignment>,
        /// How far it is.
        pub state: EngineState,
        /// Requests running, as of `lag_ms` ago.
        pub running: u32,
        /// Requests queued, as of `lag_ms` ago.
        pub queued: u32,
        /// Age of the load figures in milliseconds.
        pub lag_ms: u64,
    }

    /// How far an engine is with its assignment.
    #[serde(rename_all = "snake_case")]
    #[derive(Copy, PartialOrd, Ord)]
    pub enum EngineState {
        /// Holds no model.
        Idle,
        /// Loads weights.
        Loading,
        /// Loaded, but slow until it has done some work.
        Cold,
        /// Up to full speed.
        Warm,
    }
}

impl EngineState {
    /// Tells whether the engine can take requests at all.
    #[must_use]
    pub fn is_ready(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }
}
