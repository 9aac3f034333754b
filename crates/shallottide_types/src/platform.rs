//! Interface to the platform's key-value store and VM list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{DomainId, FabricId, StoreIndex, VmId};

/// Error of a platform call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// No connection: no byte was sent, so the call had no effect.
    #[error(
        "platform {address} can't be reached ({reason}): check the address and the platform's state"
    )]
    Unreachable {
        /// The address that was tried.
        address: String,
        /// Error of the connection attempt.
        reason: String,
    },
    /// The call was sent and its response was lost; a write may have taken effect.
    #[error("platform's answer was lost ({0}): read the value back before writing again")]
    AnswerLost(String),
    /// The platform refused the call because of its rate limit.
    #[error("platform refused the call for its rate: retry later")]
    RateLimited,
    /// The response can't be parsed.
    #[error("platform's answer can't be read ({0}): check that the address is the platform's")]
    Malformed(String),
}

data! {
    /// One stored key and its value.
    pub struct Entry {
        /// Full key.
        pub key: String,
        /// The value, at most one megabyte.
        pub value: Vec<u8>,
        /// Index of the last change of this key; pass it in [`Precondition::Index`] to replace
        /// the value.
        pub index: StoreIndex,
        /// Session that holds the key as a lease.
        pub session: Option<String>,
    }

    /// All entries under a prefix at one store index.
    pub struct Listing {
        /// The store's index; pass it to [`Platform::list`] to wait for the next change.
        pub index: StoreIndex,
        /// The entries in key order.
        pub entries: Vec<Entry>,
    }

    /// One VM in the platform's VM list.
    pub struct Vm {
        /// The VM.
        pub id: VmId,
        /// Address that its engine listens on.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its fabric domain.
        pub fabric: FabricId,
        /// Number of accelerators of the VM.
        pub accelerators: u32,
        /// Whether its engine rejects orders with a lower fencing token than it has seen.
        pub fences_orders: bool,
        /// Whether the platform is about to remove the VM.
        pub leaving: bool,
    }
}

/// The state of a key that a compare-and-swap requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Precondition {
    /// No value is stored under the key.
    Absent,
    /// The key was last changed at this index.
    Index(StoreIndex),
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Written,
    /// The precondition did not hold; nothing was written.
    Conflict,
}

/// The platform's key-value store and VM list. All calls block the thread.
///
/// Modelled on the published HTTP API of Consul's key-value store: `cas`, sessions with a TTL and
/// blocking queries by index.
pub trait Platform: Send + Sync {
    /// Reads one entry; `None` when the key has no value.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError>;

    /// Reads all entries under a prefix. With `after`, first waits up to `wait` for the store to
    /// change past that index; the result has all entries in either case.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn list(
        &self,
        prefix: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Writes one value if the precondition holds (compare-and-swap).
    ///
    /// # Errors
    /// Any [`PlatformError`]; after [`PlatformError::AnswerLost`] the value may have been written.
    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError>;

    /// Deletes one value if the key was last changed at `expect` (compare-and-swap).
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn remove(&self, key: &str, expect: StoreIndex) -> Result<SwapOutcome, PlatformError>;

    /// Opens a session and returns its id; its leases expire `ttl` after its last renewal.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn open_session(&self, ttl: Duration) -> Result<String, PlatformError>;

    /// Renews a session; `false` when it has expired.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn renew_session(&self, session: &str) -> Result<bool, PlatformError>;

    /// Acquires a key as a lease of a session; `false` when another session holds the lease.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn acquire(&self, key: &str, value: &[u8], session: &str) -> Result<bool, PlatformError>;

    /// Releases a lease that a session holds.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn release(&self, key: &str, session: &str) -> Result<bool, PlatformError>;

    /// Reads the VM list of a failure domain; the list may be out of date.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn vms(&self, domain: &DomainId) -> Result<Vec<Vm>, PlatformError>;
}
