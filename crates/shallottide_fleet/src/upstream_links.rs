//! Whether this node still reaches the upstreams of each service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{ServiceId, UpstreamId};

use crate::crash_evidence::Lifetime;
use crate::service_links::ServiceLinks;

/// Time between two calls above which this process, and not its upstreams, may have stood still.
const PAUSE_TIME: Duration = Duration::from_millis(250);

/// Time after a failure by which the other upstreams of a service under load have been heard, or a
/// probe of one was answered: when to ask whose fault it was.
pub const FAULT_VERDICT_DELAY: Duration = Duration::from_millis(100);

/// State of a node's links to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkState {
    /// Upstreams can be reached; single ones may fail.
    Up,
    /// Several upstreams failed or are silent, and none was heard since; probes will decide.
    Suspected,
    /// No upstream accepts connections from here.
    Lost,
    /// Connections succeed again; the share of calls sent over them increases.
    Returning,
}

/// A failure of a connection to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionFailure {
    /// When the attempt to connect began, or the connection was reset.
    pub since: Instant,
    /// When the failure became known.
    pub at: Instant,
    /// Whether no connection could be opened; else an established one failed.
    pub is_unreachable: bool,
}

/// Whose fault a failure is, as far as the links tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkVerdict {
    /// Another upstream may be heard yet; ask again soon.
    Pending,
    /// The upstream's: others can be reached.
    Upstream,
    /// Presumably the upstream's: no other failed, but the service has none.
    PresumedUpstream,
    /// The upstream's or that of the links.
    Unclear,
}

/// Request to open connections to upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The service.
    pub service: ServiceId,
    /// Number of connections to open, each to another upstream; fewer, if fewer upstreams are known.
    pub count: usize,
    /// Upstreams to choose before others: their kept connections answer, so they show whether only new
    /// connections fail.
    pub prefer: BTreeSet<UpstreamId>,
    /// Upstreams to choose only if all others were chosen or none is known.
    pub avoid: BTreeSet<UpstreamId>,
}

/// What a node knows of its own links to the upstreams of each service, from the outcomes of its
/// connections.
///
/// [`due_probes`](Self::due_probes) must be called every 50 ms or so: longer pauses between two calls
/// count as time in which this process stood still, and evidence from before them is dropped.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLinks {
    services: BTreeMap<ServiceId, ServiceLinks>,
    last_call: Option<Instant>,
}

impl UpstreamLinks {
    /// Records that a request was written, or that a connection is being opened: the upstream owes
    /// bytes.
    ///
    /// Each wait ends by exactly one of [`record_connected`](Self::record_connected),
    /// [`record_unreachable`](Self::record_unreachable), [`record_reset`](Self::record_reset) and
    /// [`record_wait_ended`](Self::record_wait_ended).
    pub fn record_waiting(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.links(service, now).record_waiting(upstream, now);
    }

    /// Records that a wait ended without a fault: the response was complete, or the caller left.
    pub fn record_wait_ended(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.links(service, now).record_wait_ended(upstream);
    }

    /// Records that bytes of a response arrived; the wait continues until the response is complete.
    pub fn record_received(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.links(service, now).record_received(upstream, now);
    }

    /// Records that a connection was established, which ends the wait for it.
    pub fn record_connected(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.links(service, now).record_connected(upstream, now);
    }

    /// Records that a connection could not be opened (refused, reset, timed out); `since` is when the
    /// attempt began.
    pub fn record_unreachable(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        since: Instant,
        now: Instant,
    ) -> ConnectionFailure {
        let links = self.links(service, now);
        links.record_unreachable(upstream, since, now);
        self.decide(now);
        ConnectionFailure {
            since,
            at: now,
            is_unreachable: true,
        }
    }

    /// Records that an established connection was reset, or timed out, before its response was
    /// complete.
    pub fn record_reset(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        now: Instant,
    ) -> ConnectionFailure {
        self.links(service, now).record_reset(upstream, now);
        self.decide(now);
        ConnectionFailure {
            since: now,
            at: now,
            is_unreachable: false,
        }
    }

    /// Returns the state of the links to a service.
    #[must_use]
    pub fn state(&self, service: &ServiceId, now: Instant) -> LinkState {
        if let Some(links) = self.services.get(service) {
            return links.state(now);
        }
        let mut states = self.services.values().map(|links| links.state(now));
        if states.any(|state| state == LinkState::Lost) {
            LinkState::Suspected
        } else {
            LinkState::Up
        }
    }

    /// Returns whether a call may be sent over this node's own links: an increasing share of all calls
    /// while the links return. `draw` is a uniform random number.
    ///
    /// The others are relayed. If no node takes such a call, as when the upstreams themselves were away,
    /// it may be sent over links that return.
    ///
    /// A service without any outcome yet counts as lost while the links to all others are.
    #[must_use]
    pub fn allows_own(&self, service: &ServiceId, now: Instant, draw: u32) -> bool {
        if let Some(links) = self.services.get(service) {
            return links.allows_own(now, draw);
        }
        let mut states = self.services.values().map(|links| links.state(now));
        self.services.is_empty() || states.any(|state| state != LinkState::Lost)
    }

