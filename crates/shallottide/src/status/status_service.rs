//! The service that answers operators who ask for the status.

use std::sync::Arc;

use super::StatusPage;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, StatusReply};
use crate::peers::PeerTraffic;

/// Answers operators who ask for the status.
#[derive(Debug, Default)]
pub struct StatusService {
    traffic: Arc<PeerTraffic>,
}

impl StatusService {
    /// Creates the service; it tells what `traffic` has counted.
    #[must_use]
    pub fn new(traffic: Arc<PeerTraffic>) -> Self {
        Self { traffic }
    }
}

impl Service for StatusService {
    fn name(&self) -> Name {
        names::STATUS
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        if let Message::StatusRequest(wanted) = message {
            let reply = StatusReply {
                token: wanted.token,
                json: StatusPage::from_context(cx, self.traffic.totals()).to_json(),
            };
            out.send(names::OPERATORS, reply);
        }
    }
}
