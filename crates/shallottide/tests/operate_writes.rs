//! Operators' changes under lost answers, concurrent changes, outages and stale reads.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use shallottide::operate::{Change, ChangeWriter, Outcome, Pause, WriteOptions};
use shallottide_types::cases;
use shallottide_types::clock::ManualClock;
use shallottide_types::id::{DomainId, Revision, StoreIndex};
use shallottide_types::platform::{
    Entry, Listing, Platform, PlatformError, Precondition, SwapOutcome, Vm,
};
use shallottide_types::record::{Document, DomainState, UpstreamState};
use standin::platform::MemoryPlatform;

const KEY: &str = "records/upstream/t";

/// A fault of one swap of the change under test.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The swap is lost before it takes effect.
    LoseBefore,
    /// The swap takes effect and its answer is lost.
    LoseAfter,
    /// The answer is lost, and the swap takes effect only when the next one arrives.
    Delay,
    /// The platform can't be reached.
    Down,
    /// This number of other changes is written first.
    Rivals(u32),
    /// Another operator drains the upstream first.
    RivalDrain,
    /// The swap takes effect, its answer is lost, and this number of other changes follows.
    LoseThenRivals(u32),
}
use Fault::{Delay, Down, LoseAfter, LoseBefore, LoseThenRivals, RivalDrain, Rivals};

/// How reads behave after the first swap was attempted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reads {
    Fine,
    Down,
    Stale,
}

/// The stand-in platform, with scripted faults of swaps and reads.
struct FaultyPlatform {
    inner: MemoryPlatform,
    faults: Mutex<VecDeque<Fault>>,
    reads: Reads,
    rivals_written: AtomicU32,
    delayed: Mutex<Option<(Vec<u8>, Precondition)>>,
}

impl FaultyPlatform {
    fn new(faults: &[Fault], reads: Reads) -> Self {
        Self {
            inner: MemoryPlatform::default(),
            faults: Mutex::new(faults.iter().copied().collect()),
            reads,
            rivals_written: AtomicU32::new(0),
            delayed: Mutex::default(),
        }
    }

    fn start_read_fault(&self) {
        let reads = self.reads;
        self.inner
            .change_faults(|faults| faults.stale_reads = reads == Reads::Stale);
    }

    fn write_rivals(&self, count: u32) {
        self.inner
            .change_faults(|faults| faults.stale_reads = false);
        for _ in 0..count {
            let number = self.rivals_written.fetch_add(1, Ordering::Relaxed);
            apply(
                &self.inner,
                &upstream(100 + number),
                &change(&format!("rival-{number}")),
            );
        }
    }
}

impl Platform for FaultyPlatform {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let swapped = self.inner.counts().writes() > 1;
        if swapped && self.reads == Reads::Down {
            return Err(PlatformError::AnswerLost("read".into()));
        }
        self.inner.get(key)
    }

    fn swap(
        &self,
        key: &str,
        value: &[u8],
        expect: Precondition,
    ) -> Result<SwapOutcome, PlatformError> {
        if let Some((value, expect)) = self.delayed.lock().expect("lock").take() {
            self.inner.swap(key, &value, expect)?;
        }
        let fault = self.faults.lock().expect("lock").pop_front();
        self.start_read_fault();
        match fault {
            Some(LoseBefore) => self.inner.change_faults(|faults| faults.lose_writes = 1),
            Some(LoseAfter) => self.inner.change_faults(|faults| faults.lose_answers = 1),
            Some(Delay) => {
                self.inner.change_faults(|faults| faults.lose_writes = 1);
                *self.delayed.lock().expect("lock") = Some((value.to_vec(), expect));
            }
            Some(Down) => {
                return Err(PlatformError::Unreachable {
                    address: "in process".into(),
                    reason: "down".into(),
                });
            }
            Some(Rivals(count)) => self.write_rivals(count),
            Some(RivalDrain) => {
                set_state(&self.inner, UpstreamState::Leaving, "rival-drain");
            }
            Some(LoseThenRivals(count)) => {
                self.inner.swap(key, value, expect)?;
                self.write_rivals(count);
                return Err(PlatformError::AnswerLost("closed".into()));
            }
            None => {}
        }
        self.inner.swap(key, value, expect)
    }

    fn list(&self, _: &str, _: Option<StoreIndex>, _: Duration) -> Result<Listing, PlatformError> {
        unreachable!("operators' changes don't list")
    }
    fn remove(&self, _: &str, _: StoreIndex) -> Result<SwapOutcome, PlatformError> {
        unreachable!("operators' changes don't remove")
    }
    fn open_session(&self, _: Duration) -> Result<String, PlatformError> {
        unreachable!("operators' changes use no session")
    }
    fn renew_session(&self, _: &str) -> Result<bool, PlatformError> {
        unreachable!("operators' changes use no session")
    }
    fn acquire(&self, _: &str, _: &[u8], _: &str) -> Result<bool, PlatformError> {
        unreachable!("operators' changes use no lease")
    }
    fn release(&self, _: &str, _: &str) -> Result<bool, PlatformError> {
        unreachable!("operators' changes use no lease")
    }
    fn vms(&self, _: &DomainId) -> Result<Vec<Vm>, PlatformError> {
        unreachable!("operators' changes read no VMs")
    }
}

