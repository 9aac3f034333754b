//! Calls to the platform and their results.

use std::time::Duration;

use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::platform::{Entry, Listing, PlatformError, Precondition, SwapOutcome, Vm};

use crate::kernel::Name;

/// A call to the platform.
#[derive(Debug, Clone)]
pub struct PlatformRequest {
    /// The service that gets the result.
    pub reply_to: Name,
    /// Finds the result; unique at that service.
    pub token: u64,
    /// What to do.
    pub op: PlatformOp,
}

/// One operation of [`Platform`](shallottide_types::platform::Platform).
#[derive(Debug, Clone)]
pub enum PlatformOp {
    /// Reads one value.
    Get(String),
    /// Reads all values under a prefix, waiting for a change past `after`.
    List {
        /// The prefix.
        prefix: String,
        /// Index already seen.
        after: Option<StoreIndex>,
        /// Longest wait.
        wait: Duration,
    },
    /// Writes one value by compare-and-swap.
    Swap {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// What it replaces.
        expect: Precondition,
    },
    /// Deletes one value by compare-and-swap.
    Remove {
        /// The key.
        key: String,
        /// Index of its last change.
        expect: StoreIndex,
    },
    /// Opens a session.
    OpenSession(Duration),
    /// Renews a session.
    RenewSession(String),
    /// Takes a lease.
    Acquire {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The session.
        session: String,
    },
    /// Gives a lease back.
    Release {
        /// The key.
        key: String,
        /// The session.
        session: String,
    },
    /// Reads a failure domain's VM list.
    Vms(DomainId),
}

/// The result of a [`PlatformOp`].
#[derive(Debug, Clone)]
pub struct PlatformReply {
    /// Token of the request.
    pub token: u64,
    /// The result.
    pub result: Result<PlatformAnswer, PlatformError>,
}

/// What the platform answered.
#[derive(Debug, Clone)]
pub enum PlatformAnswer {
    /// To [`PlatformOp::Get`].
    Entry(Option<Entry>),
    /// To [`PlatformOp::List`].
    Listing(Listing),
    /// To [`PlatformOp::Swap`] and [`PlatformOp::Remove`].
    Swap(SwapOutcome),
    /// To [`PlatformOp::OpenSession`].
    Session(String),
    /// To [`PlatformOp::RenewSession`], [`PlatformOp::Acquire`] and [`PlatformOp::Release`].
    Done(bool),
    /// To [`PlatformOp::Vms`].
    Vms(Vec<Vm>),
}
