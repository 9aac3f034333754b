//! Interrupted requests of which it is not clear whether their upstream ended or this node's links to it.
//!
//! Right after an interruption, the links tell the two apart if another upstream of the service is reached. If
//! none is, all may have ended, as those of a small service do on account of one request, or the links to them
//! are lost. The store tells later: an upstream that has ended comes back in another lifetime, or its entry goes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use shallottide_types::id::UpstreamId;

use crate::crash_evidence::Lifetime;
use crate::ended_request::{InterruptedRequest, KeptRequest};

/// Time for which an interruption stays undecided; upstreams that end are back within some seconds.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(15);
/// Most interruptions that are kept: the requests that a node has in flight at some upstreams.
const MAX_INTERRUPTIONS: usize = 256;
/// Time within which a node learns that an upstream has a new lifetime.
const VIEW_DELAY: Duration = Duration::from_secs(2);

/// What the store says of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It has an entry of this lifetime.
    Present(Lifetime),
    /// It has an entry of this lifetime, and is leaving.
    Leaving(Lifetime),
    /// It has no entry.
    Gone,
}

#[derive(Debug, Clone)]
pub(crate) struct Interrupted {
    pub(crate) request: KeptRequest,
    upstream: UpstreamId,
    /// When the request was interrupted.
    pub(crate) at: Instant,
    /// Time for which the upstream had written the answer.
    pub(crate) written: Duration,
    /// Whether the links show that the upstream ended.
    has_upstream_ended: bool,
    /// Whether it ran under the lifetime after the one that its node knew.
    is_of_next_lifetime: bool,
    /// When an upstream first answered another request under the same lifetime since.
    answered_at: Option<Instant>,
}

/// Interruptions that are not decided yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct UndecidedInterruptions {
    /// Ordered by when they were recorded.
    interruptions: VecDeque<Interrupted>,
}

impl UndecidedInterruptions {
    pub(crate) fn len(&self) -> usize {
        self.interruptions.len()
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = &KeptRequest> {
        self.interruptions
            .iter()
            .map(|interrupted| &interrupted.request)
    }

    /// Returns when requests were interrupted at a lifetime.
    pub(crate) fn times(&self, lifetime: Lifetime) -> impl Iterator<Item = Instant> {
        let of_lifetime = move |i: &&Interrupted| i.request.lifetime() == lifetime;
        let interruptions = self.interruptions.iter().filter(of_lifetime);
        interruptions.map(|interrupted| interrupted.at)
    }

    /// Keeps an interruption, in place of the oldest one if there are too many.
    ///
    /// `is_of_next_lifetime` if it ran under the lifetime after the one that its node knew.
    pub(crate) fn record(
        &mut self,
        interrupted: &InterruptedRequest<'_>,
        has_upstream_ended: bool,
        is_of_next_lifetime: bool,
        at: Instant,
    ) {
        if self.interruptions.len() >= MAX_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
        self.interruptions.push_back(Interrupted {
            request: interrupted.request.into(),
            upstream: interrupted.upstream.clone(),
            at,
            written: interrupted.written,
            has_upstream_ended,
            is_of_next_lifetime,
            answered_at: None,
        });
    }

    /// Records an answer under a lifetime. The view may not show yet that it is of the next one.
    pub(crate) fn record_answer(&mut self, lifetime: Lifetime, now: Instant) {
        let interruptions = self.interruptions.iter_mut();
        for interrupted in interruptions.filter(|i| i.request.lifetime() == lifetime) {
            interrupted.answered_at.get_or_insert(now);
        }
    }

    /// Removes the interruptions that are decided, and returns those by upstreams that ended.
    pub(crate) fn take_decided(
        &mut self,
        entry: impl Fn(&UpstreamId) -> EntryState,
        now: Instant,
    ) -> Vec<Interrupted> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut ended = Vec::new();
        self.interruptions.retain_mut(|interrupted| {
            let lifetime = interrupted.request.lifetime();
            let state = entry(&interrupted.upstream);
            if interrupted.is_of_next_lifetime
                && let EntryState::Present(current) | EntryState::Leaving(current) = state
                && current != lifetime
            {
                interrupted.is_of_next_lifetime = false;
                interrupted.request.set_lifetime(current);
                if interrupted.has_upstream_ended {
                    ended.push(interrupted.clone());
                    return false;
                }
                return true;
            }
            match state {
                EntryState::Present(current) if current == lifetime => {
                    let is_alive = interrupted
                        .answered_at
                        .is_some_and(|at| age(at) >= VIEW_DELAY);
                    !is_alive && age(interrupted.at) < MAX_WAIT
                }
                // It ends by itself.
                EntryState::Leaving(current) if current == lifetime => false,
                _ => {
                    ended.push(interrupted.clone());
                    false
                }
            }
        });
        ended
    }
}
