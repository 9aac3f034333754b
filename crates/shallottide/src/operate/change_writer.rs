//! Writes operators' changes and determines their outcome.

use std::time::{Duration, Instant};

use shallottide_types::clock::Clock;
use shallottide_types::id::{DomainId, Revision, UpstreamId};
use shallottide_types::platform::{Entry, Platform, PlatformError, SwapOutcome};
use shallottide_types::record::{
    Document, DomainRecord, DomainState, Record, RecordError, RecordKind, UpstreamRecord,
    UpstreamState,
};

use super::change::Change;
use super::outcome::{Applied, Conflict, Outcome, Stamp, Unclear};
use super::pause::Pause;
use super::pending_write::{PendingWrite, WriteState, find_applied};

/// Attempts to set the state of a record while other changes are written in between.
const SET_STATE_ATTEMPTS: u32 = 5;

/// Timing of retries and read-backs of a write.
#[derive(Debug, Clone)]
pub struct WriteOptions {
    /// How long a write whose answer was lost is retried and read back.
    pub settle_timeout: Duration,
    /// Pause between two attempts.
    pub retry_pause: Duration,
}

impl Default for WriteOptions {
    fn default() -> Self {
        Self {
            settle_timeout: Duration::from_secs(10),
            retry_pause: Duration::from_millis(200),
        }
    }
}

/// Writes operators' changes.
///
/// Every write is a compare-and-swap on the store index that was read, so a retry of the same
/// write takes effect at most once. If a method returns `Err`, nothing was written.
pub struct ChangeWriter<'a> {
    platform: &'a dyn Platform,
    clock: &'a dyn Clock,
    pause: &'a dyn Pause,
    options: WriteOptions,
}

impl<'a> ChangeWriter<'a> {
    /// Creates a writer, which waits with `pause` between attempts.
    #[must_use]
    pub fn new(
        platform: &'a dyn Platform,
        clock: &'a dyn Clock,
        pause: &'a dyn Pause,
        options: WriteOptions,
    ) -> Self {
        Self {
            platform,
            clock,
            pause,
            options,
        }
    }

    /// Writes a record. Stored fields that its schema doesn't have are kept.
    ///
    /// # Errors
    /// [`PlatformError`] when nothing was written.
    pub fn apply(&self, document: &Document, change: &Change) -> Result<Outcome, PlatformError> {
        let key = match Record::from_document(document) {
            Ok(record) => record.store_key(),
            Err(error) => return Ok(Outcome::Refused(error)),
        };
        self.edit(key, change, |stored| match stored {
            Some(stored) => document.merged_onto(stored).map(Some),
            None => Ok(Some(document.without_stamps())),
        })
    }

    /// Takes a failure domain out of service, or returns it to service.
    ///
    /// # Errors
    /// [`PlatformError`] when nothing was written.
    pub fn set_domain_state(
        &self,
        domain: &DomainId,
        state: DomainState,
        change: &Change,
    ) -> Result<Outcome, PlatformError> {
        let key = RecordKind::Domain.store_key(domain.as_str());
        self.set_state(&key, change, |document| {
            DomainRecord::set_state(document, state)
        })
    }

    /// Drains an upstream, or returns it to service.
    ///
    /// # Errors
    /// [`PlatformError`] when nothing was written.
    pub fn set_upstream_state(
        &self,
        upstream: &UpstreamId,
        state: UpstreamState,
        change: &Change,
    ) -> Result<Outcome, PlatformError> {
        let key = RecordKind::Upstream.store_key(upstream.as_str());
        self.set_state(&key, change, |document| {
            UpstreamRecord::set_state(document, state)
        })
    }

