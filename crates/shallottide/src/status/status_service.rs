//! The service that answers operators who ask for the status.

use super::StatusPage;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, StatusReply};

/// Answers operators who ask for the status.
#[derive(Debug, Default)]
pub struct StatusService {}

impl StatusService {
    /// Creates the service.
    #[must_use]
    pub fn new() -> Self {
        Self {}
    }
}

impl Service for StatusService {
    fn name(&self) -> Name {
        names::STATUS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        if let Message::StatusWanted(wanted) = message {
            let reply = StatusReply {
                token: wanted.token,
                json: StatusPage::of(cx).to_json(),
            };
            out.send(names::OPERATORS, reply);
        }
    }
}