/// Advances the clock instead of waiting.
struct ManualPause(ManualClock);

impl Pause for ManualPause {
    fn pause(&self, duration: Duration) {
        self.0.advance(duration);
    }
}

fn with_writer<T>(platform: &dyn Platform, run: impl FnOnce(&ChangeWriter<'_>) -> T) -> T {
    let clock = ManualClock::default();
    let pause = ManualPause(clock.clone());
    run(&ChangeWriter::new(
        platform,
        &clock,
        &pause,
        WriteOptions::default(),
    ))
}

fn apply(platform: &dyn Platform, document: &Document, change: &Change) -> String {
    with_writer(platform, |writer| {
        outcome_text(&writer.apply(document, change))
    })
}

fn set_state(platform: &dyn Platform, state: UpstreamState, id: &str) -> String {
    let upstream = "t".parse().expect("id");
    with_writer(platform, |writer| {
        outcome_text(&writer.set_upstream_state(&upstream, state, &change(id)))
    })
}

fn change(id: &str) -> Change {
    Change::new(
        id.parse().expect("change"),
        "ana".parse().expect("operator"),
    )
}

fn upstream(limit: u32) -> Document {
    let text = format!(
        r#"{{"kind":"upstream","schema":2,"id":"t","address":"10.0.0.1:80",
            "failure_domain":"jkpg","service":"s","cold_limit":1,"full_limit":{limit}}}"#
    );
    Document::from_json(text.as_bytes()).expect("document")
}

fn stored(platform: &MemoryPlatform) -> Document {
    platform.change_faults(|faults| faults.stale_reads = false);
    let entry = platform.get(KEY).expect("read").expect("stored");
    Document::from_json(&entry.value).expect("document")
}

fn outcome_text(result: &Result<Outcome, PlatformError>) -> String {
    match result {
        Ok(Outcome::Applied(applied)) => {
            let over = applied
                .superseded
                .as_ref()
                .and_then(|stamp| stamp.change.clone());
            let over = over.map_or(String::new(), |change| format!(" under {change}"));
            let index = if applied.index.is_none() {
                " unseen"
            } else {
                ""
            };
            format!("applied r{}{over}{index}", applied.revision)
        }
        Ok(Outcome::Unchanged { revision, .. }) => format!("unchanged r{revision}"),
        Ok(Outcome::Conflict(conflict)) => {
            let stamp = conflict
                .stored
                .as_ref()
                .and_then(|stamp| stamp.change.clone());
            format!(
                "conflict with {}",
                stamp.map_or("unknown".into(), |change| change.to_string())
            )
        }
        Ok(Outcome::Unclear(_)) => "unclear".into(),
        Ok(Outcome::Refused(error)) => format!("refused: {error}"),
        Ok(Outcome::Missing { .. }) => "missing".into(),
        Err(error) => format!("error: {error}"),
    }
}