    /// Sets the state of a record, and retries if another change was written first.
    ///
    /// A retry is safe: unlike a whole document, setting the state keeps concurrent changes of
    /// other fields. If a concurrent change already set this state, there is nothing to write.
    fn set_state(
        &self,
        key: &str,
        change: &Change,
        set: impl Fn(&mut Document) -> Result<(), RecordError>,
    ) -> Result<Outcome, PlatformError> {
        let edit = |stored: Option<&Document>| edit_stored(stored, &set);
        let mut outcome = self.edit(key.into(), change, edit)?;
        for _ in 1..SET_STATE_ATTEMPTS {
            if change.if_revision.is_some() || !matches!(outcome, Outcome::Conflict(_)) {
                break;
            }
            outcome = self.edit(key.into(), change, edit)?;
        }
        Ok(outcome)
    }

    /// Reads a record, edits it and writes it back. `edit` returns `None` if the record that it
    /// would edit doesn't exist.
    fn edit(
        &self,
        key: String,
        change: &Change,
        edit: impl FnOnce(Option<&Document>) -> Result<Option<Document>, RecordError>,
    ) -> Result<Outcome, PlatformError> {
        let entry = self.platform.get(&key)?;
        let stored = match entry.as_ref().map(parse_stored).transpose() {
            Ok(stored) => stored,
            Err(error) => return Ok(Outcome::Refused(error)),
        };
        if let Some(outcome) = decided_outcome(&key, entry.as_ref(), stored.as_ref(), change) {
            return Ok(outcome);
        }
        match edit(stored.as_ref()).and_then(|next| prepare_edit(next, stored.as_ref(), change)) {
            Ok(PreparedEdit::NoRecord) => Ok(Outcome::Missing { key }),
            Ok(PreparedEdit::Unchanged(revision)) => Ok(Outcome::Unchanged {
                revision,
                index: entry.map(|entry| entry.index).unwrap_or_default(),
            }),
            Ok(PreparedEdit::Changed(next)) => self.write(&PendingWrite {
                key,
                value: next.to_json(),
                change: change.id.clone(),
                base_index: entry.map(|entry| entry.index),
                base_revision: stored.as_ref().map(Document::revision).unwrap_or_default(),
            }),
            Err(error) => Ok(Outcome::Refused(error)),
        }
    }

    fn write(&self, write: &PendingWrite) -> Result<Outcome, PlatformError> {
        let deadline = self.clock.now() + self.options.settle_timeout;
        let mut answer_lost = false;
        loop {
            match self.platform.swap(&write.key, &write.value, write.expect()) {
                Ok(SwapOutcome::Written) => return Ok(self.outcome_after_success(write, deadline)),
                Ok(SwapOutcome::Conflict) => {
                    return Ok(self.outcome_after_conflict(write, answer_lost, deadline));
                }
                Err(PlatformError::AnswerLost(_)) => answer_lost = true,
                Err(error) if !answer_lost => return Err(error),
                // The earlier attempt, whose answer was lost, may still take effect.
                Err(_) => {}
            }
            match self.read_write_state(write) {
                WriteState::Pending => {}
                state => return Ok(outcome_of(write, state, answer_lost)),
            }
            if !self.pause_before(deadline) {
                return Ok(unclear(write));
            }
        }
    }

    /// Returns the outcome of a write that took effect, with its store index if it can be read.
    fn outcome_after_success(&self, write: &PendingWrite, deadline: Instant) -> Outcome {
        let superseded = match self.poll_write_state(write, deadline) {
            WriteState::Applied(applied) => return Outcome::Applied(applied),
            WriteState::Conflicted(stamp) => Some(stamp),
            WriteState::Unknown(stamp) => stamp,
            WriteState::Pending => None,
        };
        Outcome::Applied(Applied {
            revision: write.revision(),
            index: None,
            superseded,
        })
    }

    /// Determines whether the conflict is with an earlier attempt of this write or with another
    /// change.
    fn outcome_after_conflict(
        &self,
        write: &PendingWrite,
        answer_lost: bool,
        deadline: Instant,
    ) -> Outcome {
        let state = self.poll_write_state(write, deadline);
        outcome_of(write, state, answer_lost)
    }

