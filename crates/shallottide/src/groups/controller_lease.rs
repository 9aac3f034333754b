//! The lease of the one node that changes a failure domain's placement.

use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::platform::PlatformError;

use super::GroupOptions;
use crate::message::{PlatformAnswer, PlatformOp};

/// Keeps a session and acquires the controller lease with it.
///
/// Invariant: [`held_until`](Self::held_until) never lies later than `lease_margin` before
/// the platform lets the session lapse, because it counts from before the request was sent.
#[derive(Debug)]
pub(super) struct ControllerLease {
    key: String,
    /// Written under the key, so that operators see who holds the lease.
    holder: NodeId,
    ttl: Duration,
    margin: Duration,
    renew_every: Duration,
    session: Option<Session>,
    pending: Option<Pending>,
    next_step: Option<Instant>,
}

#[derive(Debug)]
struct Session {
    id: String,
    /// When the request that last renewed it was sent.
    renewed_at: Instant,
    /// When the platform's yes to the lease was read.
    acquired_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Open,
    Renew,
    Acquire,
}

#[derive(Debug)]
struct Pending {
    step: Step,
    sent_at: Instant,
}

impl ControllerLease {
    pub(super) fn new(domain: &DomainId, me: &NodeId, options: &GroupOptions) -> Self {
        Self {
            holder: me.clone(),
            key: format!("lease/{domain}/controller"),
            ttl: options.lease_ttl,
            margin: options.lease_margin,
            renew_every: options.lease_renew_every,
            session: None,
            pending: None,
            next_step: None,
        }
    }

    /// Returns until when this node may act as the controller.
    pub(super) fn held_until(&self, now: Instant) -> Option<Instant> {
        let session = self
            .session
            .as_ref()
            .filter(|session| session.acquired_at.is_some())?;
        let until = session.renewed_at + self.ttl.saturating_sub(self.margin);
        (now < until).then_some(until)
    }

    /// Returns the next platform call when one is due.
    pub(super) fn next_op(&mut self, candidate: bool, now: Instant) -> Option<PlatformOp> {
        self.drop_lapsed(now);
        let holds = self.held_until(now).is_some();
        let due = self.next_step.is_none_or(|at| now >= at);
        if self.pending.is_some() || !due || !(candidate || holds) {
            return None;
        }
        let (step, op) = self.choose(now);
        self.pending = Some(Pending { step, sent_at: now });
        Some(op)
    }

    fn choose(&self, now: Instant) -> (Step, PlatformOp) {
        let Some(session) = &self.session else {
            return (Step::Open, PlatformOp::OpenSession(self.ttl));
        };
        if now.saturating_duration_since(session.renewed_at) >= self.renew_every {
            return (Step::Renew, PlatformOp::RenewSession(session.id.clone()));
        }
        let acquire = PlatformOp::Acquire {
            key: self.key.clone(),
            value: self.holder.as_str().into(),
            session: session.id.clone(),
        };
        (Step::Acquire, acquire)
    }

    /// Forgets a session that the platform may have let lapse: its lease may be another's.
    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed =
            |session: &Session| now >= session.renewed_at + self.ttl.saturating_sub(self.margin);
        if self.session.as_ref().is_some_and(lapsed) {
            self.session = None;
        }
    }

    /// Takes the answer to the last call.
    pub(super) fn answered(&mut self, result: Result<PlatformAnswer, PlatformError>, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.next_step = Some(pending.sent_at + self.renew_every);
        match (pending.step, result) {
            (Step::Open, Ok(PlatformAnswer::Session(id))) => {
                self.session = Some(Session {
                    id,
                    renewed_at: pending.sent_at,
                    acquired_at: None,
                });
                self.next_step = Some(now);
            }
            (Step::Renew, Ok(PlatformAnswer::Done(true))) => self.renewed(pending.sent_at, now),
            (Step::Renew, Ok(PlatformAnswer::Done(false))) => self.session = None,
            (Step::Acquire, Ok(PlatformAnswer::Done(acquired))) => self.acquired(acquired, now),
            _ => {}
        }
        self.drop_lapsed(now);
    }

    fn renewed(&mut self, sent_at: Instant, now: Instant) {
        if let Some(session) = &mut self.session {
            session.renewed_at = sent_at;
            if session.acquired_at.is_none() {
                self.next_step = Some(now);
            }
        }
    }

    fn acquired(&mut self, acquired: bool, now: Instant) {
        if let Some(session) = &mut self.session {
            let since = session.acquired_at.unwrap_or(now);
            session.acquired_at = acquired.then_some(since);
        }
    }

    /// Returns since when this node holds the lease without a break.
    pub(super) fn held_since(&self) -> Option<Instant> {
        self.session.as_ref()?.acquired_at
    }

    /// Gives the lease back; returns the platform call to send.
    pub(super) fn release(&mut self) -> Option<PlatformOp> {
        let session = self.session.take()?;
        session.acquired_at?;
        Some(PlatformOp::Release {
            key: self.key.clone(),
            session: session.id,
        })
    }
}
