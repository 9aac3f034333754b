//! Whether this node still reaches the upstreams of each service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{ServiceId, UpstreamId};

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

/// Request to open a connection to an upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The service.
    pub service: ServiceId,
    /// Upstreams of which one is to be chosen if it is still known and not to be avoided: their kept
    /// connections answer, so they show whether only new connections fail.
    pub prefer: BTreeSet<UpstreamId>,
    /// Upstreams that are not to be chosen, unless no other is known.
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
        self.links(service, now).record_wait_ended(upstream, now);
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
    ) {
        let links = self.links(service, now);
        links.record_unreachable(upstream, since, now);
        self.decide(now);
    }

    /// Records that an established connection was reset, or timed out, before its response was
    /// complete.
    pub fn record_reset(&mut self, service: &ServiceId, upstream: &UpstreamId, now: Instant) {
        self.links(service, now).record_reset(upstream, now);
        self.decide(now);
    }

    /// Returns the state of the links to a service.
    #[must_use]
    pub fn state(&self, service: &ServiceId, now: Instant) -> LinkState {
        let links = self.services.get(service);
        links.map_or(LinkState::Up, |links| links.state(now))
    }

    /// Returns whether a call may be sent over this node's own links: an increasing share of all calls
    /// while the links return. `draw` is a uniform random number.
    #[must_use]
    pub fn allows_own(&self, service: &ServiceId, now: Instant, draw: u32) -> bool {
        let links = self.services.get(service);
        links.is_none_or(|links| links.allows_own(now, draw))
    }

    /// Returns whether links are lost, but kept connections still answer.
    #[must_use]
    pub fn is_half_lost(&self, service: &ServiceId) -> bool {
        let links = self.services.get(service);
        links.is_some_and(ServiceLinks::is_half_lost)
    }

    /// Returns whether the last failure of an upstream, which began at `since`, is the upstream's:
    /// another one was reached after it. Otherwise this node's own links may be at fault, and the
    /// failure is no evidence against the upstream.
    ///
    /// `false` may become `true` within [`FAULT_VERDICT_DELAY`] or, where connections hang, the time
    /// limit on opening one.
    #[must_use]
    pub fn is_upstreams_fault(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        since: Instant,
        now: Instant,
    ) -> bool {
        let Some(links) = self.services.get(service) else {
            return false;
        };
        // A service with one upstream has no other that could be reached.
        links.is_upstreams_fault(upstream, since, now)
            || (links.has_one_upstream()
                && links.state(now) == LinkState::Up
                && self.is_other_service_heard(service, since))
    }

    /// Returns the connections to open now to find out whether upstreams can be reached. The outcomes
    /// are recorded like those of other connections. `draw` is a uniform random number.
    pub fn due_probes(&mut self, now: Instant, draw: u32) -> Vec<Probe> {
        self.observe(now);
        self.decide(now);
        let mut probes = Vec::new();
        for (service, links) in &mut self.services {
            probes.extend(links.due_probes(service, now, draw));
        }
        probes
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

    /// Drops what was observed before a pause of this process.
    fn observe(&mut self, now: Instant) {
        let last_call = self.last_call.replace(now).unwrap_or(now);
        if now.saturating_duration_since(last_call) > PAUSE_TIME {
            for links in self.services.values_mut() {
                links.record_pause(now);
            }
        }
    }

    /// Takes the decisions that are due, and checks the other services when the links to one are lost.
    fn decide(&mut self, now: Instant) {
        let mut is_any_lost = false;
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in services {
            let inquiry = self.services[&service].inquiry_since();
            let is_other_heard =
                inquiry.is_some_and(|since| self.is_other_service_heard(&service, since));
            if let Some(links) = self.services.get_mut(&service) {
                is_any_lost |= links.decide(is_other_heard, now);
            }
        }
        if is_any_lost {
            for links in self.services.values_mut() {
                links.suspect(now);
            }
        }
    }

    fn is_other_service_heard(&self, service: &ServiceId, since: Instant) -> bool {
        let others = self.services.iter().filter(|(id, _)| *id != service);
        others
            .filter_map(|(_, links)| links.last_heard())
            .any(|at| at > since)
    }
}
