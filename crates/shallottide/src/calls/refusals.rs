//! Refusals created by the calls service.

use std::time::Duration;

use shallottide_types::peer::{ClaimAnswer, ClaimEnd};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::attempt::Attempt;
use super::call::{Call, Claim};
use crate::message::AttemptFailure;

/// Creates a refusal of a call that did not run and may be retried after `wait`.
pub(super) fn not_run(kind: RefusalKind, message: &str, wait: Duration) -> Refusal {
    Refusal::new(kind, Ran::No, message).retry_after(wait)
}

/// Creates a refusal of a call that did not run and whose retry would be refused as well.
pub(super) fn rejected(kind: RefusalKind, message: &str) -> Refusal {
    Refusal::new(kind, Ran::No, message)
}

/// Returns whether a refusal concerns a single upstream or node, so that another one may succeed.
pub(super) fn is_about_upstream(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::Overloaded
            | RefusalKind::NoUpstream
            | RefusalKind::Stopping
            | RefusalKind::UpstreamFailed
            | RefusalKind::Internal
    )
}

/// Converts the failure of an attempt to a refusal that says whether the call ran.
///
/// Once an upstream has started to answer, no failure proves that the call did not run.
pub(super) fn from_failure(failure: AttemptFailure, attempt: &Attempt) -> Refusal {
    let mut refusal = match failure {
        AttemptFailure::NotSent(why) => Refusal::new(
            RefusalKind::NoUpstream,
            Ran::No,
            format!("the upstream can't be reached ({why}): retry later"),
        ),
        AttemptFailure::NotRun(why) => Refusal::new(
            RefusalKind::Overloaded,
            Ran::No,
            format!("the upstream refused before running ({why}): retry later"),
        ),
        AttemptFailure::Lost(why) => Refusal::new(
            RefusalKind::UpstreamFailed,
            Ran::Unknown,
            format!("the answer was lost ({why}): retry if the call may run twice"),
        ),
        AttemptFailure::Refused(refusal) => refusal,
    };
    if attempt.answer_started {
        refusal.ran = refusal.ran.max(Ran::Unknown);
    }
    refusal
}

/// Marks a refusal as made before the call's key was checked.
///
/// This request did not run, but an earlier one with the same key may have, and callers consider
/// both the same call.
pub(super) fn with_unchecked_key(mut refusal: Refusal) -> Refusal {
    refusal.ran = refusal.ran.max(Ran::Unknown);
    refusal.message.push_str(
        "; this request did not run, an earlier one with its key may have: \
         retry with the same key",
    );
    refusal
}

/// Returns the refusal to report for a call, with the highest [`Ran`] over all its attempts.
pub(super) fn final_refusal(call: &Call, mut refusal: Refusal) -> Refusal {
    refusal.ran = refusal.ran.max(call.ran);
    if matches!(call.claim, Claim::Waiting(_)) {
        return with_unchecked_key(refusal);
    }
    let claimed = matches!(call.claim, Claim::Held(_));
    if claimed && refusal.ran != Ran::No {
        refusal.kind = RefusalKind::OutcomeUnknown;
        refusal.message = format!(
            "the call was sent once and its outcome was lost; it is not sent again ({})",
            refusal.message
        );
    }
    refusal
}

/// Converts the answer of a claim that was not granted to a refusal.
///
/// Not for a recorded answer, which is sent to the caller instead.
pub(super) fn from_claim_answer(answer: &ClaimAnswer, wait: Duration) -> Refusal {
    let (kind, ran, message) = match answer {
        ClaimAnswer::Running => (
            RefusalKind::Running,
            Ran::Unknown,
            "the same call is running: retry with the same key for its outcome",
        ),
        ClaimAnswer::Ended(ClaimEnd::Ran { .. }) => (
            RefusalKind::OutcomeUnknown,
            Ran::Yes,
            "the call ran; its answer was too large to be kept",
        ),
        ClaimAnswer::Ended(_) => (
            RefusalKind::OutcomeUnknown,
            Ran::Unknown,
            "the call was sent once and its outcome was lost; it is not sent again",
        ),
        ClaimAnswer::DifferentBody => (
            RefusalKind::KeyReused,
            Ran::No,
            "the key was used for another call: use a new key for each call",
        ),
        ClaimAnswer::Expired => (
            RefusalKind::KeyExpired,
            Ran::Unknown,
            "the key was used before and its outcome is no longer kept: use a new key",
        ),
        ClaimAnswer::UnknownTicket => (
            RefusalKind::BadRequest,
            Ran::No,
            "the ticket was not minted for this team: fetch one by POST /tickets",
        ),
        ClaimAnswer::MinterUnreachable => (
            RefusalKind::MinterUnreachable,
            Ran::Unknown,
            "the entry VM that minted the ticket gave no answer; this request did not run, an \
             earlier one with its ticket may have: retry with the same ticket",
        ),
        ClaimAnswer::NotClaimed | ClaimAnswer::Unknown | ClaimAnswer::Granted => (
            RefusalKind::PlatformDown,
            Ran::Unknown,
            "the key can't be claimed now; this request did not run, an earlier one with its \
             key may have: retry with the same key",
        ),
    };
    let refusal = Refusal::new(kind, ran, message);
    match kind {
        RefusalKind::Running | RefusalKind::PlatformDown | RefusalKind::MinterUnreachable => {
            refusal.retry_after(wait)
        }
        _ => refusal,
    }
}
