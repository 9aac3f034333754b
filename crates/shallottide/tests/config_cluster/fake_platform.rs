//! Simulated platform: the part of the key-value service that the config and members services use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide::kernel::Name;
use shallottide::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};
use shallottide_types::id::{DomainId, StoreEra, StoreIndex};
use shallottide_types::platform::{Entry, Listing, PlatformError, Precondition, SwapOutcome};

/// Whether a failure domain reaches the platform.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Reach {
    Up,
    Down,
    /// Calls are never answered.
    Silent,
}

/// A list operation that waits for a change.
struct PendingWatch {
    node: usize,
    domain: DomainId,
    reply_to: Name,
    token: u64,
    prefix: String,
    after: StoreIndex,
    expires: Instant,
}

/// The simulated platform, with faults that tests set.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) call_count: usize,
    /// Reachability by failure domain; [`Reach::Up`] if absent.
    pub(crate) reach: BTreeMap<DomainId, Reach>,
    /// Nodes whose calls are never answered, whatever the state of their failure domain.
    pub(crate) cut_off_nodes: BTreeSet<usize>,
    /// Node whose reads of records are counted.
    pub(crate) counted_reader: Option<usize>,
    /// Number of reads of records by `counted_reader`.
    pub(crate) record_reads: usize,
    /// Whether the answers of swaps are lost, although the writes take effect.
    pub(crate) lose_answers: bool,
    /// Returned by list operations of records instead of the current state.
    pub(crate) stale_listing: Option<Listing>,
    /// Number of restores.
    era: StoreEra,
    index: u64,
    entries: BTreeMap<String, Entry>,
    pending_watches: Vec<PendingWatch>,
}

/// A copy of what the platform stores.
pub(crate) struct PlatformCopy {
    index: u64,
    entries: BTreeMap<String, Entry>,
}

impl FakePlatform {
    pub(crate) fn copy(&self) -> PlatformCopy {
        PlatformCopy {
            index: self.index,
            entries: self.entries.clone(),
        }
    }

    /// Restores the platform from a copy: later writes are lost, and their indexes are given out again.
    pub(crate) fn restore(&mut self, copy: PlatformCopy) {
        self.era = self.era.next();
        self.index = copy.index;
        self.entries = copy.entries;
        for entry in self.entries.values_mut() {
            entry.index = StoreIndex::new(self.era, entry.index.revision());
        }
    }

    fn position(&self) -> StoreIndex {
        StoreIndex::new(self.era, self.index)
    }

    /// Writes a value unconditionally.
    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>) -> StoreIndex {
        self.index += 1;
        let entry = Entry {
            key: key.into(),
            value,
            index: self.position(),
            session: None,
        };
        self.entries.insert(key.into(), entry);
        self.position()
    }

    /// Writes an upstream record of schema 2; tests use its full limit as its version.
    pub(crate) fn put_upstream(&mut self, id: &str, limit: u32) -> StoreIndex {
        let json = upstream_json(id, limit);
        self.put(&format!("records/upstream/{id}"), json.into_bytes())
    }

    pub(crate) fn delete(&mut self, key: &str) {
        self.index += 1;
        self.entries.remove(key);
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(crate) fn listing(&self, prefix: &str) -> Listing {
        let entries = self.entries.values();
        Listing {
            index: self.position(),
            entries: entries
                .filter(|e| e.key.starts_with(prefix))
                .cloned()
                .collect(),
        }
    }

    /// Performs a call; returns `None` if it is answered later or never.
    pub(crate) fn call(
        &mut self,
        node: usize,
        domain: &DomainId,
        request: PlatformRequest,
        now: Instant,
    ) -> Option<PlatformReply> {
        self.call_count += 1;
        let reads_records =
            matches!(&request.op, PlatformOp::List { prefix, .. } if prefix == "records/");
        self.record_reads += usize::from(reads_records && self.counted_reader == Some(node));
        let token = request.token;
        let reach = self.reach.get(domain).copied().unwrap_or(Reach::Up);
        match reach {
            Reach::Up if self.cut_off_nodes.contains(&node) => return None,
            Reach::Up => {}
            Reach::Silent => return None,
            Reach::Down => {
                let result = Err(PlatformError::Unreachable {
                    address: "platform".into(),
                    reason: "refused".into(),
                });
                return Some(PlatformReply { token, result });
            }
        }
        let answer = match request.op {
            PlatformOp::List {
                prefix,
                after: Some(after),
                wait,
            } if self.stale_listing.is_none()
                && wait > Duration::ZERO
                && self.position() <= after =>
            {
                self.pending_watches.push(PendingWatch {
                    node,
                    domain: domain.clone(),
                    reply_to: request.reply_to,
                    token,
                    prefix,
                    after,
                    expires: now + wait,
                });
                return None;
            }
            PlatformOp::List { prefix, .. } => PlatformAnswer::Listing(
                self.stale_listing
                    .clone()
                    .filter(|_| prefix == "records/")
                    .unwrap_or_else(|| self.listing(&prefix)),
            ),
            PlatformOp::Get(key) => PlatformAnswer::Entry(self.entries.get(&key).cloned()),
            PlatformOp::Swap { key, value, expect } => {
                let holds = self.precondition_holds(&key, expect);
                if holds {
                    self.put(&key, value);
                }
                if self.lose_answers {
                    return None;
                }
                PlatformAnswer::Swap(swap_outcome(holds))
            }
            PlatformOp::Remove { key, expect } => {
                let holds = self.precondition_holds(&key, Precondition::Index(expect));
                if holds {
                    self.delete(&key);
                }
                PlatformAnswer::Swap(swap_outcome(holds))
            }
            other => panic!("unexpected call {other:?}"),
        };
        let result = Ok(answer);
        Some(PlatformReply { token, result })
    }

    /// Removes the watches that expired or saw a change and returns their replies.
    pub(crate) fn take_due_replies(&mut self, now: Instant) -> Vec<(usize, Name, PlatformReply)> {
        let index = self.position();
        let (due, pending) = std::mem::take(&mut self.pending_watches)
            .into_iter()
            .partition(|w| w.expires <= now || w.after < index);
        self.pending_watches = pending;
        let due: Vec<PendingWatch> = due;
        due.into_iter()
            // A node that was cut off while its watch was pending gets no answer.
            .filter(|w| !self.cut_off_nodes.contains(&w.node))
            .filter(|w| self.reach.get(&w.domain).copied().unwrap_or(Reach::Up) == Reach::Up)
            .map(|w| {
                let result = Ok(PlatformAnswer::Listing(self.listing(&w.prefix)));
                (
                    w.node,
                    w.reply_to,
                    PlatformReply {
                        token: w.token,
                        result,
                    },
                )
            })
            .collect()
    }

    fn precondition_holds(&self, key: &str, expect: Precondition) -> bool {
        let stored_index = self.entries.get(key).map(|entry| entry.index);
        stored_index
            == match expect {
                Precondition::Absent => None,
                Precondition::Index(index) => Some(index),
            }
    }
}

fn swap_outcome(holds: bool) -> SwapOutcome {
    if holds {
        SwapOutcome::Written
    } else {
        SwapOutcome::Conflict
    }
}

/// Returns an upstream record of schema 2 as JSON.
pub(crate) fn upstream_json(id: &str, limit: u32) -> String {
    format!(
        r#"{{"kind":"upstream","schema":2,"id":"{id}","address":"10.0.0.1:80",
        "failure_domain":"domain-0","service":"tally-core","cold_limit":1,"full_limit":{limit}}}"#
    )
}