    /// Returns whether links are lost, but kept connections still answer.
    #[must_use]
    pub fn is_half_lost(&self, service: &ServiceId) -> bool {
        let links = self.services.get(service);
        links.is_some_and(ServiceLinks::is_half_lost)
    }

    /// Returns whether a failure is the upstream's: another one was reached after it. Otherwise this
    /// node's own links may be at fault, and the failure is no evidence against the upstream.
    ///
    /// Right after a failure no other can have been reached: ask after [`FAULT_VERDICT_DELAY`].
    #[must_use]
    pub fn is_upstreams_fault(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        failure: &ConnectionFailure,
        now: Instant,
    ) -> bool {
        let Some(links) = self.services.get(service) else {
            return false;
        };
        if !links.may_be_upstreams_fault(failure, now) {
            return false;
        }
        if links.has_one_upstream() {
            // It has no other that could be reached.
            let mut others = self.others(service);
            return others.any(|other| other.is_heard_after(failure.at));
        }
        links.is_other_reached(upstream, failure)
    }

    /// Compares the lifetimes of upstreams with those from before the links to them were lost; call it as
    /// often as [`due_probes`](Self::due_probes). Returns the services whose upstreams turn out to have ended
    /// themselves, so that the links to them are sound.
    pub fn observe_lifetimes(
        &mut self,
        lifetime: impl Fn(&UpstreamId) -> Option<Lifetime>,
        now: Instant,
    ) -> Vec<ServiceId> {
        let services = self.services.iter_mut();
        services
            .filter_map(|(service, links)| {
                let is_sound = links.observe_lifetimes(&lifetime, now);
                is_sound.then(|| service.clone())
            })
            .collect()
    }

    /// Returns whose fault a failure is; final once [`FAULT_VERDICT_DELAY`] has passed since.
    #[must_use]
    pub fn judge(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        failure: &ConnectionFailure,
        now: Instant,
    ) -> LinkVerdict {
        if self.is_upstreams_fault(service, upstream, failure, now) {
            return LinkVerdict::Upstream;
        }
        let Some(links) = self.services.get(service) else {
            return LinkVerdict::Unclear;
        };
        let state = links.state(now);
        if state == LinkState::Lost && !links.is_interrupted() {
            return LinkVerdict::Unclear;
        }
        if now < failure.at + FAULT_VERDICT_DELAY {
            return LinkVerdict::Pending;
        }
        match state {
            LinkState::Up if links.has_one_upstream() => LinkVerdict::PresumedUpstream,
            LinkState::Up => LinkVerdict::Upstream,
            _ => LinkVerdict::Unclear,
        }
    }

    /// Returns the connections to open now to find out whether upstreams can be reached. The outcomes
    /// are recorded like those of other connections. `draw` is a uniform random number.
    pub fn due_probes(&mut self, now: Instant, draw: u32) -> Vec<Probe> {
        self.observe(now);
        self.decide(now);
        let services = self.services.iter_mut();
        services
            .filter_map(|(service, links)| links.due_probe(service, now, draw))
            .collect()
    }

    /// Drops upstreams that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        for links in self.services.values_mut() {
            links.retain(&known);
        }
        self.services.retain(|_, links| !links.is_empty());
    }

    fn links(&mut self, service: &ServiceId, now: Instant) -> &mut ServiceLinks {
        self.observe(now);
        self.services.entry(service.clone()).or_default()
    }

    fn others(&self, service: &ServiceId) -> impl Iterator<Item = &ServiceLinks> {
        let others = self.services.iter().filter(move |(id, _)| *id != service);
        others.map(|(_, links)| links)
    }

    /// Drops what was observed before a pause of this process.
    fn observe(&mut self, now: Instant) {
        let last_call = self.last_call.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last_call) > PAUSE_TIME {
            for links in self.services.values_mut() {
                links.record_pause(now);
            }
        }
    }

    /// Takes the decisions that are due, and probes the other services when the links to one are lost.
    fn decide(&mut self, now: Instant) {
        for links in self.services.values_mut() {
            links.check_silence(now);
            links.end_ramp(now);
            links.end_idle_inquiry();
        }
        let services = self.services.iter();
        let unreachable: Vec<_> = services
            .filter(|(_, links)| links.are_all_failing(now))
            .map(|(service, _)| service.clone())
            .collect();
        for service in unreachable {
            let has_one = self.services[&service].has_one_upstream();
            if has_one && !self.are_others_unreachable(&service, now) {
                let others = self.services.iter_mut().filter(|(id, _)| **id != service);
                others.for_each(|(_, links)| links.check(now));
                continue;
            }
            for (id, links) in &mut self.services {
                if *id == service {
                    links.lose(now);
                } else {
                    links.suspect(now);
                }
            }
        }
    }

    /// Returns whether the upstreams of all other services can't be reached either. A failure of the
    /// only upstream of a service may be its own.
    fn are_others_unreachable(&self, service: &ServiceId, now: Instant) -> bool {
        self.others(service)
            .all(|other| other.state(now) == LinkState::Lost || other.are_all_failing(now))
    }
}
