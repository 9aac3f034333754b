//! The trait that services of the kernel implement.

use super::{Context, Name, Outbox};
use crate::message::Message;

/// An actor that owns its state and changes it only when it handles a message.
///
/// A service does no I/O and reads no clock except through [`Context`].
/// It ignores message types that it doesn't handle.
pub trait Service {
    /// Returns the name under which the service receives messages.
    fn name(&self) -> Name;

    /// Handles one message. [`Message::Tick`] arrives ten times a second.
    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox);
}
