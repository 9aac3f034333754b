//! Calls to the platform and their results.

use std::time::Duration;

use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::platform::{Entry, Listing, PlatformError, Precondition, SwapOutcome, Vm};

use crate::kernel::Name;

/// A call to the platform.
#[derive(Debug, Clone)]
pub struct PlatformRequest {
    /// Service that receives the result.
    pub reply_to: Name,
    /// Correlates the result with this request; unique within that service.
    pub token: u64,
    /// Operation to perform.
    pub op: PlatformOp,
}

/// One operation of [`Platform`](shallottide_types::platform::Platform).
#[derive(Debug, Clone)]
pub enum PlatformOp {
    /// Reads one value.
    Get(String),
    /// Reads all values under a prefix, waiting up to `wait` for a change newer than `after`.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Store index already seen, if any.
        after: Option<StoreIndex>,
        /// Longest wait for a change.
        wait: Duration,
    },
    /// Writes one value by compare-and-swap.
    Swap {
        /// Key in the store.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// What must be stored for the write to succeed.
        expect: Precondition,
    },
    /// Deletes one value by compare-and-swap.
    Remove {
        /// Key in the store.
        key: String,
        /// Store index of the change that must be its last for the deletion to succeed.
        expect: StoreIndex,
    },
    /// Opens a session with the given time to live.
    OpenSession(Duration),
    /// Renews the session with the given id.
    RenewSession(String),
    /// Acquires a lease on a key for a session.
    Acquire {
        /// Key in the store.
        key: String,
        /// Value to store while the lease is held.
        value: Vec<u8>,
        /// Session that is to hold the lease.
        session: String,
    },
    /// Releases a lease.
    Release {
        /// Key in the store.
        key: String,
        /// Session that holds the lease.
        session: String,
    },
    /// Reads a failure domain's VM list.
    Vms(DomainId),
}

/// Result of a [`PlatformOp`].
#[derive(Debug, Clone)]
pub struct PlatformReply {
    /// Token of the request.
    pub token: u64,
    /// Answer of the platform, or why there is none.
    pub result: Result<PlatformAnswer, PlatformError>,
}

/// Answer of the platform to a [`PlatformOp`].
#[derive(Debug, Clone)]
pub enum PlatformAnswer {
    /// Answers [`PlatformOp::Get`]; `None` if the key is absent.
    Entry(Option<Entry>),
    /// Answers [`PlatformOp::List`].
    Listing(Listing),
    /// Answers [`PlatformOp::Swap`] and [`PlatformOp::Remove`].
    Swap(SwapOutcome),
    /// Answers [`PlatformOp::OpenSession`] with the session's id.
    Session(String),
    /// Answers [`PlatformOp::RenewSession`], [`PlatformOp::Acquire`] and [`PlatformOp::Release`]
    /// with whether the operation succeeded.
    Done(bool),
    /// Answers [`PlatformOp::Vms`].
    Vms(Vec<Vm>),
}
