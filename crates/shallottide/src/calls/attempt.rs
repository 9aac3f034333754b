//! One attempt at running a call, here or at another node.

use std::time::{Duration, Instant};

use shallottide_types::id::AttemptId;

use crate::admission::RequestOutcome;
use crate::kernel::{Name, names};
use crate::routing::Route;

/// One attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) route: Route,
    pub(super) started: Instant,
    /// Time of the latest event.
    pub(super) last_event_at: Instant,
    pub(super) idle_timeout: Duration,
    /// Time from the start to the first part of the body.
    pub(super) first_byte: Option<Duration>,
    /// Whether the upstream started to answer; from then on the call may have run.
    pub(super) answer_started: bool,
    /// Whether a model engine answered with a server error.
    pub(super) server_error: bool,
}

impl Attempt {
    pub(super) fn new(
        id: AttemptId,
        route: Route,
        started: Instant,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            id,
            route,
            started,
            last_event_at: started,
            idle_timeout,
            first_byte: None,
            answer_started: false,
            server_error: false,
        }
    }

    /// Returns the adapter that runs the attempt.
    pub(super) fn adapter(&self) -> Name {
        match self.route {
            Route::Local { .. } => names::UPSTREAMS,
            Route::Peer { .. } | Route::Domain { .. } => names::PEERS,
        }
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_event_at) >= self.idle_timeout
    }

    /// Records that a part of the body arrived.
    pub(super) fn record_data(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.started);
        self.first_byte.get_or_insert(since);
    }

    pub(super) fn finished(&self, complete: bool) -> RequestOutcome {
        RequestOutcome {
            complete,
            started: self.started,
            first_byte: self.first_byte,
        }
    }
}
