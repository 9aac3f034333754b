//! Delivery of answer events to the tasks that wait for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallottide_types::call::ReplyEvent;
use tokio::sync::mpsc;

use super::DisconnectGuard;
use crate::kernel::KernelHandle;
use crate::message::ReplyTo;

/// Maximum number of events queued for a slow receiver before its call is cancelled.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// Routes answer events to the receivers of one adapter. Cheap to clone; clones share their state.
#[derive(Clone)]
pub struct ReplyRouter {
    kernel: KernelHandle,
    reply_to: fn(u64) -> ReplyTo,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    next: u64,
    receivers: BTreeMap<u64, mpsc::Sender<ReplyEvent>>,
}

impl ReplyRouter {
    /// Creates a router whose answers are addressed as `reply_to(number)`.
    #[must_use]
    pub fn new(kernel: KernelHandle, reply_to: fn(u64) -> ReplyTo) -> Self {
        Self {
            kernel,
            reply_to,
            state: Arc::default(),
        }
    }

    /// Registers a receiver for a new answer.
    ///
    /// Dropping the guard cancels the call, unless the answer has ended.
    ///
    /// # Panics
    /// If another thread panicked while holding the lock.
    #[must_use]
    pub fn register(&self) -> (DisconnectGuard, mpsc::Receiver<ReplyEvent>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut state = self.state.lock().expect("reply router lock");
        state.next += 1;
        let number = state.next;
        state.receivers.insert(number, tx);
        (DisconnectGuard::new(self.clone(), number), rx)
    }

    /// Delivers one event without blocking. Ignored if the receiver is not registered any more.
    ///
    /// # Panics
    /// If another thread panicked while holding the lock.
    pub fn deliver(&self, number: u64, event: ReplyEvent) {
        let last = matches!(event, ReplyEvent::End | ReplyEvent::Fail(_));
        let mut state = self.state.lock().expect("reply router lock");
        let Some(tx) = state.receivers.get(&number) else {
            return;
        };
        // A full queue cancels the call: dropping the sender ends the receiver's stream early,
        // and its guard then notifies the kernel.
        if tx.try_send(event).is_err() || last {
            state.receivers.remove(&number);
        }
    }

    pub(super) fn remove(&self, number: u64) {
        self.state
            .lock()
            .expect("reply router lock")
            .receivers
            .remove(&number);
    }

    pub(super) fn kernel(&self) -> &KernelHandle {
        &self.kernel
    }

    pub(super) fn reply_to(&self, number: u64) -> ReplyTo {
        (self.reply_to)(number)
    }
}
