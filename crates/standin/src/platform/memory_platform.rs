//! An in-process platform.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use shallottide_types::clock::{Clock, SystemClock};
use shallottide_types::id::{DomainId, StoreEra, StoreIndex};
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};

use super::call_counts::{CallCounts, CallKind};
use super::platform_faults::PlatformFaults;
use super::platform_options::PlatformOptions;
use super::rate_limiter::RateLimiter;
use super::store::{Store, Stored};
use super::vm_list::VmList;
use crate::fault_counter::consume_fault;

/// Longest sleep of a watch between two checks for expired sessions.
const WATCH_STEP: Duration = Duration::from_millis(50);

/// The address shown in errors.
const ADDRESS: &str = "in process";

/// An in-process platform; clones share one store.
///
/// Session expiry, rate limits and the VM list's lag follow the given clock. Only a blocking `list`
/// and [`PlatformFaults::slow_ms`] wait in wall-clock time.
#[derive(Clone)]
pub struct MemoryPlatform {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    vm_lag: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

/// A copy of what a [`MemoryPlatform`] stores.
#[derive(Debug, Clone)]
pub struct PlatformCopy(Store);

#[derive(Default)]
struct State {
    store: Store,
    /// The store as it was when `stale_reads` was switched on.
    stale: Option<Store>,
    vms: VmList,
    faults: PlatformFaults,
    counts: CallCounts,
    reads: RateLimiter,
    writes: RateLimiter,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        Self::new(Arc::new(SystemClock), PlatformOptions::default())
    }
}

impl MemoryPlatform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, options: PlatformOptions) -> Self {
        let shared = Shared {
            clock,
            vm_lag: options.vm_lag,
            state: Mutex::default(),
            changed: Condvar::new(),
        };
        let platform = Self {
            shared: Arc::new(shared),
        };
        platform.set_faults(options.faults);
        platform
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.lock();
        if !faults.stale_reads {
            state.stale = None;
        } else if state.stale.is_none() {
            state.stale = Some(state.store.clone());
        }
        state.faults = faults;
        self.shared.changed.notify_all();
    }

    /// Changes single fault switches.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut faults = self.faults();
        change(&mut faults);
        self.set_faults(faults);
    }

    /// Returns the fault switches; counters show the remaining faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    /// Replaces the VM list of all failure domains; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.shared.clock.now();
        self.lock().vms.set(vms, now, self.shared.vm_lag);
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock().counts.clone()
    }

    /// Returns the position of the last change.
    #[must_use]
    pub fn index(&self) -> StoreIndex {
        let state = self.lock();
        state.store.position(state.store.index())
    }

    /// Returns the store's era.
    pub(super) fn era(&self) -> StoreEra {
        self.lock().store.era()
    }

    /// Returns a copy of the store, from which it can be restored.
    #[must_use]
    pub fn copy(&self) -> PlatformCopy {
        PlatformCopy(self.lock().store.clone())
    }

    /// Restores the store from a copy: later changes are lost, and their indexes are given out again.
    pub fn restore(&self, copy: PlatformCopy) {
        self.lock().store.restore(copy.0);
        self.shared.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Counts a call and admits it unless a fault switch or the rate limit refuses it.
    fn admit(&self, kind: CallKind, key: &str) -> Result<MutexGuard<'_, State>, PlatformError> {
        self.sleep_if_slow();
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.counts.add(kind, key);
        if state.faults.down {
            return Err(unreachable());
        }
        if !state.acquire_permit(kind, now) {
            state.counts.limited += 1;
            return Err(PlatformError::RateLimited);
        }
        if state.store.expire_sessions(now) {
            self.shared.changed.notify_all();
        }
        Ok(state)
    }

    fn sleep_if_slow(&self) {
        let slow = Duration::from_millis(self.lock().faults.slow_ms);
        if !slow.is_zero() {
            thread::sleep(slow);
        }
    }

    /// Runs one write, applying the fault switches of writes.
    fn write<T>(
        &self,
        kind: CallKind,
        key: &str,
        write: impl FnOnce(&mut Store, Instant) -> T,
    ) -> Result<T, PlatformError> {
        let mut state = self.admit(kind, key)?;
        if consume_fault(&mut state.faults.lose_writes) {
            return Err(PlatformError::AnswerLost("connection closed".into()));
        }
        let now = self.shared.clock.now();
        let answer = write(&mut state.store, now);
        self.shared.changed.notify_all();
        if consume_fault(&mut state.faults.lose_answers) {
            return Err(PlatformError::AnswerLost("connection closed".into()));
        }
        Ok(answer)
    }

    fn write_cas(
        &self,
        kind: CallKind,
        key: &str,
        write: impl FnOnce(&mut Store) -> SwapOutcome,
    ) -> Result<SwapOutcome, PlatformError> {
        let swap = self.write(kind, key, |store, _| write(store))?;
        self.lock().counts.conflicts += u64::from(swap == SwapOutcome::Conflict);
        Ok(swap)
    }

    /// Reads one value with its metadata and the store's index.
    pub(super) fn read(&self, key: &str) -> Result<(StoreIndex, Option<Stored>), PlatformError> {
        let state = self.admit(CallKind::Get, key)?;
        let store = state.visible_store();
        Ok((store.position(store.index()), store.get(key).cloned()))
    }

    /// Reads a prefix, blocking until a change as [`Platform::list`] does.
    pub(super) fn read_prefix<T>(
        &self,
        prefix: &str,
        after: Option<StoreIndex>,
        wait: Duration,
        read: impl FnOnce(&Store) -> T,
    ) -> Result<T, PlatformError> {
        let kind = after.map_or(CallKind::List, |_| CallKind::Watch);
        let state = self.admit(kind, prefix)?;
        let Some(after) = after else {
            return Ok(read(state.visible_store()));
        };
        let state = self.wait_for_change(state, prefix, after, wait)?;
        Ok(read(state.visible_store()))
    }

    fn wait_for_change<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> Result<MutexGuard<'a, State>, PlatformError> {
        let start = Instant::now();
        loop {
            if state.faults.down {
                return Err(PlatformError::AnswerLost("connection closed".into()));
            }
            let left = wait.saturating_sub(start.elapsed());
            if left.is_zero() || state.visible_store().has_changed_since(prefix, after) {
                return Ok(state);
            }
            let waited = self
                .shared
                .changed
                .wait_timeout(state, left.min(WATCH_STEP));
            state = waited.expect("no holder panics").0;
            state.store.expire_sessions(self.shared.clock.now());
        }
    }

    /// Releases a lease and writes the value sent with the release.
    pub(super) fn release_with(
        &self,
        key: &str,
        value: &[u8],
        session: &str,
    ) -> Result<bool, PlatformError> {
        self.write(CallKind::Release, key, |store, _| {
            store.release(key, value, session)
        })
    }
}

