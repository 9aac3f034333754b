//! Tells the kernel when the receiver of an answer went away before it ended.

use super::ReplyDesk;
use crate::kernel::names;
use crate::message::{Message, ReplyTo};

/// Sends `ReceiverDisconnected` when dropped, unless the answer ended before.
pub struct GoneGuard {
    desk: ReplyDesk,
    number: u64,
    ended: bool,
}

impl GoneGuard {
    pub(super) fn new(desk: ReplyDesk, number: u64) -> Self {
        Self {
            desk,
            number,
            ended: false,
        }
    }

    /// Returns where the answer goes.
    #[must_use]
    pub fn reply_to(&self) -> ReplyTo {
        self.desk.reply_to(self.number)
    }

    /// Notes that the answer ended.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        self.desk.forget(self.number);
        if !self.ended {
            let gone = Message::ReceiverDisconnected(self.reply_to());
            self.desk.kernel().send(names::CALLS, gone);
        }
    }
}
