//! Detection of receivers that disconnect before the end of their answer.

use super::ReplyRouter;
use crate::kernel::names;
use crate::message::{Message, ReplyTo};

/// Sends `ReceiverDisconnected` to the calls service when dropped, unless the answer has ended.
pub struct DisconnectGuard {
    router: ReplyRouter,
    number: u64,
    ended: bool,
}

impl DisconnectGuard {
    pub(super) fn new(router: ReplyRouter, number: u64) -> Self {
        Self {
            router,
            number,
            ended: false,
        }
    }

    /// Returns the address of the answer, to be sent with the call.
    #[must_use]
    pub fn reply_to(&self) -> ReplyTo {
        self.router.reply_to(self.number)
    }

    /// Marks the answer as ended.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.router.remove(self.number);
        if !self.ended {
            let message = Message::ReceiverDisconnected(self.reply_to());
            self.router.kernel().send(names::CALLS, message);
        }
    }
}
