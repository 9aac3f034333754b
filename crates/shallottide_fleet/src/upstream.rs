//! Upstreams, as they describe themselves in the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::id::{DomainId, FabricId, GroupId, ModelId, ServiceId, UpstreamId};

/// Longest cold phase that an entry may announce.
pub const MAX_COLD_TIME: Duration = Duration::from_hours(24);

/// State of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupState {
    /// Loading or reading weights.
    Joining,
    /// Holding its part of the model.
    Ready,
    /// Head only: serving.
    Open,
    /// Head only: finishing its requests, accepting no new ones.
    Closing,
    /// Lost a member permanently; serves nothing until it joins a group again.
    Broken,
}

impl fmt::Display for GroupState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        })
    }
}

/// One formation of a group; a group's name is reused only under a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Formation {
    /// The group's name.
    pub group: GroupId,
    /// Increases over all formations of all controllers.
    pub epoch: u64,
}

impl fmt::Display for Formation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.group, self.epoch)
    }
}

data! {
    /// An upstream's membership in a group.
    pub struct Membership {
        /// The formation that it joined.
        pub formation: Formation,
        /// Position in the member list; 0 is the head.
        pub rank: usize,
        /// The member's state.
        pub state: GroupState,
    }

    /// An upstream's own description.
    pub struct Upstream {
        /// Its id.
        pub id: UpstreamId,
        /// The service that it belongs to.
        pub service: ServiceId,
        /// Address on which it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is draining, to leave afterwards.
        pub draining: bool,
        /// Remaining time of its cold phase when the entry was written.
        pub cold_left: Duration,
        /// Start time in milliseconds since 1970; distinguishes two lifetimes of an id.
        pub born: u64,
        /// Number of the entry within this lifetime; a late entry has a lower one.
        pub heartbeat_seq: u64,
        /// Engines only: its fabric domain.
        pub fabric: Option<FabricId>,
        /// Engines only: models whose weights are staged on its VM.
        pub staged: Vec<ModelId>,
        /// Engines only: the model that it has loaded.
        pub model: Option<ModelId>,
        /// Engines only: its group.
        pub membership: Option<Membership>,
    }
}

impl Upstream {
    /// Returns whether it is the head of a serving group.
    #[must_use]
    pub fn is_open_head(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|m| m.rank == 0 && m.state == GroupState::Open)
    }
}