/// Applies a change to revision 1 under faults, and compares the outcome with the store.
fn check(faults: &[Fault], reads: Reads, expected: &str) {
    let platform = FaultyPlatform::new(faults, reads);
    apply(&platform.inner, &upstream(10), &change("first"));
    let outcome = apply(&platform, &upstream(20), &change("mine"));
    assert!(
        outcome.starts_with(expected),
        "{outcome:?} instead of {expected:?}"
    );
    let document = stored(&platform.inner);
    let mine = "mine".parse().expect("change");
    let written_count = document
        .recent_changes()
        .iter()
        .filter(|id| **id == mine)
        .count();
    match outcome.split(' ').next() {
        Some("applied") => assert_eq!(written_count, 1, "reported as applied, but not stored once"),
        Some("unclear") => assert!(written_count <= 1, "written twice"),
        _ => assert_eq!(written_count, 0, "stored, but not reported as applied"),
    }
}

cases! { check;
    applied_without_fault: &[], Reads::Fine, "applied r2";
    lost_before_effect: &[LoseBefore], Reads::Fine, "applied r2";
    lost_after_effect: &[LoseAfter], Reads::Fine, "applied r2";
    lost_often_before_effect: &[LoseBefore, LoseBefore, LoseBefore], Reads::Fine, "applied r2";
    late_effect: &[Delay], Reads::Fine, "applied r2";
    late_effect_before_a_rival: &[Delay, Rivals(1)], Reads::Fine, "applied r2 under rival-0";
    lost_after_effect_under_rivals: &[LoseThenRivals(7)], Reads::Fine, "applied r2 under rival-6";
    lost_after_effect_under_too_many: &[LoseThenRivals(9)], Reads::Fine, "unclear";
    lost_before_effect_then_rival: &[LoseBefore, Rivals(1)], Reads::Fine, "conflict with rival-0";
    lost_before_effect_then_rivals: &[LoseBefore, Rivals(8)], Reads::Fine, "conflict with rival-7";
    lost_before_effect_then_too_many: &[LoseBefore, Rivals(9)], Reads::Fine, "unclear";
    rival_first: &[Rivals(1)], Reads::Fine, "conflict with rival-0";
    many_rivals_first: &[Rivals(20)], Reads::Fine, "conflict with rival-19";
    platform_down: &[Down], Reads::Fine, "error: platform in process can't be reached";
    lost_after_effect_then_down: &[LoseAfter, Down], Reads::Fine, "applied r2";
    lost_before_effect_then_down: &[LoseBefore, Down], Reads::Fine, "applied r2";
    written_but_reads_down: &[], Reads::Down, "applied r2 unseen";
    lost_after_effect_reads_down: &[LoseAfter], Reads::Down, "unclear";
    lost_before_effect_reads_down: &[LoseBefore], Reads::Down, "applied r2 unseen";
    lost_for_long_reads_down: &[LoseBefore; 99], Reads::Down, "unclear";
    lost_then_long_outage: &[LoseBefore, Down, Down, Down], Reads::Fine, "applied r2";
    lost_then_outage_without_end: &[&[LoseAfter][..], &[Down; 99]].concat(), Reads::Down, "unclear";
    rival_first_reads_down: &[Rivals(1)], Reads::Down, "conflict with unknown";
    lost_after_effect_stale_reads: &[LoseAfter], Reads::Stale, "unclear";
    written_stale_reads: &[], Reads::Stale, "applied r2 unseen";
}

#[test]
fn unclear_change_is_found_by_its_id_when_applied_again() {
    let platform = FaultyPlatform::new(&[LoseAfter], Reads::Stale);
    assert_eq!(apply(&platform, &upstream(20), &change("mine")), "unclear");
    stored(&platform.inner);
    assert_eq!(
        apply(&platform.inner, &upstream(20), &change("mine")),
        "applied r1"
    );
    assert_eq!(stored(&platform.inner).revision(), Revision(1));
}

#[test]
fn unchanged_record_is_not_written() {
    let platform = MemoryPlatform::default();
    assert_eq!(apply(&platform, &upstream(10), &change("a")), "applied r1");
    assert_eq!(
        apply(&platform, &upstream(10), &change("b")),
        "unchanged r1"
    );
    assert_eq!(platform.counts().writes(), 1);
}

#[test]
fn change_for_another_revision_is_a_conflict() {
    let platform = MemoryPlatform::default();
    let only = |id, revision| change(id).if_revision(Some(Revision(revision)));
    assert_eq!(
        apply(&platform, &upstream(10), &only("a", 1)),
        "conflict with unknown"
    );
    assert_eq!(apply(&platform, &upstream(10), &only("b", 0)), "applied r1");
    assert_eq!(
        apply(&platform, &upstream(11), &only("c", 0)),
        "conflict with b"
    );
    assert_eq!(apply(&platform, &upstream(11), &only("d", 1)), "applied r2");
}

