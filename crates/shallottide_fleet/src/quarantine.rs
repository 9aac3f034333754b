//! Requests and prompt parts that end the upstreams which run them, and when to try them again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::{ServiceId, StoreIndex};

use crate::crash_evidence::{CrashEvidence, Culprit};
use crate::crash_trigger::{CrashTrigger, TriggerKey};
use crate::prompt_part::PromptPart;
use crate::report_targets::REPORT_FANOUT;
use crate::request_digest::RequestDigest;

/// Interval at which nodes report to their peers.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Delays of the first two trials, which tell soon whether a part was quarantined wrongly.
const FIRST_TRIAL_DELAYS: [Duration; FIRST_TRIALS as usize] =
    [Duration::from_secs(2), Duration::from_secs(6)];
/// Trials after which the delays are long.
const FIRST_TRIALS: u32 = 2;
/// Delay of the third trial; a failed trial costs a group of engines.
const LATER_TRIAL_DELAY: Duration = Duration::from_mins(2);
/// Time for which a trial waits for a request whose other parts are known to be sound.
const CLEAN_TRIAL_WAIT: Duration = Duration::from_secs(5);
/// Factor by which the delay grows with each further trial.
const DELAY_GROWTH: u32 = 4;
/// Time after which a node writes a record that a restored store lacks, if the node that found the
/// part has not, and the range of its jitter.
const REWRITE_DELAY: Duration = Duration::from_secs(3);
const REWRITE_JITTER: Duration = Duration::from_secs(5);
/// Time between two attempts to write a record.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the record of a part that was not tried meanwhile is removed.
const RECORD_LIFETIME: Duration = Duration::from_hours(24);
/// Most triggers that are quarantined at a time.
const MAX_TRIGGERS: usize = 256;
/// Longest delay of a trial.
const MAX_TRIAL_DELAY: Duration = Duration::from_hours(6);

/// The record of a quarantined request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Requests that were sent on trial since it was quarantined.
    pub trials: u32,
    /// Store revision of the record; `None` while it is not known to be in the store.
    pub revision: Option<StoreIndex>,
}

/// A quarantined request or part, as this node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Quarantined {
    record: QuarantineRecord,
    /// When this node learned that it is quarantined.
    found_at: Instant,
    /// From when requests with it are refused.
    refused_from: Instant,
    /// When all nodes have had the time to report what they saw of it.
    settled_at: Instant,
    /// Whether this node found it.
    is_own: bool,
    /// Whether later evidence was checked: that of other nodes, or of triggers found since.
    is_checked: bool,
    /// When this node learned of the record's revision.
    seen: Instant,
    /// When this node writes the record if the store still lacks it.
    write_at: Instant,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Neither it nor a part of its prompt is quarantined.
    Allowed,
    /// A trial is due: the request may be sent once if this node replaces the record, which no two
    /// nodes can do.
    TrialDue(TriggerKey, QuarantineRecord),
    /// It ends upstreams; the time until the next trial.
    Refused(Duration),
}

/// What a node must do with a record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordWrite {
    /// Write the record, with this number of trials, if there is none.
    Create(u32),
    /// Remove the record if its revision is still this one.
    Remove(StoreIndex),
}

/// The quarantined requests and parts that a node knows of.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    triggers: BTreeMap<TriggerKey, Quarantined>,
    /// Requests that one more crash puts at fault, also after all nodes have restarted, and when this
    /// node learned of it.
    suspected: BTreeMap<TriggerKey, Instant>,
    /// The parts in force when this node last compared the requests that it found with them.
    compared_parts: BTreeSet<TriggerKey>,
}

