//! Tells the kernel when the caller of a call went away before its answer ended.

use crate::kernel::{KernelHandle, names};
use crate::message::{Message, ReplyTo};

use super::front_border::Waiting;

/// Sends `CallGone` when dropped, unless the answer ended before.
pub(super) struct GoneGuard {
    number: u64,
    kernel: KernelHandle,
    waiting: Waiting,
    ended: bool,
}

impl GoneGuard {
    pub(super) fn new(number: u64, kernel: KernelHandle, waiting: Waiting) -> Self {
        Self {
            number,
            kernel,
            waiting,
            ended: false,
        }
    }

    /// Notes that the answer ended.
    pub(super) fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        self.waiting
            .lock()
            .expect("waiting lock")
            .remove(&self.number);
        if !self.ended {
            let gone = Message::CallGone(ReplyTo::Front(self.number));
            self.kernel.send(names::CALLS, gone);
        }
    }
}
