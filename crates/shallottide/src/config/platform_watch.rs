//! Reads of the configuration records at the platform.

use std::time::{Duration, Instant};

use shallottide_types::id::StoreIndex;
use shallottide_types::platform::Listing;
use shallottide_types::record::Document;

use super::ConfigOptions;
use super::backoff::Backoff;
use crate::kernel::{Outbox, names};
use crate::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};

/// Runs at most one read of the records at a time, with back-off after failures.
#[derive(Debug)]
pub(super) struct PlatformWatch {
    backoff: Backoff,
    pending: Option<Pending>,
    /// Earliest start of the next read.
    next_start: Option<Instant>,
    last_token: u64,
}

/// A read that has not been answered yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    token: u64,
    started: Instant,
    expires: Instant,
}

impl PlatformWatch {
    /// Creates a watch without a read in progress.
    pub(super) fn new(options: &ConfigOptions) -> Self {
        Self {
            backoff: Backoff::new(options.first_backoff, options.max_backoff, options.seed),
            pending: None,
            next_start: None,
            last_token: 0,
        }
    }

    /// Returns whether a read may start now. Records a failure if the pending read has expired.
    pub(super) fn can_start(&mut self, now: Instant) -> bool {
        if self.pending.is_some_and(|pending| now >= pending.expires) {
            self.record_failure(now);
        }
        self.pending.is_none() && self.next_start.is_none_or(|at| now >= at)
    }

    /// Starts a read that waits at the platform for a change newer than `after`. It counts as failed
    /// if it is not answered by `expires`.
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

    /// Handles the result of a read and returns its listing.
    ///
    /// The listing of an expired read is returned as well: the record store decides by its index
    /// whether it is newer.
    pub(super) fn handle_reply(
        &mut self,
        reply: PlatformReply,
        interval: Duration,
        now: Instant,
    ) -> Option<Listing> {
        let pending_read = self.pending.filter(|pending| pending.token == reply.token);
        match reply.result {
            Ok(PlatformAnswer::Listing(listing)) => {
                if let Some(pending) = pending_read {
                    self.pending = None;
                    self.next_start = Some(pending.started + interval);
                    self.backoff.reset();
                }
                Some(listing)
            }
            Ok(other) => {
                tracing::error!(
                    ?other,
                    "platform answered a list operation with the result of another operation"
                );
                None
            }
            Err(error) => {
                if pending_read.is_some() {
                    tracing::warn!(%error, "records could not be read from the platform");
                    self.record_failure(now);
                }
                None
            }
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.pending = None;
        self.next_start = Some(now + self.backoff.next_delay());
    }
}
