//! This node's reads of the records at the platform.

use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::platform::Listing;
use shallottide_types::record::Document;

use super::ConfigOptions;
use super::backoff::Backoff;
use crate::kernel::{Outbox, names};
use crate::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};

/// Keeps at most one read of the records waiting at the platform.
#[derive(Debug)]
pub(super) struct PlatformWatch {
    backoff: Backoff,
    pending: Option<Pending>,
    next_at: Option<Instant>,
    last_token: u64,
}

/// A read whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct Pending {
    token: u64,
    started: Instant,
    expires: Instant,
}

impl PlatformWatch {
    /// Creates a watch that reads nothing yet.
    pub(super) fn new(options: &ConfigOptions) -> Self {
        Self {
            backoff: Backoff::new(options.first_backoff, options.max_backoff, options.seed),
            pending: None,
            next_at: None,
            last_token: 0,
        }
    }

    /// Tells whether a read may start now. A read without an answer counts as failed at last.
    pub(super) fn is_free(&mut self, now: Instant) -> bool {
        if self.pending.is_some_and(|pending| now >= pending.expires) {
            self.fail(now);
        }
        self.pending.is_none() && self.next_at.is_none_or(|at| now >= at)
    }

    /// Starts a read that waits at the platform for a change past `after`.
    pub(super) fn start(
        &mut self,
        after: Option<StoreIndex>,
        wait: Duration,
        expires: Instant,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.last_token += 1;
        self.pending = Some(Pending {
            token: self.last_token,
            started: now,
            expires,
        });
        let request = PlatformRequest {
            reply_to: names::CONFIG,
            token: self.last_token,
            op: PlatformOp::List {
                prefix: Document::KEY_PREFIX.into(),
                after,
                wait,
            },
        };
        out.send(names::PLATFORM, request);
    }

    /// Takes a read's result. The listing of a read given up long ago is good all the same:
    /// the store tells by its index whether it is news.
    pub(super) fn finish(
        &mut self,
        reply: PlatformReply,
        pause: Duration,
        now: Instant,
    ) -> Option<Listing> {
        let awaited = self.pending.filter(|pending| pending.token == reply.token);
        match reply.result {
            Ok(PlatformAnswer::Listing(listing)) => {
                if let Some(pending) = awaited {
                    self.pending = None;
                    self.next_at = Some(pending.started + pause);
                    self.backoff.reset();
                }
                Some(listing)
            }
            Ok(other) => {
                tracing::error!(?other, "platform answered a listing with something else");
                None
            }
            Err(error) => {
                if awaited.is_some() {
                    tracing::warn!(%error, "records could not be read from the platform");
                    self.fail(now);
                }
                None
            }
        }
    }

    fn fail(&mut self, now: Instant) {
        self.pending = None;
        self.next_at = Some(now + self.backoff.next_wait());
    }
}
