//! What a service of the kernel is.

use super::{Context, Name, Outbox};
use crate::message::Message;

/// A part of the node that owns its state and reacts to messages.
///
/// A service does no input or output and reads no clock but [`Context::now`].
/// It ignores messages that aren't meant for it.
pub trait Service {
    /// Returns the name other services know it by.
    fn name(&self) -> Name;

    /// Handles one message. [`Message::Tick`] comes ten times a second.
    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox);
}
