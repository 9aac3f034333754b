//! Outgoing messages of a service.

use super::Name;
use crate::message::Message;

/// Collects, in order, the messages that a service sends while it handles one message.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: Vec<(Name, Message)>,
}

impl Outbox {
    /// Appends a message addressed to the service or adapter `to`.
    pub fn send(&mut self, to: Name, message: impl Into<Message>) {
        self.messages.push((to, message.into()));
    }

    /// Removes and returns all messages, oldest first.
    pub fn take(&mut self) -> Vec<(Name, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Returns whether there are no messages to deliver.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
