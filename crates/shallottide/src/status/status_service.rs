//! Service that answers operators' requests for the status.

use std::sync::Arc;

use super::StatusPage;
use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, StatusReply};
use crate::peers::PeerTraffic;

/// Answers operators' requests for the status.
#[derive(Debug, Default)]
pub struct StatusService {
    traffic: Arc<PeerTraffic>,
}

impl StatusService {
    /// Creates the service, which reports the counters of `traffic`.
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
        if let Message::StatusRequest(request) = message {
            let reply = StatusReply {
                token: request.token,
                json: StatusPage::from_context(cx, self.traffic.totals()).to_json(),
            };
            out.send(names::OPERATORS, reply);
        }
    }
}
