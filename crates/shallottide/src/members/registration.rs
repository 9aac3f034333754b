//! Where this node is, written to the platform, and where the others are, read from it.

use std::time::{Duration, Instant};

use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::{Entry, Listing, Precondition, SwapOutcome};

use super::MemberOptions;
use crate::config::Backoff;
use crate::kernel::{Outbox, names};
use crate::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};

/// Prefix of all nodes' keys in the platform.
pub(super) const NODES_PREFIX: &str = "nodes/";

/// How long a platform call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The next thing to do at the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    /// Read this node's own key.
    Read,
    /// Write this node's own key.
    Write(Precondition),
    /// List all nodes.
    List,
    /// Nothing until a listing is wanted again.
    Done,
}

/// Registers this node once, then lists all nodes when that is wanted.
#[derive(Debug)]
pub(super) struct Registration {
    step: Step,
    backoff: Backoff,
    pending: Option<(u64, Instant)>,
    next_at: Option<Instant>,
    last_token: u64,
}

impl Registration {
    /// Creates a registration that has not begun.
    pub(super) fn new(options: &MemberOptions) -> Self {
        Self {
            step: Step::Read,
            backoff: Backoff::new(options.first_backoff, options.max_backoff, options.seed),
            pending: None,
            next_at: None,
            last_token: 0,
        }
    }

    /// Asks for another listing, unless something is still to do.
    pub(super) fn list_again(&mut self) {
        if self.step == Step::Done {
            self.step = Step::List;
        }
    }

    /// Starts the next platform call when one is due.
    pub(super) fn tick(&mut self, me: &NodeInfo, now: Instant, out: &mut Outbox) {
        if self.pending.is_some_and(|(_, expires)| now >= expires) {
            self.retry(now);
        }
        if self.pending.is_some() || self.next_at.is_some_and(|at| now < at) {
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

    /// Removes a node's entry, unless it was changed since. Its result doesn't matter: what is
    /// left is removed after a later listing.
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

    /// Takes a call's result; returns the listing when it was one.
    pub(super) fn finish(
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
            Ok(PlatformAnswer::Entry(entry)) => self.step = after_read(entry, me),
            Ok(PlatformAnswer::Swap(SwapOutcome::Written)) => self.step = Step::List,
            Ok(PlatformAnswer::Swap(SwapOutcome::Conflict)) => self.step = Step::Read,
            Ok(PlatformAnswer::Listing(listing)) => {
                self.step = Step::Done;
                self.backoff.reset();
                return Some(listing);
            }
            Ok(other) => tracing::error!(?other, "platform answered something else"),
            Err(error) => {
                tracing::warn!(%error, "node could not be registered or listed");
                self.retry(now);
            }
        }
        None
    }

    /// Tries again later. A write whose answer may be lost is read back first.
    fn retry(&mut self, now: Instant) {
        self.pending = None;
        self.next_at = Some(now + self.backoff.next_wait());
        if matches!(self.step, Step::Write(_)) {
            self.step = Step::Read;
        }
    }
}

fn after_read(entry: Option<Entry>, me: &NodeInfo) -> Step {
    let Some(entry) = entry else {
        return Step::Write(Precondition::Absent);
    };
    match read_node(&entry) {
        Some(stored) if stored.incarnation > me.incarnation => {
            tracing::error!(node = %me.node, "a later start of this node runs: stop one of them");
            Step::List
        }
        Some(stored) if stored == *me => Step::List,
        _ => Step::Write(Precondition::Index(entry.index)),
    }
}

/// Reads a node's entry.
pub(super) fn read_node(entry: &Entry) -> Option<NodeInfo> {
    serde_json::from_slice(&entry.value).ok()
}

fn own_key(me: &NodeInfo) -> String {
    format!("{NODES_PREFIX}{}/{}", me.domain, me.node)
}

fn own_value(me: &NodeInfo) -> Vec<u8> {
    serde_json::to_vec(me).expect("a node's info is plain data")
}
