//! Registration of this node at the platform, and listing of the other nodes.

use std::time::{Duration, Instant};

use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{Entry, Listing, Precondition, SwapOutcome};

use super::MemberOptions;
use crate::config::Backoff;
use crate::kernel::{Outbox, names};
use crate::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};

/// Key prefix of all node entries in the platform.
pub(super) const NODES_PREFIX: &str = "nodes/";

/// Time after which an unanswered platform call counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The next platform call.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// Read this node's own key.
    Read,
    /// Write this node's own key.
    Write(Precondition),
    /// List all nodes.
    List,
    /// No call until another listing is requested.
    Done,
}

/// Registers this node once, then lists all nodes on request.
#[derive(Debug)]
pub(super) struct Registration {
    step: Step,
    backoff: Backoff,
    pending: Option<(u64, Instant)>,
    next_call_at: Option<Instant>,
    last_token: u64,
}

impl Registration {
    /// Creates a registration that has made no call yet.
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            step: Step::Read,
            backoff: Backoff::new(options.first_backoff, options.max_backoff, options.seed),
            pending: None,
            next_call_at: None,
            last_token: 0,
        }
    }

    /// Requests another listing, unless an earlier step is still outstanding.
    pub(super) fn request_listing(&mut self) {
        if self.step == Step::Done {
            self.step = Step::List;
        }
    }

    /// Starts the next platform call when one is due.
    pub(super) fn tick(&mut self, me: &NodeInfo, now: Instant, out: &mut Outbox) {
        if self.pending.is_some_and(|(_, expires)| now >= expires) {
            self.retry(now);
        }
        if self.pending.is_some() || self.next_call_at.is_some_and(|at| now < at) {
            return;
        }
        let op = match &self.step {
            Step::Read => PlatformOp::Get(own_key(me)),
            Step::Write(expect) => PlatformOp::Swap {
                key: own_key(me),
                value: own_value(me),
                expect: *expect,
            },
            Step::List => PlatformOp::List {
                prefix: NODES_PREFIX.into(),
                after: None,
                wait: Duration::ZERO,
            },
            Step::Done => return,
        };
        self.last_token += 1;
        self.pending = Some((self.last_token, now + CALL_TIMEOUT));
        let request = PlatformRequest {
            reply_to: names::MEMBERS,
            token: self.last_token,
            op,
        };
        out.send(names::PLATFORM, request);
    }

    /// Removes a node's entry, unless it was changed since it was listed.
    ///
    /// The result is ignored: an entry that remains is removed after a later listing.
    pub(super) fn remove(&mut self, entry: &Entry, out: &mut Outbox) {
        self.last_token += 1;
        let request = PlatformRequest {
            reply_to: names::MEMBERS,
            token: self.last_token,
            op: PlatformOp::Remove {
                key: entry.key.clone(),
                expect: entry.index,
            },
        };
        out.send(names::PLATFORM, request);
    }

    /// Handles the reply to a call; returns the listing if the call was one.
    pub(super) fn handle_reply(
        &mut self,
        reply: PlatformReply,
        me: &NodeInfo,
        now: Instant,
    ) -> Option<Listing> {
        if self.pending.is_none_or(|(token, _)| token != reply.token) {
            return None;
        }
        self.pending = None;
        match reply.result {
            Ok(PlatformAnswer::Entry(entry)) => self.step = step_after_read(entry, me),
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => self.step = Step::List,
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => self.step = Step::Read,
            Ok(PlatformAnswer::Listing(listing)) => {
                self.step = Step::Done;
                self.backoff.reset();
                return Some(listing);
            }
            Ok(other) => tracing::error!(?other, "unexpected answer from the platform"),
            Err(error) => {
                tracing::warn!(%error, "node could not be registered or listed");
                self.retry(now);
            }
        }
        None
    }

    /// Schedules a retry after a back-off.
    ///
    /// A write whose answer may be lost is read back first.
    fn retry(&mut self, now: Instant) {
        self.pending = None;
        self.next_call_at = Some(now + self.backoff.next_delay());
        if matches!(self.step, Step::Write(_)) {
            self.step = Step::Read;
        }
    }
}

fn step_after_read(entry: Option<Entry>, me: &NodeInfo) -> Step {
    let Some(entry) = entry else {
        return Step::Write(Precondition::Absent);
    };
    match parse_node(&entry) {
        Some(stored) if stored.incarnation > me.incarnation => {
            tracing::error!(node = %me.node, "a later incarnation of this node is running: stop one of them");
            Step::List
        }
        Some(stored) if stored == *me => Step::List,
        _ => Step::Write(Precondition::Index(entry.index)),
    }
}

/// Parses a node's entry.
pub(super) fn parse_node(entry: &Entry) -> Option<NodeInfo> {
    serde_json::from_slice(&entry.value).ok()
}

fn own_key(me: &NodeInfo) -> String {
    format!("{NODES_PREFIX}{}/{}", me.domain, me.node)
}

fn own_value(me: &NodeInfo) -> Vec<u8> {
    serde_json::to_vec(me).expect("a node's info is plain data")
}