impl Quarantine {
    /// Returns the number of quarantined requests and parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.triggers.len()
    }

    /// Returns whether nothing is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.triggers.is_empty()
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = (&TriggerKey, QuarantineRecord)> {
        self.triggers.iter().map(|(key, known)| (key, known.record))
    }

    /// Returns the record of a trigger, if it is quarantined.
    #[must_use]
    pub fn record(&self, key: &TriggerKey) -> Option<QuarantineRecord> {
        self.triggers.get(key).map(|known| known.record)
    }

    /// Applies a record of the store, or of a peer's view; `None` releases the trigger.
    pub fn apply(&mut self, key: TriggerKey, record: Option<QuarantineRecord>, now: Instant) {
        let Some(record) = record else {
            if self.triggers.remove(&key).is_some() {
                tracing::info!(service = %key.service, trigger = %key.trigger, "released from quarantine");
            }
            return;
        };
        let known = self.triggers.get(&key);
        if known.is_some_and(|known| known.record.revision >= record.revision) {
            return;
        }
        tracing::info!(
            service = %key.service, trigger = %key.trigger, trials = record.trials,
            revision = record.revision.map(tracing::field::display), "quarantined"
        );
        let mut record = record;
        if let Some(known) = known
            && known.record.revision.map(StoreIndex::era) != record.revision.map(StoreIndex::era)
        {
            // A restored store may have lost trials.
            record.trials = record.trials.max(known.record.trials);
        }
        let known = Quarantined {
            record,
            found_at: known.map_or(now, |known| known.found_at),
            refused_from: known.map_or(now, |known| known.refused_from),
            settled_at: known.map_or(now, |known| known.settled_at),
            is_own: known.is_some_and(|known| known.is_own),
            is_checked: known.is_some_and(|known| known.is_checked),
            seen: known.map_or(now, |known| known.refused_from).max(now),
            write_at: now,
        };
        self.triggers.insert(key, known);
    }

    /// Applies a record that a request is suspected, or its removal.
    pub fn apply_suspected(&mut self, key: TriggerKey, is_suspected: bool, now: Instant) {
        if is_suspected {
            self.suspected.entry(key).or_insert(now);
        } else {
            self.suspected.remove(&key);
        }
    }

    /// Returns the requests that are suspected.
    pub fn suspected(&self) -> impl Iterator<Item = &TriggerKey> {
        self.suspected.keys()
    }

    /// Returns whether a request is suspected.
    #[must_use]
    pub fn is_suspected(&self, key: &TriggerKey) -> bool {
        self.suspected.contains_key(key)
    }

    /// Drops the suspected requests that a listing of the store lacks.
    pub fn retain_suspected(&mut self, listed: &BTreeSet<TriggerKey>) {
        self.suspected.retain(|key, _| listed.contains(key));
    }

    /// Releases the triggers whose records a listing of the store lacks.
    pub fn retain_listed(&mut self, listed: &BTreeSet<TriggerKey>) {
        self.triggers
            .retain(|key, known| known.record.revision.is_none() || listed.contains(key));
    }

    /// Plans to write again the records that a restored store lacks.
    pub fn rewrite_unlisted(&mut self, listed: &BTreeSet<TriggerKey>, now: Instant) {
        for (key, known) in &mut self.triggers {
            if known
                .record
                .revision
                .take_if(|_| !listed.contains(key))
                .is_none()
            {
                continue;
            }
            // Nodes have learned of the part at different times, which keeps their writes apart.
            let known_for = now.saturating_duration_since(known.found_at);
            let fraction = f64::from(known_for.subsec_nanos()) / 1e9;
            known.write_at = now;
            if !known.is_own {
                known.write_at += REWRITE_DELAY + REWRITE_JITTER.mul_f64(fraction);
            }
        }
    }

    /// Quarantines the requests and parts that are at fault, and returns them.
    ///
    /// `nodes` is the number of nodes. A request is refused at once. A part, which many requests may
    /// hold, is refused once all nodes had the time to report what they saw, if it is still at fault
    /// then; its record is written before, so that it survives the nodes.
    pub fn evaluate(
        &mut self,
        crashes: &mut CrashEvidence,
        nodes: usize,
        now: Instant,
    ) -> Vec<Culprit> {
        crashes.expire(now);
        let mut found = Vec::new();
        while self.triggers.len() < MAX_TRIGGERS {
            let culprits = crashes.find_culprits(&self.keys(), &self.suspected);
            if culprits.is_empty() {
                break;
            }
            for known in self.triggers.values_mut() {
                known.is_checked = false;
            }
            for culprit in culprits {
                let settled_at = now.max(culprit.suspected_at + settle_time(nodes));
                self.insert_unwritten(culprit.key.clone(), now, settled_at, now, true);
                if let Some(known) = self.triggers.get_mut(&culprit.key)
                    && culprit.is_certain
                {
                    known.record.trials = FIRST_TRIALS;
                }
                found.push(culprit);
            }
        }
        found
    }

    fn keys(&self) -> Vec<&TriggerKey> {
        self.triggers.keys().collect()
    }

    /// Quarantines what a peer found, unless a request with it has completed lately; returns
    /// whether it is new.
    ///
    /// This node writes the record at `write_at` if nobody else has.
    pub fn learn(
        &mut self,
        key: TriggerKey,
        crashes: &CrashEvidence,
        nodes: usize,
        now: Instant,
        write_at: Instant,
    ) -> bool {
        let is_new = !self.triggers.contains_key(&key)
            && crashes.last_completion(&key).is_none()
            && self.triggers.len() < MAX_TRIGGERS;
        if is_new {
            self.insert_unwritten(key, now, now + settle_time(nodes), write_at, false);
        }
        is_new
    }

    fn insert_unwritten(
        &mut self,
        key: TriggerKey,
        now: Instant,
        settled_at: Instant,
        write_at: Instant,
        is_own: bool,
    ) {
        let refused_from = if key.trigger.is_request() {
            now
        } else {
            settled_at
        };
        let known = Quarantined {
            record: QuarantineRecord::default(),
            found_at: now,
            refused_from,
            settled_at,
            is_own,
            is_checked: false,
            seen: settled_at,
            write_at,
        };
        self.triggers.insert(key, known);
    }

    /// Returns the triggers without a record in the store.
    pub fn unwritten(&self) -> impl Iterator<Item = &TriggerKey> {
        let unwritten = |known: &Quarantined| known.record.revision.is_none();
        let parts = self.triggers.iter();
        parts.filter_map(move |(key, known)| unwritten(known).then_some(key))
    }

    /// Releases the triggers that are not at fault after all: a request with them has completed
    /// since, or others explain their crashes. Returns them with the revisions of their records.
    pub fn release_cleared(
        &mut self,
        crashes: &CrashEvidence,
        now: Instant,
    ) -> Vec<(TriggerKey, Option<StoreIndex>)> {
        let mut cleared: Vec<_> = self
            .triggers
            .iter()
            .filter(|(key, known)| {
                let last = crashes.last_completion(key);
                last.is_some_and(|at| at > known.found_at)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut own = Vec::new();
        for (key, known) in &mut self.triggers {
            if known.is_own && !known.is_checked && now >= known.settled_at {
                known.is_checked = true;
                own.push(key.clone());
            }
        }
        // Of two triggers that explain the same crashes, the one with fewer is released.
        own.sort_by_key(|key| crashes.count(key));
        for key in own {
            let others = self
                .triggers
                .keys()
                .filter(|other| !cleared.contains(other));
            if crashes.is_exonerated(&key, &others.collect::<Vec<_>>()) {
                cleared.push(key);
            }
        }
        cleared.extend(self.superseded(crashes, now));
        let released = cleared.into_iter().filter_map(|key| {
            let known = self.triggers.remove(&key)?;
            Some((key, known.record.revision))
        });
        released.collect()
    }

    /// Returns the requests found by this node whose crashes a part in force explains. They are refused on
    /// account of the part, and found again from their crashes if it is released.
    fn superseded(&mut self, crashes: &CrashEvidence, now: Instant) -> Vec<TriggerKey> {
        let parts = self.triggers.iter().filter(|(key, known)| {
            !key.trigger.is_request()
                && now >= known.refused_from
                && known.record.revision.is_some()
        });
        let parts: BTreeSet<_> = parts.map(|(key, _)| key.clone()).collect();
        if parts == self.compared_parts {
            return Vec::new();
        }
        let requests = self.triggers.iter();
        let requests = requests.filter(|(key, known)| key.trigger.is_request() && known.is_own);
        let in_force: Vec<_> = parts.iter().collect();
        let superseded = requests.filter(|(key, _)| crashes.is_request_exonerated(key, &in_force));
        let superseded = superseded.map(|(key, _)| key.clone()).collect();
        self.compared_parts = parts;
        superseded
    }

    /// Returns the records that this node must write or remove now.
    pub fn due_writes(&mut self, now: Instant) -> Vec<(TriggerKey, RecordWrite)> {
        let mut writes = Vec::new();
        for (key, known) in &mut self.triggers {
            let is_expired = now.saturating_duration_since(known.seen) >= RECORD_LIFETIME;
            let write = match known.record.revision {
                None => RecordWrite::Create(known.record.trials),
                Some(revision) if is_expired => RecordWrite::Remove(revision),
                Some(_) => continue,
            };
            if now >= known.write_at {
                known.write_at = now + WRITE_INTERVAL;
                writes.push((key.clone(), write));
            }
        }
        writes
    }

    /// Records the revision at which this node wrote a record; returns whether its trigger is still
    /// quarantined.
    pub fn record_written(&mut self, key: &TriggerKey, revision: StoreIndex) -> bool {
        let known = self.triggers.get_mut(key);
        known.is_some_and(|known| {
            known.record.revision = known.record.revision.max(Some(revision));
            true
        })
    }

    /// Returns whether a request with this digest and these parts may be sent to a service.
    ///
    /// When a trial is due, the next one of this node waits until the claim of this one is decided.
    pub fn admit(
        &mut self,
        service: &ServiceId,
        digest: RequestDigest,
        parts: &[PromptPart],
        crashes: &CrashEvidence,
        now: Instant,
    ) -> Admission {
        let has = |trigger: &CrashTrigger| match trigger {
            CrashTrigger::Part(part) => parts.contains(part),
            CrashTrigger::Request(request) => *request == digest,
        };
        let quarantined = self.triggers.iter_mut().filter(|(key, known)| {
            key.service == *service && has(&key.trigger) && now >= known.refused_from
        });
        let mut admission = Admission::Allowed;
        for (key, known) in quarantined {
            let next_trial = known.seen + trial_delay(known.record.trials);
            let wait = next_trial.saturating_duration_since(now);
            if !wait.is_zero() || admission != Admission::Allowed {
                // A request with two quarantined triggers would be no trial of either.
                return Admission::Refused(wait);
            }
            let tried = key.trigger;
            let mut others = parts
                .iter()
                .filter(|part| !tried.is_request() && tried != CrashTrigger::Part(**part));
            let is_clean = others.all(|part| crashes.has_completed(service, *part));
            if !is_clean && now < next_trial + CLEAN_TRIAL_WAIT {
                return Admission::Refused(wait);
            }
            // It would tell nothing of the part if the request alone is at fault.
            if !tried.is_request() && crashes.is_suspect(service, digest) {
                return Admission::Refused(wait);
            }
            known.seen = now;
            admission = Admission::TrialDue(key.clone(), known.record);
        }
        admission
    }
}

/// Returns the time within which all nodes have heard of what one of them saw.
fn settle_time(nodes: usize) -> Duration {
    let mut reached = 1;
    let mut rounds = 1;
    while reached < nodes {
        reached *= REPORT_FANOUT + 1;
        rounds += 1;
    }
    REPORT_INTERVAL * rounds
}

/// Returns the number of trials to record for one more.
///
/// A request is tried early once at most: a second early trial would only tell that it ends upstreams.
#[must_use]
pub fn trials_after(trigger: CrashTrigger, earlier: u32) -> u32 {
    let trials = earlier.saturating_add(1);
    if trigger.is_request() {
        trials.max(FIRST_TRIALS)
    } else {
        trials
    }
}

/// Returns how long after a change of its record a trigger may be tried.
#[must_use]
pub fn trial_delay(trials: u32) -> Duration {
    let index = usize::try_from(trials).unwrap_or(usize::MAX);
    if let Some(delay) = FIRST_TRIAL_DELAYS.get(index) {
        return *delay;
    }
    let further = trials.saturating_sub(2);
    LATER_TRIAL_DELAY
        .saturating_mul(DELAY_GROWTH.saturating_pow(further))
        .min(MAX_TRIAL_DELAY)
}
