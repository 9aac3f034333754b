//! Finds the team of a call's bearer key and hands the call on.

use std::time::Duration;

use shallottide_types::call::ReplyEvent;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use crate::kernel::{Context, Name, Outbox, Service, names};
use crate::message::{CallPresented, Message, Reply};

/// When a caller may try again at a node that has just started.
const RETRY_STARTING: Duration = Duration::from_secs(1);

/// Turns presented keys into teams; refuses calls without a valid one.
#[derive(Debug, Default)]
pub struct AuthService;

impl Service for AuthService {
    fn name(&self) -> Name {
        names::AUTH
    }

    fn handle(&mut self, message: Message, cx: &Context, out: &mut Outbox) {
        let Message::CallPresented(CallPresented { key, mut call }) = message else {
            return;
        };
        let config = cx.config();
        let Some(team) = key.and_then(|key| config.team_keys.get(&key)) else {
            let event = ReplyEvent::Fail(refusal(key.is_some(), config.teams.is_empty()));
            let reply_to = call.reply_to;
            out.send(names::FRONT, Reply { reply_to, event });
            return;
        };
        call.head.team = team.clone();
        out.send(names::CALLS, call);
    }
}

fn refusal(has_key: bool, is_starting: bool) -> Refusal {
    if is_starting {
        let message = "this node has no records yet: retry, or call another node";
        return Refusal::new(RefusalKind::NoUpstream, Ran::No, message).retry_after(RETRY_STARTING);
    }
    let message = if has_key {
        "the bearer key belongs to no team: ask an operator for a valid key"
    } else {
        "no bearer key: send `Authorization: Bearer KEY`"
    };
    Refusal::new(RefusalKind::Unauthorized, Ran::No, message)
}
