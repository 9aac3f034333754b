//! Fake router and admission for the calls service, and a harness for a single service.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod platform;
pub(crate) mod test_cluster;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shallottide::admission::{Admission, RequestOutcome};
use shallottide::calls::{CallOptions, CallService};
use shallottide::kernel::{Context, Name, Outbox, Service};
use shallottide::message::{CallArrived, ClaimReply, Message, ReplyTo, RequestClaim};
use shallottide::routing::{Route, RouteQuery, Router};
use shallottide::view::ConfigView;
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::clock::ManualClock;
use shallottide_types::id::{Incarnation, TeamId};
use shallottide_types::peer::{ClaimAnswer, LoadSummary, NodeInfo, Slot};
use shallottide_types::record::{CallRule, ModelRecord, Record, ServiceRecord};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

/// Remaining time of every test call.
pub(crate) const TIME_LEFT: Duration = Duration::from_secs(20);

/// Settings and recorded state of the fake router and admission of one node.
#[derive(Debug, Default)]
pub(crate) struct Fakes {
    /// Routes in order of preference.
    pub(crate) routes: Vec<Route>,
    /// Slots without a free place.
    pub(crate) full_slots: BTreeSet<Slot>,
    /// Places acquired and not released.
    pub(crate) permits: i64,
    /// Routes started and not finished.
    pub(crate) open_routes: i64,
    /// Slots that were held, and for how long.
    pub(crate) held: Vec<(Slot, Duration)>,
}

#[derive(Clone, Default)]
pub(crate) struct SharedFakes(pub(crate) Rc<RefCell<Fakes>>);

impl Router for SharedFakes {
    fn route(&mut self, query: &RouteQuery<'_>, _: &Context) -> Result<Route, Refusal> {
        let is_allowed = |route: &&Route| match route {
            Route::Domain { node } => {
                !query.own_domain_only && !query.tried_domains.contains(&node.domain)
            }
            Route::Local { slot, .. } | Route::Peer { slot, .. } => {
                !query.tried.contains(slot)
                    && query.forwarded_slot.is_none_or(|chosen| chosen == slot)
            }
        };
        let fakes = self.0.borrow();
        let found = fakes.routes.iter().find(is_allowed).cloned();
        found.ok_or_else(|| Refusal::new(RefusalKind::NoUpstream, Ran::No, "no route"))
    }

    fn record_start(&mut self, _: &Route, _: &Context) {
        self.0.borrow_mut().open_routes += 1;
    }

    fn record_finish(&mut self, _: &Route, _: &RequestOutcome, _: &Context) {
        self.0.borrow_mut().open_routes -= 1;
    }
}

impl Admission for SharedFakes {
    fn acquire(&mut self, slot: &Slot, _: &TeamId, _: &Context) -> Result<(), Refusal> {
        let mut fakes = self.0.borrow_mut();
        if fakes.full_slots.contains(slot) {
            return Err(Refusal::new(RefusalKind::Overloaded, Ran::No, "full"));
        }
        fakes.permits += 1;
        Ok(())
    }

    fn release(&mut self, _: &Slot, _: &TeamId, _: &RequestOutcome, _: &Context) {
        self.0.borrow_mut().permits -= 1;
    }

    fn hold(&mut self, slot: &Slot, wait: Duration, _: &Context) {
        self.0.borrow_mut().held.push((slot.clone(), wait));
    }

    fn tick(&mut self, _: &Context) {}

    fn loads(&self, _: &Context) -> Vec<LoadSummary> {
        Vec::new()
    }
}

/// A service with its context, to which a test sends messages directly.
pub(crate) struct ServiceHarness {
    pub(crate) cx: Context,
    pub(crate) clock: ManualClock,
    pub(crate) service: Box<dyn Service>,
}

impl ServiceHarness {
    pub(crate) fn send(&mut self, message: impl Into<Message>) -> Vec<(Name, Message)> {
        let mut out = Outbox::default();
        self.service.handle(message.into(), &self.cx, &mut out);
        out.take()
    }
}

