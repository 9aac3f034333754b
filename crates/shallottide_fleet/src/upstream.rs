//! One upstream as it describes itself in the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::id::{DomainId, FabricId, GroupId, ModelId, ServiceId, UpstreamId};

/// Where a member of a group stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupState {
    /// Loads or reads weights.
    Joining,
    /// Holds its part of the model.
    Ready,
    /// Head only: serves.
    Open,
    /// Head only: ends its work, takes no more.
    Closing,
    /// Lost a member for good; serves nothing until it joins again.
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

/// One formation of a group: a name is used again only under a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Formation {
    /// The group's name.
    pub group: GroupId,
    /// Rises over all formations, over all stewards.
    pub epoch: u64,
}

impl fmt::Display for Formation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.group, self.epoch)
    }
}

data! {
    /// An upstream's place in a group.
    pub struct Membership {
        /// The formation that it joined.
        pub formation: Formation,
        /// Position in the member list; 0 is the head.
        pub rank: usize,
        /// Where it stands.
        pub state: GroupState,
    }

    /// What an upstream says of itself.
    pub struct Upstream {
        /// Its id.
        pub id: UpstreamId,
        /// The service that it belongs to.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is about to leave.
        pub draining: bool,
        /// How long it stays cold, from when the entry was written.
        pub cold_left: Duration,
        /// When it started, in milliseconds since 1970; tells two lifetimes of an id apart.
        pub born: u64,
        /// Counts the entries that it wrote in this lifetime; a late one has a lower number.
        pub heartbeat_seq: u64,
        /// Engines only: its fabric domain.
        pub fabric: Option<FabricId>,
        /// Engines only: models whose weights are on its VM.
        pub staged: Vec<ModelId>,
        /// Engines only: the model that it has loaded.
        pub model: Option<ModelId>,
        /// Engines only: its group.
        pub membership: Option<Membership>,
    }
}

impl Upstream {
    /// Tells whether it heads a group that serves.
    #[must_use]
    pub fn is_open_head(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|m| m.rank == 0 && m.state == GroupState::Open)
    }
}
