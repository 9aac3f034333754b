//! Hands events of answers to whoever waits for them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use shallottide_types::call::ReplyEvent;
use tokio::sync::mpsc;

use super::DisconnectGuard;
use crate::kernel::KernelHandle;
use crate::message::ReplyTo;

/// Events of one answer that wait for a slow receiver before its call is dropped.
const WAITING_EVENTS: usize = 1_024;

/// Answers awaited by one border; a cheap cloneable handle.
#[derive(Clone)]
pub struct ReplyRouter {
    kernel: KernelHandle,
    reply_to: fn(u64) -> ReplyTo,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    next: u64,
    waiting: BTreeMap<u64, mpsc::Sender<ReplyEvent>>,
}

impl ReplyRouter {
    /// Creates a desk whose answers go to `reply_to(number)`.
    #[must_use]
    pub fn new(kernel: KernelHandle, reply_to: fn(u64) -> ReplyTo) -> Self {
        Self {
            kernel,
            reply_to,
            state: Arc::default(),
        }
    }

    /// Registers a new answer. Its call is dropped when the guard is, unless it ended before.
    ///
    /// # Panics
    /// If another thread panicked while holding the desk.
    #[must_use]
    pub fn register(&self) -> (DisconnectGuard, mpsc::Receiver<ReplyEvent>) {
        let (tx, rx) = mpsc::channel(WAITING_EVENTS);
        let mut state = self.state.lock().expect("desk lock");
        state.next += 1;
        let number = state.next;
        state.waiting.insert(number, tx);
        (DisconnectGuard::new(self.clone(), number), rx)
    }

    /// Hands one event on without blocking.
    ///
    /// # Panics
    /// If another thread panicked while holding the desk.
    pub fn deliver(&self, number: u64, event: ReplyEvent) {
        let last = matches!(event, ReplyEvent::End | ReplyEvent::Fail(_));
        let mut state = self.state.lock().expect("desk lock");
        let Some(tx) = state.waiting.get(&number) else {
            return;
        };
        // A receiver too slow for the waiting room loses its call: dropping the sender
        // cuts its answer, and its guard then tells the kernel.
        if tx.try_send(event).is_err() || last {
            state.waiting.remove(&number);
        }
    }

    pub(super) fn forget(&self, number: u64) {
        self.state
            .lock()
            .expect("desk lock")
            .waiting
            .remove(&number);
    }

    pub(super) fn kernel(&self) -> &KernelHandle {
        &self.kernel
    }

    pub(super) fn reply_to(&self, number: u64) -> ReplyTo {
        (self.reply_to)(number)
    }
}