/// Creates a calls service with a fake router and admission.
pub(crate) fn calls_node(options: CallOptions, fakes: &SharedFakes) -> ServiceHarness {
    calls_node_at(node_info("node-1", "dom-1"), options, fakes)
}

/// Creates the calls service of a given node.
pub(crate) fn calls_node_at(
    me: NodeInfo,
    options: CallOptions,
    fakes: &SharedFakes,
) -> ServiceHarness {
    let clock = ManualClock::default();
    let cx = Context::new(Arc::new(clock.clone()), me);
    cx.publish_config(records());
    let (router, admission) = (Box::new(fakes.clone()), Box::new(fakes.clone()));
    let service = Box::new(CallService::new(options, router, admission));
    ServiceHarness { cx, clock, service }
}

pub(crate) fn claim_reply(wanted: &RequestClaim, answer: ClaimAnswer) -> ClaimReply {
    let (call, claim) = (wanted.call.clone(), wanted.claim);
    ClaimReply {
        call,
        claim,
        answer,
    }
}

pub(crate) fn node_info(node: &str, domain: &str) -> NodeInfo {
    NodeInfo {
        node: node.parse().unwrap(),
        incarnation: Incarnation(1),
        domain: domain.parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        stopping: false,
    }
}

pub(crate) fn slot(name: &str) -> Slot {
    Slot::Service(name.parse().unwrap())
}

pub(crate) fn local(name: &str) -> Route {
    let address = "127.0.0.1:9".parse().unwrap();
    Route::Local {
        slot: slot(name),
        address,
    }
}

pub(crate) fn peer(name: &str) -> Route {
    let node = node_info("node-2", "dom-1");
    Route::Peer {
        slot: slot(name),
        node,
    }
}

pub(crate) fn domain(name: &str) -> Route {
    let node = node_info("node-9", name);
    Route::Domain { node }
}

/// Returns a configuration with the models `resumable` and `fragile`, whose streams may and may not
/// be resumed, and the service `depot`, whose `/count` may be repeated.
pub(crate) fn records() -> ConfigView {
    let mut view = ConfigView::default();
    for (id, resumable) in [("resumable", true), ("fragile", false)] {
        view.insert(Record::Model(ModelRecord {
            id: id.parse().unwrap(),
            vms_per_group: 1,
            groups: std::collections::BTreeMap::new(),
            cold_limit: 1,
            full_limit: 8,
            priority: 0,
            resumable,
            other_domains: true,
            split: None,
        }));
    }
    let rule = CallRule {
        method: "GET".into(),
        path_prefix: "/count".into(),
    };
    view.insert(Record::Service(ServiceRecord {
        id: "depot".parse().unwrap(),
        repeatable: vec![rule],
        other_domains: true,
        split: None,
    }));
    view
}

/// Kinds of calls with different repeat rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// May run at most once.
    Booking,
    /// May be repeated; the answer is not a stream.
    Count,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may not be resumed.
    NonResumableStream,
}

/// Creates an arriving call of a kind.
pub(crate) fn arriving_call(kind: Kind, reply_to: ReplyTo) -> CallArrived {
    let model = |name: &str| Target::Model(name.parse().unwrap());
    let depot = Target::Service("depot".parse().unwrap());
    let (target, method, path) = match kind {
        Kind::Booking => (depot, "POST", "/bookings"),
        Kind::Count => (depot, "GET", "/count"),
        Kind::Stream => (model("resumable"), "POST", "/v1/completions"),
        Kind::NonResumableStream => (model("fragile"), "POST", "/v1/completions"),
    };
    let head = CallHead {
        id: format!("call-{reply_to:?}")
            .replace(['(', ')'], "-")
            .parse()
            .unwrap(),
        team: "team".parse().unwrap(),
        target,
        method: method.into(),
        path: path.into(),
        content_type: None,
        key: (kind == Kind::Booking).then(|| "key-1".parse().unwrap()),
        stream: matches!(kind, Kind::Stream | Kind::NonResumableStream),
        prefix: None,
        time_left: TIME_LEFT,
        trace: TraceContext::default(),
    };
    CallArrived {
        reply_to,
        head,
        body: "body".into(),
        slot: None,
        resume_from: 0,
    }
}
