//! The platform's key-value service as far as the two services use it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide::kernel::Name;
use shallottide::message::{PlatformAnswer, PlatformOp, PlatformReply, PlatformRequest};
use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::platform::{Entry, Listing, PlatformError, Precondition, SwapOutcome};

/// Whether a failure domain reaches the platform.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Reach {
    Up,
    Down,
    /// Calls get no answer.
    Silent,
}

/// A watch that waits for a change.
struct Waiting {
    node: usize,
    domain: DomainId,
    reply_to: Name,
    token: u64,
    prefix: String,
    after: StoreIndex,
    until: Instant,
}

/// The platform.
#[derive(Default)]
pub(crate) struct FakePlatform {
    pub(crate) calls: usize,
    pub(crate) reach: BTreeMap<DomainId, Reach>,
    /// Nodes that alone don't reach the platform.
    pub(crate) cut: BTreeSet<usize>,
    /// Counts the reads of records by this node.
    pub(crate) record_reads_of: Option<usize>,
    pub(crate) record_reads: usize,
    /// Loses the answers of writes, which take effect.
    pub(crate) lose_answers: bool,
    /// Answers listings from an old state instead of the present one.
    pub(crate) stale: Option<Listing>,
    index: u64,
    entries: BTreeMap<String, Entry>,
    waiting: Vec<Waiting>,
}

impl FakePlatform {
    /// Writes a value whatever is stored.
    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>) -> StoreIndex {
        self.index += 1;
        let entry = Entry {
            key: key.into(),
            value,
            index: StoreIndex(self.index),
            session: None,
        };
        self.entries.insert(key.into(), entry);
        StoreIndex(self.index)
    }

    /// Writes an upstream record of schema 2 whose full limit tells its version.
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
            index: StoreIndex(self.index),
            entries: entries
                .filter(|e| e.key.starts_with(prefix))
                .cloned()
                .collect(),
        }
    }

    /// Takes a call; `None` when it is answered later or never.
    pub(crate) fn call(
        &mut self,
        node: usize,
        domain: &DomainId,
        request: PlatformRequest,
        now: Instant,
    ) -> Option<PlatformReply> {
        self.calls += 1;
        let reads = matches!(&request.op, PlatformOp::List { prefix, .. } if prefix == "records/");
        self.record_reads += usize::from(reads && self.record_reads_of == Some(node));
        let token = request.token;
        let reach = self.reach.get(domain).copied().unwrap_or(Reach::Up);
        match reach {
            Reach::Up if self.cut.contains(&node) => return None,
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
            } if self.stale.is_none() && wait > Duration::ZERO && self.index <= after.0 => {
                self.waiting.push(Waiting {
                    node,
                    domain: domain.clone(),
                    reply_to: request.reply_to,
                    token,
                    prefix,
                    after,
                    until: now + wait,
                });
                return None;
            }
            PlatformOp::List { prefix, .. } => PlatformAnswer::Listing(
                self.stale
                    .clone()
                    .filter(|_| prefix == "records/")
                    .unwrap_or_else(|| self.listing(&prefix)),
            ),
            PlatformOp::Get(key) => PlatformAnswer::Entry(self.entries.get(&key).cloned()),
            PlatformOp::Swap { key, value, expect } => {
                let fits = self.fits(&key, expect);
                if fits {
                    self.put(&key, value);
                }
                if self.lose_answers {
                    return None;
                }
                PlatformAnswer::Swap(outcome(fits))
            }
            PlatformOp::Remove { key, expect } => {
                let fits = self.fits(&key, Precondition::Index(expect));
                if fits {
                    self.delete(&key);
                }
                PlatformAnswer::Swap(outcome(fits))
            }
            other => panic!("unexpected call {other:?}"),
        };
        let result = Ok(answer);
        Some(PlatformReply { token, result })
    }

    /// Returns the answers of watches that end now.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(usize, Name, PlatformReply)> {
        let index = self.index;
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.until <= now || w.after.0 < index);
        self.waiting = waiting;
        let due: Vec<Waiting> = due;
        due.into_iter()
            // Whoever is cut off while it waits gets no answer.
            .filter(|w| !self.cut.contains(&w.node))
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

    fn fits(&self, key: &str, expect: Precondition) -> bool {
        let held = self.entries.get(key).map(|entry| entry.index);
        held == match expect {
            Precondition::Absent => None,
            Precondition::Index(index) => Some(index),
        }
    }
}

fn outcome(fits: bool) -> SwapOutcome {
    if fits {
        SwapOutcome::Written
    } else {
        SwapOutcome::Conflict
    }
}

/// Returns an upstream record of schema 2.
pub(crate) fn upstream_json(id: &str, limit: u32) -> String {
    format!(
        r#"{{"kind":"upstream","schema":2,"id":"{id}","address":"10.0.0.1:80",
        "failure_domain":"domain-0","service":"tally-core","cold_limit":1,"full_limit":{limit}}}"#
    )
}
