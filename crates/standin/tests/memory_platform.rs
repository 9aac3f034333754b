//! Tests compare-and-swap, leases, watches and faults of the in-process platform.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use shallottide_types::cases;
use shallottide_types::clock::ManualClock;
use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::platform::{Platform, PlatformError, Precondition, SwapOutcome, Vm};
use standin::platform::{CallKind, MemoryPlatform, PlatformFaults, PlatformOptions};

const TTL: Duration = Duration::from_secs(10);
const HOUR: Duration = Duration::from_hours(1);

/// Time after which a waiting test counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

fn platform() -> (ManualClock, MemoryPlatform) {
    let clock = ManualClock::default();
    let options = PlatformOptions {
        vm_lag: Duration::from_secs(5),
        ..PlatformOptions::default()
    };
    let platform = MemoryPlatform::new(Arc::new(clock.clone()), options);
    (clock, platform)
}

#[test]
fn swap_writes_only_over_the_expected_index() {
    let (_, platform) = platform();
    assert_eq!(
        platform.swap("a", b"1", Precondition::Absent),
        Ok(SwapOutcome::Written)
    );
    assert_eq!(
        platform.swap("a", b"2", Precondition::Absent),
        Ok(SwapOutcome::Conflict)
    );
    let index = platform.get("a").unwrap().unwrap().index;
    let expect = Precondition::Index(index);
    assert_eq!(platform.swap("a", b"2", expect), Ok(SwapOutcome::Written));
    assert_eq!(platform.swap("a", b"3", expect), Ok(SwapOutcome::Conflict));
    assert_eq!(platform.get("a").unwrap().unwrap().value, b"2");
    assert_eq!(platform.remove("a", index), Ok(SwapOutcome::Conflict));
    assert_eq!(platform.counts().conflicts, 3);
}

#[test]
fn lease_expires_unless_its_session_is_renewed() {
    let (clock, platform) = platform();
    let first = platform.open_session(TTL).unwrap();
    let second = platform.open_session(TTL * 10).unwrap();
    assert_eq!(platform.acquire("l", b"1", &first), Ok(true));
    clock.advance(TTL / 2);
    assert_eq!(platform.renew_session(&first), Ok(true));
    clock.advance(Duration::from_millis(9_999));
    assert_eq!(platform.acquire("l", b"2", &second), Ok(false));
    clock.advance(Duration::from_millis(1));
    assert_eq!(platform.acquire("l", b"2", &second), Ok(true));
    assert_eq!(platform.renew_session(&first), Ok(false));
    assert_eq!(platform.release("l", &first), Ok(false));
    assert_eq!(platform.release("l", &second), Ok(true));
    assert_eq!(platform.get("l").unwrap().unwrap().session, None);
}

#[test]
fn watch_wakes_only_for_changes_under_its_prefix() {
    let (_, platform) = platform();
    platform.swap("a/1", b"1", Precondition::Absent).unwrap();
    let seen = platform.list("a/", None, Duration::ZERO).unwrap().index;
    platform.swap("b/1", b"1", Precondition::Absent).unwrap();
    let immediate = platform.list("a/", Some(seen), Duration::ZERO).unwrap();
    assert_eq!(immediate.entries.len(), 1);
    let (tx, rx) = mpsc::channel();
    let watcher = platform.clone();
    thread::spawn(move || tx.send(watcher.list("a/", Some(seen), HOUR)));
    let index = platform.get("a/1").unwrap().unwrap().index;
    platform.remove("a/1", index).unwrap();
    let listing = rx
        .recv_timeout(HANG_TIMEOUT)
        .expect("the deletion wakes the watch");
    assert_eq!(listing.unwrap().entries, []);
}

#[test]
fn vm_list_change_is_visible_after_the_lag() {
    let (clock, platform) = platform();
    let domain: DomainId = "d1".parse().unwrap();
    let vm = Vm {
        id: "vm1".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.clone(),
        fabric: "f1".parse().unwrap(),
        accelerators: 8,
        fences_orders: true,
        leaving: false,
    };
    platform.set_vms(vec![vm.clone()]);
    assert_eq!(platform.vms(&domain), Ok(vec![]));
    clock.advance(Duration::from_secs(5));
    assert_eq!(platform.vms(&domain), Ok(vec![vm]));
}

#[test]
fn rate_limit_refuses_calls_until_the_next_window() {
    let (clock, platform) = platform();
    platform.change_faults(|faults| faults.reads_per_second = Some(1));
    assert_eq!(platform.get("a"), Ok(None));
    assert_eq!(platform.get("a"), Err(PlatformError::RateLimited));
    clock.advance(Duration::from_secs(1));
    assert_eq!(platform.get("a"), Ok(None));
    assert_eq!(platform.counts().of(CallKind::Get), 3);
    assert_eq!(platform.counts().limited, 1);
}

#[test]
fn stale_reads_hide_later_writes() {
    let (_, platform) = platform();
    platform.change_faults(|faults| faults.stale_reads = true);
    platform.swap("a", b"1", Precondition::Absent).unwrap();
    assert_eq!(platform.get("a"), Ok(None));
    platform.change_faults(|faults| faults.stale_reads = false);
    assert!(platform.get("a").unwrap().is_some());
}

/// Writes once under a fault and checks whether the response was lost and the write took effect.
fn check_write(faults: PlatformFaults, lost: bool, stored: bool) {
    let (_, platform) = platform();
    platform.set_faults(faults);
    let result = platform.swap("claims/1", b"1", Precondition::Absent);
    assert_eq!(matches!(result, Err(PlatformError::AnswerLost(_))), lost);
    platform.set_faults(PlatformFaults::default());
    let index = StoreIndex(u64::from(stored));
    assert_eq!(
        platform.get("claims/1").unwrap().map(|e| e.index),
        stored.then_some(index)
    );
    assert_eq!(platform.counts().writes_by_area["claims"], 1);
}

cases! {
    check_write;
    write_without_fault: PlatformFaults::default(), false, true;
    write_answer_lost: PlatformFaults { lose_answers: 1, ..PlatformFaults::default() }, true, true;
    write_lost: PlatformFaults { lose_writes: 1, ..PlatformFaults::default() }, true, false;
    write_while_down: PlatformFaults { down: true, ..PlatformFaults::default() }, false, false;
}
