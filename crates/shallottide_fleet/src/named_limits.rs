//! Limits on their requests that upstreams in need name in their answers.
//!
//! A limit holds over all nodes. Each node keeps to its share of it, without asking the others.
//! Nodes report what they heard from upstreams themselves, as one without a share hears nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use shallottide_types::id::NodeId;
use shallottide_types::rendezvous::{hash, weight};

use crate::crash_evidence::Lifetime;
use crate::request_rate::RequestRate;
use crate::send_window::{SendWindow, node_share};

/// Time for which a limit is divided into shares.
const SHARED_TIME: Duration = Duration::from_secs(4);
/// Window over which a node's requests are counted; longer, as requests are delayed on their way.
const WINDOW: Duration = Duration::from_millis(4_200);
/// Least time between two requests of a node, as a fraction of the mean time; less than one, so that
/// a request that comes late does not waste a part of the share.
const SPACING_FRACTION: f64 = 0.75;
/// Time after which a limit that no node hears of any more is dropped.
const LIMIT_LIFETIME: Duration = Duration::from_secs(15);
/// Time for which a node reports that an upstream named a limit, or no longer does.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Limits in one report; fits a datagram.
const MAX_REPORTED: usize = 60;

/// What an upstream said of its limit.
#[derive(Debug, Clone, Default)]
struct NamedLimit {
    /// `None` once the limit has ended.
    rate: Option<RequestRate>,
    /// When the upstream said so, to this node or to one that reported it.
    named_at: Option<Instant>,
    /// When it said so to this node.
    heard_at: Option<Instant>,
    /// Requests that this node may send within the window.
    share: usize,
    /// The rate and the nodes, as a hash, for which the share was computed.
    shared: Option<(RequestRate, u64)>,
    /// When this node may send the next request.
    next_at: Option<Instant>,
    sent: SendWindow,
}

impl NamedLimit {
    /// Returns the least time between two requests of this node.
    fn spacing(&self) -> Duration {
        let share = u32::try_from(self.share.max(1)).unwrap_or(u32::MAX);
        (WINDOW / share).mul_f64(SPACING_FRACTION)
    }

    fn allows(&self, now: Instant) -> bool {
        self.rate.is_none()
            || (self.next_at.is_some_and(|at| now >= at)
                && self.sent.count(now, WINDOW) < self.share)
    }
}

/// What a node heard of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    lifetime: Lifetime,
    /// `None` once the limit has ended.
    rate: Option<RequestRate>,
    /// How many milliseconds ago the upstream said so.
    age_ms: u32,
}

/// A change of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The upstream names a limit, or another one than before.
    Named(RequestRate),
    /// It no longer names one.
    Ended,
}

/// The limits that upstreams name, and this node's requests to them.
#[derive(Debug, Clone, Default)]
pub struct NamedLimits {
    limits: BTreeMap<Lifetime, NamedLimit>,
}

impl NamedLimits {
    /// Returns the number of upstreams that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Returns whether no upstream names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether any upstream names a limit, or has named one lately.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Records the limit in an upstream's answer, or that the answer names none.
    pub fn record_answer(
        &mut self,
        lifetime: Lifetime,
        rate: Option<RequestRate>,
        now: Instant,
    ) -> Option<LimitChange> {
        if rate.is_none() && !self.limits.contains_key(&lifetime) {
            return None;
        }
        let limit = self.limits.entry(lifetime).or_default();
        let is_changed = limit.rate != rate;
        limit.rate = rate;
        limit.named_at = Some(now);
        limit.heard_at = Some(now);
        is_changed.then(|| rate.map_or(LimitChange::Ended, LimitChange::Named))
    }

    /// Drops what no longer counts, and divides the limits between the known nodes.
    pub fn update_shares(&mut self, own: &NodeId, nodes: &[&NodeId], now: Instant) {
        self.limits.retain(|_, limit| {
            let lifetime = match limit.rate {
                Some(_) => LIMIT_LIFETIME,
                None => REPORT_TIME,
            };
            let is_recent = |at: Instant| now.saturating_duration_since(at) < lifetime;
            limit.named_at.is_some_and(is_recent)
        });
        let key = nodes
            .iter()
            .fold(0_u64, |key, node| key.wrapping_add(hash(node.as_str())));
        for (lifetime, limit) in &mut self.limits {
            let Some(rate) = limit.rate else {
                limit.shared = None;
                continue;
            };
            if limit.shared == Some((rate, key)) {
                continue;
            }
            // Without a single request, nobody would hear when the limit ends.
            let total = rate.requests_in(SHARED_TIME).max(1);
            limit.share = node_share(lifetime.key(), own, nodes.iter().copied(), total);
            if limit.shared.is_none() {
                // Spreads the first requests of the nodes.
                let [draw, ..] = weight(lifetime.key(), own.as_str()).to_le_bytes();
                let phase = f64::from(draw) / f64::from(u8::MAX);
                limit.next_at = Some(now + limit.spacing().mul_f64(phase));
            }
            limit.shared = Some((rate, key));
        }
    }

    /// Returns whether this node may send another request to an upstream.
    #[must_use]
    pub fn allows(&self, lifetime: Lifetime, now: Instant) -> bool {
        let limit = self.limits.get(&lifetime);
        limit.is_none_or(|limit| limit.allows(now))
    }

    /// Records a request that was sent.
    pub fn sent(&mut self, lifetime: Lifetime, now: Instant) {
        if let Some(limit) = self.limits.get_mut(&lifetime) {
            limit.sent.record(now, WINDOW);
            limit.next_at = Some(now + limit.spacing());
        }
    }

    /// Returns what this node heard from upstreams lately, in reports of limited size.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<Vec<LimitReport>> {
        let heard = self.limits.iter().filter_map(|(lifetime, limit)| {
            let age = now.saturating_duration_since(limit.heard_at?);
            (age < REPORT_TIME).then(|| LimitReport {
                lifetime: *lifetime,
                rate: limit.rate,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        let heard: Vec<_> = heard.collect();
        heard.chunks(MAX_REPORTED).map(<[_]>::to_vec).collect()
    }

    /// Adds what a peer heard, unless later news is known.
    pub fn merge(&mut self, reports: &[LimitReport], now: Instant) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let named_at = now.checked_sub(age).unwrap_or(now);
            if report.rate.is_none() && !self.limits.contains_key(&report.lifetime) {
                continue;
            }
            let limit = self.limits.entry(report.lifetime).or_default();
            if limit.named_at.is_none_or(|known| known < named_at) {
                limit.rate = report.rate;
                limit.named_at = Some(named_at);
            }
        }
    }
}
