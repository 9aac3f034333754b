//! The lease that allows one node to change a failure domain's placement.

use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::platform::PlatformError;

use super::GroupOptions;
use crate::message::{PlatformAnswer, PlatformOp};

/// Keeps a platform session alive and acquires the controller lease with it.
///
/// Invariant: [`held_until`](Self::held_until) is at least `lease_margin` before the platform
/// lets the session expire, because it is computed from the time just before the last renewal
/// request was sent.
#[derive(Debug)]
pub(super) struct ControllerLease {
    key: String,
    /// Node id written as the value of the key, so that operators can see the lease holder.
    holder: NodeId,
    ttl: Duration,
    safety_margin: Duration,
    renew_interval: Duration,
    session: Option<Session>,
    pending: Option<Pending>,
    next_call_at: Option<Instant>,
}

#[derive(Debug)]
struct Session {
    id: String,
    /// When the request of the last successful renewal was sent.
    renewed_at: Instant,
    /// When this node read the answer that granted the lease.
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
            safety_margin: options.lease_margin,
            renew_interval: options.lease_renew_interval,
            session: None,
            pending: None,
            next_call_at: None,
        }
    }

    /// Returns the time until which this node may act as the controller.
    pub(super) fn held_until(&self, now: Instant) -> Option<Instant> {
        let session = self
            .session
            .as_ref()
            .filter(|session| session.acquired_at.is_some())?;
        let until = session.renewed_at + self.ttl.saturating_sub(self.safety_margin);
        (now < until).then_some(until)
    }

    /// Returns the next platform call when one is due.
    pub(super) fn next_op(&mut self, is_candidate: bool, now: Instant) -> Option<PlatformOp> {
        self.drop_expired_session(now);
        let is_held = self.held_until(now).is_some();
        let due = self.next_call_at.is_none_or(|at| now >= at);
        if self.pending.is_some() || !due || !(is_candidate || is_held) {
            return None;
        }
        let (step, op) = self.next_call(now);
        self.pending = Some(Pending { step, sent_at: now });
        Some(op)
    }

    fn next_call(&self, now: Instant) -> (Step, PlatformOp) {
        let Some(session) = &self.session else {
            return (Step::Open, PlatformOp::OpenSession(self.ttl));
        };
        if now.saturating_duration_since(session.renewed_at) >= self.renew_interval {
            return (Step::Renew, PlatformOp::RenewSession(session.id.clone()));
        }
        let acquire = PlatformOp::Acquire {
            key: self.key.clone(),
            value: self.holder.as_str().into(),
            session: session.id.clone(),
        };
        (Step::Acquire, acquire)
    }

    /// Drops a session that may have expired at the platform: another node may hold its lease.
    fn drop_expired_session(&mut self, now: Instant) {
        let expired = |session: &Session| {
            now >= session.renewed_at + self.ttl.saturating_sub(self.safety_margin)
        };
        if self.session.as_ref().is_some_and(expired) {
            self.session = None;
        }
    }

    /// Handles the answer to the last call.
    pub(super) fn handle_answer(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
        now: Instant,
    ) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.next_call_at = Some(pending.sent_at + self.renew_interval);
        match (pending.step, result) {
            (Step::Open, Ok(PlatformAnswer::Session(id))) => {
                self.session = Some(Session {
                    id,
                    renewed_at: pending.sent_at,
                    acquired_at: None,
                });
                self.next_call_at = Some(now);
            }
            (Step::Renew, Ok(PlatformAnswer::Done(true))) => self.on_renewed(pending.sent_at, now),
            (Step::Renew, Ok(PlatformAnswer::Done(false))) => self.session = None,
            (Step::Acquire, Ok(PlatformAnswer::Done(acquired))) => self.on_acquired(acquired, now),
            _ => {}
        }
        self.drop_expired_session(now);
    }

    fn on_renewed(&mut self, sent_at: Instant, now: Instant) {
        if let Some(session) = &mut self.session {
            session.renewed_at = sent_at;
            if session.acquired_at.is_none() {
                self.next_call_at = Some(now);
            }
        }
    }

    fn on_acquired(&mut self, acquired: bool, now: Instant) {
        if let Some(session) = &mut self.session {
            let since = session.acquired_at.unwrap_or(now);
            session.acquired_at = acquired.then_some(since);
        }
    }

    /// Returns the time since which this node has held the lease without interruption.
    pub(super) fn held_since(&self) -> Option<Instant> {
        self.session.as_ref()?.acquired_at
    }

    /// Releases the lease; returns the platform call to send.
    pub(super) fn release(&mut self) -> Option<PlatformOp> {
        let session = self.session.take()?;
        session.acquired_at?;
        Some(PlatformOp::Release {
            key: self.key.clone(),
            session: session.id,
        })
    }
}