    /// Reads the state of a write; `Pending` if the read fails.
    fn read_write_state(&self, write: &PendingWrite) -> WriteState {
        match self.platform.get(&write.key) {
            Ok(entry) => write.state(entry.as_ref()),
            Err(_) => WriteState::Pending,
        }
    }

    /// Polls the state of a write until it is no longer `Pending` or the deadline is near.
    fn poll_write_state(&self, write: &PendingWrite, deadline: Instant) -> WriteState {
        loop {
            let state = self.read_write_state(write);
            if state != WriteState::Pending || !self.pause_before(deadline) {
                return state;
            }
        }
    }

    /// Pauses before the next attempt; returns `false` if the deadline leaves no time for one.
    fn pause_before(&self, deadline: Instant) -> bool {
        if self.clock.now() + self.options.retry_pause >= deadline {
            return false;
        }
        self.pause.pause(self.options.retry_pause);
        true
    }
}

/// An edit of the stored document, ready to write.
enum PreparedEdit {
    /// There is no record to edit.
    NoRecord,
    /// The edit changes nothing; the stored revision.
    Unchanged(Revision),
    /// The document to write.
    Changed(Document),
}

fn parse_stored(entry: &Entry) -> Result<Document, RecordError> {
    Document::from_json(&entry.value).map_err(|e| {
        let key = &entry.key;
        RecordError::Syntax(format!(
            "stored value of {key}: {e}; delete the key in the platform, then apply again"
        ))
    })
}

fn edit_stored(
    stored: Option<&Document>,
    edit: impl FnOnce(&mut Document) -> Result<(), RecordError>,
) -> Result<Option<Document>, RecordError> {
    let Some(stored) = stored else {
        return Ok(None);
    };
    let mut next = stored.without_stamps();
    edit(&mut next)?;
    Ok(Some(next))
}

/// Returns the outcome if the stored record already decides it: the change is applied, or its
/// expected revision is not the stored one.
fn decided_outcome(
    key: &str,
    entry: Option<&Entry>,
    stored: Option<&Document>,
    change: &Change,
) -> Option<Outcome> {
    if let (Some(entry), Some(stored)) = (entry, stored)
        && let Some(applied) = find_applied(stored, entry.index, &change.id)
    {
        return Some(Outcome::Applied(applied));
    }
    let revision = stored.map(Document::revision).unwrap_or_default();
    let expected = change
        .if_revision
        .filter(|&expected| expected != revision)?;
    Some(Outcome::Conflict(Conflict {
        key: key.into(),
        expected,
        stored: stored.map(Stamp::of),
    }))
}

/// Validates an edited document and stamps it with the change.
fn prepare_edit(
    next: Option<Document>,
    stored: Option<&Document>,
    change: &Change,
) -> Result<PreparedEdit, RecordError> {
    let Some(mut next) = next else {
        return Ok(PreparedEdit::NoRecord);
    };
    Record::from_document(&next)?;
    if let Some(stored) = stored.filter(|stored| stored.has_same_content(&next)) {
        return Ok(PreparedEdit::Unchanged(stored.revision()));
    }
    next.stamp(stored, &change.id, &change.operator)?;
    Ok(PreparedEdit::Changed(next))
}

fn outcome_of(write: &PendingWrite, state: WriteState, answer_lost: bool) -> Outcome {
    let stored = match state {
        WriteState::Applied(applied) => return Outcome::Applied(applied),
        WriteState::Conflicted(stamp) => Some(stamp),
        WriteState::Unknown(_) | WriteState::Pending if answer_lost => return unclear(write),
        WriteState::Unknown(stamp) => stamp,
        WriteState::Pending => None,
    };
    Outcome::Conflict(Conflict {
        key: write.key.clone(),
        expected: write.base_revision,
        stored,
    })
}

fn unclear(write: &PendingWrite) -> Outcome {
    Outcome::Unclear(Unclear {
        key: write.key.clone(),
        change: write.change.clone(),
    })
}
