//! Writes operators' changes and tells what became of them.

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
use super::pending_write::{Fate, PendingWrite, landed};

/// How often the state of a record is set when other changes come first.
const SWITCH_TRIES: u32 = 5;

/// How long the fate of a write is followed.
#[derive(Debug, Clone)]
pub struct WriteOptions {
    /// How long a write whose answer was lost is repeated and read back.
    pub settle_timeout: Duration,
    /// Pause between two tries.
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
/// Every write is a compare-and-swap on the store index that was read, so a repeat of the same
/// write takes effect at most once. An `Err` of any method says that nothing was written.
pub struct ChangeWriter<'a> {
    platform: &'a dyn Platform,
    clock: &'a dyn Clock,
    pause: &'a dyn Pause,
    options: WriteOptions,
}

impl<'a> ChangeWriter<'a> {
    /// Creates a writer.
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

    /// Writes a record, keeping stored fields that its schema doesn't have.
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

    /// Takes a failure domain out or brings it back.
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
        self.switch(&key, change, |document| {
            DomainRecord::set_state(document, state)
        })
    }

    /// Lets an upstream leave or brings it back.
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
        self.switch(&key, change, |document| {
            UpstreamRecord::set_state(document, state)
        })
    }

    /// Sets the state of a record, again if another change came first.
    ///
    /// Unlike a file, a switch contradicts no change of other fields: it keeps them. A change
    /// of the state that came first left nothing to do.
    fn switch(
        &self,
        key: &str,
        change: &Change,
        set: impl Fn(&mut Document) -> Result<(), RecordError>,
    ) -> Result<Outcome, PlatformError> {
        let edit = |stored: Option<&Document>| edited(stored, &set);
        let mut outcome = self.edit(key.into(), change, edit)?;
        for _ in 1..SWITCH_TRIES {
            if change.if_revision.is_some() || !matches!(outcome, Outcome::Conflict(_)) {
                break;
            }
            outcome = self.edit(key.into(), change, edit)?;
        }
        Ok(outcome)
    }

    /// Reads a record, edits it and writes it back. The edit returns `None` when there is
    /// nothing to edit.
    fn edit(
        &self,
        key: String,
        change: &Change,
        edit: impl FnOnce(Option<&Document>) -> Result<Option<Document>, RecordError>,
    ) -> Result<Outcome, PlatformError> {
        let entry = self.platform.get(&key)?;
        let stored = match entry.as_ref().map(read_stored).transpose() {
            Ok(stored) => stored,
            Err(error) => return Ok(Outcome::Refused(error)),
        };
        if let Some(outcome) = settled(&key, entry.as_ref(), stored.as_ref(), change) {
            return Ok(outcome);
        }
        match edit(stored.as_ref()).and_then(|next| checked(next, stored.as_ref(), change)) {
            Ok(Edited::Nothing) => Ok(Outcome::Missing { key }),
            Ok(Edited::Same(revision)) => Ok(Outcome::Unchanged {
                revision,
                index: entry.map(|entry| entry.index).unwrap_or_default(),
            }),
            Ok(Edited::New(next)) => self.write(&PendingWrite {
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
                Ok(SwapOutcome::Written) => return Ok(self.written(write, deadline)),
                Ok(SwapOutcome::Conflict) => {
                    return Ok(self.not_written(write, answer_lost, deadline));
                }
                Err(PlatformError::AnswerLost(_)) => answer_lost = true,
                Err(error) if !answer_lost => return Err(error),
                // The try whose answer was lost may still take effect.
                Err(_) => {}
            }
            match self.look(write) {
                Fate::Open => {}
                fate => return Ok(outcome_of(write, fate, answer_lost)),
            }
            if !self.pause_before(deadline) {
                return Ok(unclear(write));
            }
        }
    }

    /// Finds the store index of a write that is known to have taken effect.
    fn written(&self, write: &PendingWrite, deadline: Instant) -> Outcome {
        let superseded = match self.look_until(write, deadline) {
            Fate::Landed(applied) => return Outcome::Applied(applied),
            Fate::Beaten(stamp) => Some(stamp),
            Fate::Untraceable(stamp) => stamp,
            Fate::Open => None,
        };
        Outcome::Applied(Applied {
            revision: write.revision(),
            index: None,
            superseded,
        })
    }

    /// Finds out whether an earlier try took effect or another change did.
    fn not_written(&self, write: &PendingWrite, answer_lost: bool, deadline: Instant) -> Outcome {
        let fate = self.look_until(write, deadline);
        outcome_of(write, fate, answer_lost)
    }

    fn look(&self, write: &PendingWrite) -> Fate {
        match self.platform.get(&write.key) {
            Ok(entry) => write.fate(entry.as_ref()),
            Err(_) => Fate::Open,
        }
    }

    fn look_until(&self, write: &PendingWrite, deadline: Instant) -> Fate {
        loop {
            let fate = self.look(write);
            if fate != Fate::Open || !self.pause_before(deadline) {
                return fate;
            }
        }
    }

    /// Pauses before the next try; `false` when the deadline leaves no time for one.
    fn pause_before(&self, deadline: Instant) -> bool {
        if self.clock.now() + self.options.retry_pause >= deadline {
            return false;
        }
        self.pause.pause(self.options.retry_pause);
        true
    }
}

/// What an edit made of the stored document.
enum Edited {
    Nothing,
    Same(Revision),
    New(Document),
}

fn read_stored(entry: &Entry) -> Result<Document, RecordError> {
    Document::from_json(&entry.value).map_err(|e| {
        let key = &entry.key;
        RecordError::Syntax(format!(
            "stored value of {key}: {e}; delete the key in the platform, then apply again"
        ))
    })
}

fn edited(
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

/// Returns the outcome when the stored record already decides it.
fn settled(
    key: &str,
    entry: Option<&Entry>,
    stored: Option<&Document>,
    change: &Change,
) -> Option<Outcome> {
    if let (Some(entry), Some(stored)) = (entry, stored)
        && let Some(applied) = landed(stored, entry.index, &change.id)
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

fn checked(
    next: Option<Document>,
    stored: Option<&Document>,
    change: &Change,
) -> Result<Edited, RecordError> {
    let Some(mut next) = next else {
        return Ok(Edited::Nothing);
    };
    Record::from_document(&next)?;
    if let Some(stored) = stored.filter(|stored| stored.has_same_content(&next)) {
        return Ok(Edited::Same(stored.revision()));
    }
    next.stamp(stored, &change.id, &change.operator)?;
    Ok(Edited::New(next))
}

fn outcome_of(write: &PendingWrite, fate: Fate, answer_lost: bool) -> Outcome {
    let stored = match fate {
        Fate::Landed(applied) => return Outcome::Applied(applied),
        Fate::Beaten(stamp) => Some(stamp),
        Fate::Untraceable(_) | Fate::Open if answer_lost => return unclear(write),
        Fate::Untraceable(stamp) => stamp,
        Fate::Open => None,
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
