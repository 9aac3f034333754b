//! Table of the calls in flight, indexed by number, attempt, receiver and id.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallottide_types::id::{AttemptId, CallId};

use super::CallCounts;
use super::call::Call;
use crate::message::ReplyTo;

/// Sequence number of a call on this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallNumber(u64);

/// Table of the calls in flight.
///
/// A call is taken out while a message for it is handled and put back if it has not ended.
#[derive(Debug)]
pub(super) struct CallTable {
    calls: BTreeMap<CallNumber, Call>,
    by_attempt: BTreeMap<AttemptId, CallNumber>,
    by_reply: BTreeMap<ReplyTo, CallNumber>,
    /// Calls from callers only: a call forwarded by a peer may have the same id as one of them.
    by_id: BTreeMap<CallId, CallNumber>,
    last: CallNumber,
    counts: Arc<CallCounts>,
}

impl CallTable {
    pub(super) fn new(counts: Arc<CallCounts>) -> Self {
        Self {
            calls: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            by_reply: BTreeMap::new(),
            by_id: BTreeMap::new(),
            last: CallNumber::default(),
            counts,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether a call from a caller with this id is in flight.
    pub(super) fn has_id(&self, id: &CallId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number for a new call.
    pub(super) fn next_number(&mut self) -> CallNumber {
        self.last = CallNumber(self.last.0 + 1);
        self.last
    }

    /// Adds a call or puts it back.
    pub(super) fn put(&mut self, number: CallNumber, call: Call) {
        if let Some(attempt) = &call.attempt {
            self.by_attempt.insert(attempt.id, number);
        }
        if call.has_receiver {
            self.by_reply.insert(call.reply_to, number);
        }
        if !call.is_from_peer() {
            self.by_id.insert(call.head.id.clone(), number);
        }
        self.calls.insert(number, call);
        self.publish();
    }

    /// Removes a call and its index entries.
    pub(super) fn take(&mut self, number: CallNumber) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        if let Some(attempt) = &call.attempt {
            self.by_attempt.remove(&attempt.id);
        }
        self.by_reply.remove(&call.reply_to);
        if !call.is_from_peer() {
            self.by_id.remove(&call.head.id);
        }
        self.publish();
        Some(call)
    }

    pub(super) fn take_by_attempt(&mut self, id: AttemptId) -> Option<(CallNumber, Call)> {
        let number = *self.by_attempt.get(&id)?;
        Some((number, self.take(number)?))
    }

    pub(super) fn take_by_reply(&mut self, to: ReplyTo) -> Option<(CallNumber, Call)> {
        let number = *self.by_reply.get(&to)?;
        Some((number, self.take(number)?))
    }

    pub(super) fn take_by_id(&mut self, id: &CallId) -> Option<(CallNumber, Call)> {
        let number = *self.by_id.get(id)?;
        Some((number, self.take(number)?))
    }

    /// Returns the numbers of the calls that match a condition.
    pub(super) fn select(&self, mut matches: impl FnMut(&Call) -> bool) -> Vec<CallNumber> {
        let matching = self.calls.iter().filter(|(_, call)| matches(call));
        matching.map(|(number, _)| *number).collect()
    }

    fn publish(&self) {
        let from_callers = self.by_id.len();
        self.counts
            .set(from_callers, self.calls.len() - from_callers);
    }
}
