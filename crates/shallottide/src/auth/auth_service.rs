//! Authentication of calls and ticket requests.

use std::time::Duration;

use shallottide_types::call::ReplyEvent;
use shallottide_types::id::TeamId;
use shallottide_types::record::KeyHash;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{Message, MintTickets, Reply, ReplyTo, UnauthenticatedCall};

/// Retry delay reported by a node that has just started and has no configuration yet.
const RETRY_STARTING: Duration = Duration::from_secs(1);

/// Resolves bearer keys to teams and forwards the requests; refuses those without a valid key.
#[derive(Debug, Default)]
pub struct AuthService;

impl Service for AuthService {
    fn name(&self) -> Name {
        names::AUTH
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        match message {
            Message::UnauthenticatedCall(UnauthenticatedCall { key, mut call }) => {
                // An earlier request with the same idempotency key may have run through another
                // node.
                let ran = if call.head.key.is_some() {
                    Ran::Unknown
                } else {
                    Ran::No
                };
                if let Some(team) = team_of(key, ran, call.reply_to, cx, out) {
                    call.head.team = team;
                    out.send(names::CALLS, call);
                }
            }
            Message::UnauthenticatedTicketRequest(presented) => {
                let (reply_to, count) = (presented.reply_to, presented.count);
                if let Some(team) = team_of(presented.key, Ran::No, reply_to, cx, out) {
                    let wanted = MintTickets {
                        reply_to,
                        team,
                        count,
                    };
                    out.send(names::CLAIMS, wanted);
                }
            }
            _ => {}
        }
    }
}

/// Returns the team of a key, or sends a refusal that states `ran` for the call.
fn team_of(
    key: Option<KeyHash>,
    ran: Ran,
    reply_to: ReplyTo,
    cx: &Context,
    out: &mut Outbox,
) -> Option<TeamId> {
    let config = cx.config();
    let team = key.as_ref().and_then(|key| config.team_keys.get(key));
    if team.is_none() {
        let event = ReplyEvent::Fail(refusal(key.is_some(), !config.is_loaded(), ran));
        out.send(names::FRONT, Reply { reply_to, event });
    }
    team.cloned()
}

fn refusal(has_key: bool, is_starting: bool, ran: Ran) -> Refusal {
    if is_starting {
        let message = "this node has no records yet: retry, or call another node";
        return Refusal::new(RefusalKind::NoUpstream, ran, message).retry_after(RETRY_STARTING);
    }
    let message = if has_key {
        "the bearer key belongs to no team: ask an operator for a valid key"
    } else {
        "no bearer key: send `Authorization: Bearer KEY`"
    };
    Refusal::new(RefusalKind::Unauthorized, ran, message)
}
