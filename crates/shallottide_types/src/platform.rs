//! The platform's key-value service and VM list, as an interface.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::data;
use crate::id::{DomainId, FabricId, StoreIndex, VmId};

/// Why a platform call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// No byte was sent; the call had no effect.
    #[error(
        "platform {address} can't be reached ({reason}): check the address and the platform's state"
    )]
    Unreachable {
        /// Address tried.
        address: String,
        /// What the connection said.
        reason: String,
    },
    /// The call was sent and its answer lost; a write may have taken effect.
    #[error("platform's answer was lost ({0}): read the value back before writing again")]
    AnswerLost(String),
    /// The platform refused the call for its rate.
    #[error("platform refused the call for its rate: retry later")]
    RateLimited,
    /// The answer can't be read.
    #[error("platform's answer can't be read ({0}): check that the address is the platform's")]
    Malformed(String),
}

data! {
    /// One stored value.
    pub struct Entry {
        /// Full key.
        pub key: String,
        /// Value, up to a megabyte.
        pub value: Vec<u8>,
        /// Index of the last change of this key; given back in [`Precondition::Index`].
        pub index: StoreIndex,
        /// Session that holds the key as a lease.
        pub session: Option<String>,
    }

    /// All values under a prefix at one index.
    pub struct Listing {
        /// The store's index; given back to [`Platform::list`].
        pub index: StoreIndex,
        /// Values in key order.
        pub entries: Vec<Entry>,
    }

    /// One VM of the platform's list.
    pub struct Vm {
        /// The VM.
        pub id: VmId,
        /// Where its engine listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its fabric domain.
        pub fabric: FabricId,
        /// Accelerators on it.
        pub accelerators: u32,
        /// Whether its engine refuses old fencing numbers.
        pub fences_orders: bool,
        /// Whether the VM is going away.
        pub leaving: bool,
    }
}

/// What a write expects to replace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Precondition {
    /// Nothing is stored under the key.
    Absent,
    /// The key was last changed at this index.
    Index(StoreIndex),
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Written,
    /// Something else is stored; nothing was written.
    Conflict,
}

/// The platform's key-value service and VM list. All calls block.
///
/// Modelled on the published HTTP interface of Consul's key-value store:
/// `cas`, sessions with a TTL, and blocking queries by index.
pub trait Platform: Send + Sync {
    /// Reads one value.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError>;

    /// Reads all values under a prefix. With `after`, waits up to `wait` until the
    /// store has changed past that index, then answers with everything.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn list(
        &self,
        prefix: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Writes one value by compare-and-swap.
    ///
    /// # Errors
    /// Any [`PlatformError`]; after [`PlatformError::AnswerLost`] the value may be written.
    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError>;

    /// Deletes one value by compare-and-swap.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn remove(&self, key: &str, expect: StoreIndex) -> Result<SwapOutcome, PlatformError>;

    /// Opens a session whose leases lapse `ttl` after its last renewal.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn open_session(&self, ttl: Duration) -> Result<String, PlatformError>;

    /// Renews a session; `false` when it has lapsed.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn renew_session(&self, session: &str) -> Result<bool, PlatformError>;

    /// Takes a key as a lease for a session; `false` when another session holds it.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn acquire(&self, key: &str, value: &[u8], session: &str) -> Result<bool, PlatformError>;

    /// Gives a lease back.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn release(&self, key: &str, session: &str) -> Result<bool, PlatformError>;

    /// Reads the VM list of a failure domain; it lags behind the truth.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    fn vms(&self, domain: &DomainId) -> Result<Vec<Vm>, PlatformError>;
}