#[test]
fn document_of_an_older_schema_keeps_newer_fields() {
    let platform = MemoryPlatform::default();
    let mut newer = upstream(10);
    newer.set("newer", "kept");
    apply(&platform, &newer, &change("a"));
    let old = br#"{"kind":"upstream","schema":1,"id":"t","address":"10.0.0.1:80","zone":"vmo",
        "service":"s","limit":7}"#;
    let old = Document::from_json(old).expect("document");
    assert_eq!(apply(&platform, &old, &change("b")), "applied r2");
    let fields = stored(&platform).fields().clone();
    assert_eq!(
        (&fields["newer"], &fields["schema"]),
        (&"kept".into(), &2.into())
    );
    assert_eq!(
        (&fields["failure_domain"], &fields["full_limit"]),
        (&"vmo".into(), &7.into())
    );
}

fn check_stored(value: &[u8], expected: &str) {
    let platform = MemoryPlatform::default();
    platform
        .swap(KEY, value, Precondition::Absent)
        .expect("stored");
    let outcome = apply(&platform, &upstream(10), &change("a"));
    assert!(outcome.contains(expected), "{outcome}");
    assert_eq!(
        platform.get(KEY).expect("read").expect("stored").value,
        value
    );
}

cases! { check_stored;
    unreadable_value_is_kept: b"no record", "delete the key in the platform";
    record_of_newer_schema_is_kept: br#"{"kind":"upstream","schema":9}"#, "use a newer program";
}

#[test]
fn drain_and_restore_keep_every_other_field() {
    for schema in [
        "\"schema\":2,\"cold_limit\":1,\"full_limit\":9,\"failure_domain\":\"j\"",
        "\"schema\":1,\"limit\":9,\"zone\":\"j\"",
    ] {
        let platform = MemoryPlatform::default();
        let text = format!(
            r#"{{"kind":"upstream",{schema},"id":"t","address":"10.0.0.1:80","service":"s","newer":1}}"#
        );
        let document = Document::from_json(text.as_bytes()).expect("document");
        apply(&platform, &document, &change("a"));
        let id = "t".parse().expect("id");
        let set = |state, id_text| {
            with_writer(&platform, |writer| {
                self::outcome_text(&writer.set_upstream_state(&id, state, &change(id_text)))
            })
        };
        assert_eq!(set(UpstreamState::Leaving, "b"), "applied r2");
        assert_eq!(set(UpstreamState::Leaving, "c"), "unchanged r2");
        assert_eq!(apply(&platform, &document, &change("d")), "unchanged r2");
        assert_eq!(set(UpstreamState::Serving, "e"), "applied r3");
        assert_eq!(stored(&platform).fields()["newer"], 1);
    }
}

/// Drains an upstream while others change it.
fn check_drain(faults: &[Fault], expected: &str) {
    let platform = FaultyPlatform::new(faults, Reads::Fine);
    apply(&platform.inner, &upstream(10), &change("first"));
    let outcome = set_state(&platform, UpstreamState::Leaving, "mine");
    assert_eq!(outcome, expected);
    let is_leaving = stored(&platform.inner).fields().get("state") == Some(&"leaving".into());
    assert_eq!(is_leaving, !expected.starts_with("conflict"));
}

cases! { check_drain;
    drain_succeeds_after_a_change_of_the_limit: &[Rivals(1)], "applied r3";
    drain_succeeds_after_changes_of_the_limit: &[Rivals(1), LoseBefore, Rivals(2)], "applied r5";
    drain_after_another_drain_is_unchanged: &[RivalDrain], "unchanged r2";
    drain_stops_after_five_conflicts: &[Rivals(1); 5], "conflict with rival-4";
}

#[test]
fn drain_of_an_unknown_domain_is_missing() {
    let platform = MemoryPlatform::default();
    let drain = |writer: &ChangeWriter<'_>| {
        outcome_text(&writer.set_domain_state(
            &"jkpg".parse().expect("id"),
            DomainState::Out,
            &change("a"),
        ))
    };
    assert_eq!(with_writer(&platform, drain), "missing");
}
