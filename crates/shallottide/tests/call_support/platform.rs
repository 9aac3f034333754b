//! An in-memory platform with fault injection.

use std::collections::{BTreeMap, VecDeque};

use shallottide::message::{PlatformAnswer, PlatformOp};
use shallottide_types::id::{StoreEra, StoreIndex};
use shallottide_types::platform::{Entry, PlatformError, Precondition, SwapOutcome};

/// Fault of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// The write never takes effect and its answer is lost.
    LostBefore,
    /// The write takes effect and its answer is lost.
    LostAfter,
    /// The answer is lost; the write is applied later, if its precondition then still holds.
    Delayed,
    /// The write is not sent.
    Unreachable,
    /// The write is refused by the rate limit.
    Limited,
}

/// An in-memory platform with fault injection.
#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    /// Number of restores.
    era: StoreEra,
    index: u64,
    /// Faults of the next writes, in order.
    pub(crate) faults: VecDeque<WriteFault>,
    delayed: Vec<(String, Vec<u8>, Precondition)>,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    /// Size in bytes of the largest value that a write contained.
    pub(crate) largest_value: usize,
}

/// A copy of what the platform stores.
pub(crate) struct PlatformCopy {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    index: u64,
}

impl FakePlatform {
    pub(crate) fn copy(&self) -> PlatformCopy {
        PlatformCopy {
            values: self.values.clone(),
            index: self.index,
        }
    }

    /// Restores the platform from a copy: later writes are lost, and their indexes are given out again.
    pub(crate) fn restore(&mut self, copy: PlatformCopy) {
        self.era = self.era.next();
        self.values = copy.values;
        self.index = copy.index;
        self.delayed.clear();
    }

    pub(crate) fn run(&mut self, op: PlatformOp) -> Result<PlatformAnswer, PlatformError> {
        match op {
            PlatformOp::Get(key) => Ok(self.get(&key)),
            PlatformOp::Swap { key, value, expect } => self.swap(key, value, expect),
            other => panic!("claims made another call: {other:?}"),
        }
    }

    /// Changes the format byte of each value, as another program version would.
    pub(crate) fn change_formats(&mut self) {
        for (value, _) in self.values.values_mut() {
            value[0] ^= 0xff;
        }
    }

    /// Applies the delayed writes.
    pub(crate) fn apply_delayed(&mut self) {
        for (key, value, expect) in std::mem::take(&mut self.delayed) {
            self.write(key, value, expect);
        }
    }

    fn get(&mut self, key: &str) -> PlatformAnswer {
        self.reads += 1;
        let entry = self.values.get(key).map(|(value, index)| Entry {
            key: key.into(),
            value: value.clone(),
            index: StoreIndex::new(self.era, *index),
            session: None,
        });
        PlatformAnswer::Entry(entry)
    }

    fn swap(
        &mut self,
        key: String,
        value: Vec<u8>,
        expect: Precondition,
    ) -> Result<PlatformAnswer, PlatformError> {
        self.writes += 1;
        self.largest_value = self.largest_value.max(value.len());
        let lost = || Err(PlatformError::AnswerLost("fake".into()));
        match self.faults.pop_front() {
            None => Ok(PlatformAnswer::Swap(self.write(key, value, expect))),
            Some(WriteFault::LostBefore) => lost(),
            Some(WriteFault::LostAfter) => {
                self.write(key, value, expect);
                lost()
            }
            Some(WriteFault::Delayed) => {
                self.delayed.push((key, value, expect));
                lost()
            }
            Some(WriteFault::Unreachable) => Err(unreachable()),
            Some(WriteFault::Limited) => Err(PlatformError::RateLimited),
        }
    }

    fn write(&mut self, key: String, value: Vec<u8>, expect: Precondition) -> SwapOutcome {
        let found = self.values.get(&key);
        let found = found.map(|(_, index)| StoreIndex::new(self.era, *index));
        let wanted = match expect {
            Precondition::Absent => None,
            Precondition::Index(index) => Some(index),
        };
        if found != wanted {
            return SwapOutcome::Conflict;
        }
        self.index += 1;
        self.values.insert(key, (value, self.index));
        SwapOutcome::Written
    }
}

pub(crate) fn unreachable() -> PlatformError {
    PlatformError::Unreachable {
        address: "fake".into(),
        reason: "cut off".into(),
    }
}
