//! Requests for claims and their answers.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use shallottide_types::call::{ReplyEvent, ReplyHead, Target};
use shallottide_types::id::{CallDigest, IdempotencyKey, TeamId};
use shallottide_types::peer::{ClaimAnswer, ClaimEnd, ClaimId};
use shallottide_types::refusal::Ran;
use shallottide_types::ticket::Ticket;

use super::CallService;
use super::call::{Call, Claim};
use super::call_service::reply;
use super::refusals;
use crate::kernel::{Context, Outbox, names};
use crate::message::{ClaimReply, ClaimedCallEnded, RequestClaim};

/// Returns the claim id of a key: a hash of team and key, so that teams never share keys.
pub(crate) fn claim_id(team: &TeamId, key: &IdempotencyKey) -> ClaimId {
    let hash = hash_parts(&[team.as_str().as_bytes(), key.as_str().as_bytes()]);
    let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
    ClaimId(u128::from_be_bytes(*first))
}

/// Hashes the target, method, path and body of a call, by which a reused key is detected.
fn digest(call: &Call) -> u64 {
    let target = match &call.head.target {
        Target::Model(model) => model.as_str(),
        Target::Service(service) => service.as_str(),
    };
    let parts = [
        target.as_bytes(),
        call.head.method.as_bytes(),
        call.head.path.as_bytes(),
        &call.body,
    ];
    let hash = hash_parts(&parts);
    let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
    u64::from_be_bytes(*first)
}

/// Returns the digest of a call, which is the same each time that the call comes.
pub(super) fn call_digest(call: &Call) -> CallDigest {
    let team = call.head.team.as_str();
    let hash = hash_parts(&[team.as_bytes(), &digest(call).to_be_bytes()]);
    let (first, _) = hash.split_first_chunk().expect("SHA-256 has 32 bytes");
    CallDigest(u64::from_be_bytes(*first))
}

/// Hashes parts, each with a length prefix, so that different lists of parts are not confused.
fn hash_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Returns the key of a call if it is a ticket; malformed tickets were refused on arrival.
fn ticket_of(call: &Call) -> Option<Ticket> {
    let key = call.head.key.as_ref()?;
    Ticket::from_key(key).ok().flatten()
}

/// Requests the claim of a call.
pub(super) fn request_claim(call: &Call, claim: ClaimId, cx: &Context, out: &mut Outbox) {
    let request = RequestClaim {
        call: call.head.id.clone(),
        claim,
        digest: digest(call),
        time_left: call.time_left(cx.now()),
        ticket: ticket_of(call),
    };
    out.send(names::CLAIMS, request);
}

/// Reports the end of a call that holds or waits for a claim.
///
/// The claims service releases a claim that was not answered yet.
pub(super) fn report_claim_ended(call: &Call, end: ClaimEnd, out: &mut Outbox) {
    if let Claim::Waiting(claim) | Claim::Held(claim) = call.claim {
        let call = call.head.id.clone();
        out.send(names::CLAIMS, ClaimedCallEnded { call, claim, end });
    }
}

/// Reports the end of a call with a claim that was refused.
pub(super) fn report_claim_refused(call: &Call, ran: Ran, out: &mut Outbox) {
    let end = match ran {
        Ran::No => ClaimEnd::NotRun,
        Ran::Unknown | Ran::Yes => ClaimEnd::Unknown,
    };
    report_claim_ended(call, end, out);
}

/// Returns whether a call continues after its receiver disconnected.
///
/// A claimed call does, so that a retry gets its outcome.
pub(super) fn outlives_receiver(call: &Call) -> bool {
    matches!(call.claim, Claim::Held(_))
}

impl CallService {
    pub(super) fn on_claim_reply(
        &mut self,
        claim_reply: ClaimReply,
        cx: &Context,
        out: &mut Outbox,
    ) {
        let Some((number, mut call)) = self.calls.take_by_id(&claim_reply.call) else {
            return;
        };
        let claim = claim_reply.claim;
        if call.claim != Claim::Waiting(claim) {
            self.calls.put(number, call);
            return;
        }
        if claim_reply.answer != ClaimAnswer::Granted {
            self.answer_from_claim(call, claim_reply.answer, out);
            return;
        }
        call.claim = Claim::Held(claim);
        self.advance(number, call, cx, out);
    }

    /// Ends a call whose claim was not granted, with the recorded answer or a refusal.
    fn answer_from_claim(&self, mut call: Call, answer: ClaimAnswer, out: &mut Outbox) {
        if let ClaimAnswer::Ended(ClaimEnd::Ran {
            status,
            content_type,
            body: Some(body),
        }) = answer
        {
            let head = ReplyHead {
                status,
                content_type,
            };
            reply_recorded(&mut call, head, body, out);
            return;
        }
        let refusal = refusals::from_claim_answer(&answer, self.options.retry_after);
        reply(&mut call, ReplyEvent::Fail(refusal), out);
    }
}

fn reply_recorded(call: &mut Call, head: ReplyHead, body: Bytes, out: &mut Outbox) {
    reply(call, ReplyEvent::Head(head), out);
    if !body.is_empty() {
        reply(call, ReplyEvent::Data(body), out);
    }
    reply(call, ReplyEvent::End, out);
}
