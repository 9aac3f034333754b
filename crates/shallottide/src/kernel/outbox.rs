//! Messages that a service sends while it handles one.

use super::Name;
use crate::message::Message;

/// Collects the messages that one handled message gives rise to, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: Vec<(Name, Message)>,
}

impl Outbox {
    /// Adds a message for the service or border of that name.
    pub fn send(&mut self, to: Name, message: impl Into<Message>) {
        self.messages.push((to, message.into()));
    }

    /// Takes all messages out, oldest first.
    pub fn take(&mut self) -> Vec<(Name, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Tells whether nothing was sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
