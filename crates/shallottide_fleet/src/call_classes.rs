//! Classes of calls, as a node learns them from the calls that it gets: which routes use a model,
//! and which calls are repeated by callers that were refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::admission::CallClass;
use crate::catalog::Route;
use crate::load_keys::Kind;

/// Time after which a route that got no call for a model no longer counts as using it.
const ROUTE_MEMORY: Duration = Duration::from_secs(30);
/// Deadlines kept for each route; the rarest is dropped first.
const MAX_DEADLINES: usize = 16;
/// Fraction of a route's calls that state the same deadline from which it counts as one that
/// callers give to new calls; what is left of a deadline after a refusal is hardly ever the same.
const MIN_NEW_FRACTION: f64 = 0.1;
/// Calls after which counts of deadlines are halved, so that a change of callers is followed.
const HALVING_CALLS: f64 = 200.0;

/// Time that a call stays at its engine before any has ended, and the least one, in seconds.
const INITIAL_RESIDENCE: f64 = 1.0;
const MIN_RESIDENCE: f64 = 0.1;
/// Weight of the newest call in the moving average of that time.
const RESIDENCE_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct RouteUse {
    priority: u8,
    target_latency: Duration,
    last_call: Instant,
}

/// How often callers of a route stated each deadline, in milliseconds.
#[derive(Debug, Clone, Default)]
struct Deadlines {
    counts: BTreeMap<u64, f64>,
    total: f64,
}

impl Deadlines {
    fn record(&mut self, time_left: Duration) {
        let ms = to_ms(time_left);
        if self.total >= HALVING_CALLS {
            self.total /= 2.0;
            self.counts.values_mut().for_each(|count| *count /= 2.0);
        }
        self.total += 1.0;
        *self.counts.entry(ms).or_default() += 1.0;
        if self.counts.len() > MAX_DEADLINES {
            let rarest = self.counts.iter().filter(|(known, _)| **known != ms);
            let rarest = rarest.min_by(|a, b| a.1.total_cmp(b.1)).map(|(ms, _)| *ms);
            rarest.and_then(|rarest| self.counts.remove(&rarest));
        }
    }

    /// Returns how long ago a call with this much time left was first sent: zero for a new one.
    fn elapsed(&self, time_left: Duration) -> Duration {
        let ms = to_ms(time_left);
        let is_new = |count: f64| count >= MIN_NEW_FRACTION * self.total;
        let mut at_least = self.counts.range(ms..).filter(|(_, count)| is_new(**count));
        let started = at_least.next().map_or(ms, |(started, _)| *started);
        Duration::from_millis(started - ms)
    }
}

/// What a node knows of the classes of its calls.
#[derive(Debug, Clone, Default)]
pub struct CallClasses {
    /// Moving average of the time that a call stays at its engine, in seconds.
    residence: BTreeMap<Kind, f64>,
    routes: BTreeMap<Kind, BTreeMap<CompactString, RouteUse>>,
    deadlines: BTreeMap<CompactString, Deadlines>,
}

impl CallClasses {
    /// Records a caller's call to an engine; returns how long ago its caller first sent it.
    pub fn record_call(
        &mut self,
        kind: &Kind,
        route: &Route,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        let usage = RouteUse {
            priority: route.priority,
            target_latency: route.target_latency,
            last_call: now,
        };
        let routes = self.routes.entry(kind.clone()).or_default();
        routes.insert(route.name.clone(), usage);
        let deadlines = self.deadlines.entry(route.name.clone()).or_default();
        deadlines.record(time_left);
        deadlines.elapsed(time_left)
    }

    /// Returns the class of a call that its caller first sent `elapsed` ago.
    #[must_use]
    pub fn classify(
        &self,
        kind: &Kind,
        priority: u8,
        target_latency: Duration,
        elapsed: Duration,
        is_begun: bool,
    ) -> CallClass {
        CallClass {
            time_left: target_latency
                .checked_sub(elapsed)
                .filter(|left| !left.is_zero()),
            rank: self.rank(kind, priority),
            is_begun,
            is_over_share: false,
        }
    }

    /// Returns how many more urgent priorities the routes that use a model have.
    #[must_use]
    pub fn rank(&self, kind: &Kind, priority: u8) -> u32 {
        let routes = self.routes.get(kind).into_iter().flat_map(BTreeMap::values);
        let more_urgent: BTreeSet<_> = routes
            .map(|usage| usage.priority)
            .filter(|p| *p < priority)
            .collect();
        u32::try_from(more_urgent.len()).unwrap_or(u32::MAX)
    }

    /// Returns the tightest target latency of the routes that use a model, if any is known.
    #[must_use]
    pub fn tightest_target(&self, kind: &Kind) -> Option<Duration> {
        let routes = self.routes.get(kind)?;
        routes.values().map(|usage| usage.target_latency).min()
    }

    /// Records how long a call stayed at its engine.
    pub fn record_residence(&mut self, kind: &Kind, time: Duration) {
        let residence = self.residence.entry(kind.clone());
        let residence = residence.or_insert(INITIAL_RESIDENCE);
        *residence += RESIDENCE_WEIGHT * (time.as_secs_f64() - *residence);
    }

    /// Returns how long a call of a model stays at its engine, in seconds.
    #[must_use]
    pub fn residence(&self, kind: &Kind) -> f64 {
        let known = self.residence.get(kind).copied();
        known.unwrap_or(INITIAL_RESIDENCE).max(MIN_RESIDENCE)
    }

    /// Forgets routes that got no call for a while.
    pub fn expire(&mut self, now: Instant) {
        for routes in self.routes.values_mut() {
            routes.retain(|_, usage| now.saturating_duration_since(usage.last_call) < ROUTE_MEMORY);
        }
        self.routes.retain(|_, routes| !routes.is_empty());
        self.residence
            .retain(|kind, _| self.routes.contains_key(kind));
        let routes = &self.routes;
        let is_used = |route: &CompactString| routes.values().any(|used| used.contains_key(route));
        self.deadlines.retain(|route, _| is_used(route));
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