impl State {
    fn acquire_permit(&mut self, kind: CallKind, now: Instant) -> bool {
        if kind.is_write() {
            self.writes.try_acquire(self.faults.writes_per_second, now)
        } else {
            self.reads.try_acquire(self.faults.reads_per_second, now)
        }
    }

    fn visible_store(&self) -> &Store {
        self.stale.as_ref().unwrap_or(&self.store)
    }
}

fn unreachable() -> PlatformError {
    PlatformError::Unreachable {
        address: ADDRESS.into(),
        reason: "switched off".into(),
    }
}

impl Platform for MemoryPlatform {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let (index, stored) = self.read(key)?;
        Ok(stored.map(|stored| stored.entry(key, index.era())))
    }

    fn list(
        &self,
        prefix: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        self.read_prefix(prefix, after, wait, |store| store.listing(prefix))
    }

    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError> {
        self.write_cas(CallKind::Swap, key, |store| store.swap(key, value, expect))
    }

    fn remove(&self, key: &str, expect: StoreIndex) -> Result<SwapOutcome, PlatformError> {
        self.write_cas(CallKind::Remove, key, |store| store.remove(key, expect))
    }

    fn open_session(&self, ttl: Duration) -> Result<String, PlatformError> {
        self.write(CallKind::OpenSession, "", |store, now| {
            store.open_session(ttl, now)
        })
    }

    fn renew_session(&self, session: &str) -> Result<bool, PlatformError> {
        self.write(CallKind::RenewSession, "", |store, now| {
            store.renew_session(session, now)
        })
    }

    fn acquire(&self, key: &str, value: &[u8], session: &str) -> Result<bool, PlatformError> {
        self.write(CallKind::Acquire, key, |store, _| {
            store.acquire(key, value, session)
        })
    }

    fn release(&self, key: &str, session: &str) -> Result<bool, PlatformError> {
        self.release_with(key, &[], session)
    }

    fn vms(&self, domain: &DomainId) -> Result<Vec<Vm>, PlatformError> {
        let now = self.shared.clock.now();
        let mut state = self.admit(CallKind::Vms, "")?;
        Ok(state.vms.of(domain, now))
    }
}
