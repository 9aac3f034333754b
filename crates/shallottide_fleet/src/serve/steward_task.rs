//! Claims the groups of failure domains, and carries out what their stewards want.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use shallottide_types::id::{DomainId, FencingToken, NodeId, StoreIndex};
use shallottide_types::rendezvous;
use tokio::task::spawn_local;

use super::connection::HttpError;
use super::node::Node;
use crate::border::{EngineCall, OrderOutcome};
use crate::groups::{Action, Controller, ControllerOptions, Order};
use crate::lease_validity::boot_time;
use crate::upstream::Upstream;
use crate::view::{Change, ControllerClaim};

/// Pause between two looks while something is awaited.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two looks otherwise, unless the view changes.
const IDLE_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a domain's claim is left to each node that ranks before this one.
const RANK_PAUSE: Duration = Duration::from_millis(150);
/// Time that a domain's claim is left to the domain's own nodes.
const FOREIGN_PAUSE: Duration = Duration::from_millis(1_800);
/// Largest answer to an order or report, in bytes.
const MAX_ANSWER: usize = 256 * 1024;

type Stewards = Rc<RefCell<BTreeMap<DomainId, Controller>>>;

/// Claims and keeps groups for ever.
pub(super) async fn run(node: Rc<Node>) {
    let stewards = Stewards::default();
    let mut unclaimed: BTreeMap<DomainId, Instant> = BTreeMap::new();
    loop {
        let is_busy = stewards.borrow().values().any(Controller::is_busy);
        let pause = if is_busy { BUSY_PAUSE } else { IDLE_PAUSE };
        // A change of the view is looked at once; the pause bounds how often.
        let _ = tokio::time::timeout(pause, node.changed.notified()).await;
        if node.is_stopping() {
            stewards.borrow_mut().clear();
            continue;
        }
        claim(&node, &stewards, &mut unclaimed).await;
        tick(&node, &stewards);
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}

/// Claims domains that nobody holds, and drops stewards whose claim is lost.
async fn claim(node: &Rc<Node>, stewards: &Stewards, unclaimed: &mut BTreeMap<DomainId, Instant>) {
    let now = node.now();
    let mut due = Vec::new();
    {
        let state = node.state.borrow();
        let claims = &state.view.controllers;
        stewards.borrow_mut().retain(|domain, steward| {
            let is_mine = claims
                .get(domain)
                .is_none_or(|claim| claim.since <= steward.claim());
            if !is_mine {
                tracing::info!(%domain, claim = %steward.claim(), "steward replaced");
            }
            is_mine
        });
        for domain in node.options.domains.keys() {
            let is_ready = state.lease.may_act(boot_time()) && !state.view.store_lost;
            if let Some(claim) = claims.get(domain) {
                unclaimed.remove(domain);
                // A claim of this node's own earlier process, which is gone.
                let is_left =
                    claim.holder == node.options.node && !stewards.borrow().contains_key(domain);
                if is_left && is_ready {
                    due.push((domain.clone(), Some(claim.since)));
                }
                continue;
            }
            if state.view.catalog.is_none() {
                continue;
            }
            let since = *unclaimed.entry(domain.clone()).or_insert(now);
            let wait = claim_pause(node, domain, state.view.nodes.keys());
            if is_ready && now.saturating_duration_since(since) >= wait {
                due.push((domain.clone(), None));
            }
        }
    }
    for (domain, replaces) in due {
        unclaimed.remove(&domain);
        let lease = node.state.borrow().lease_held;
        let Some(lease) = lease else {
            return;
        };
        let asked =
            node.borders
                .store
                .claim_controller(lease, &domain, &node.options.node, replaces);
        match tokio::time::timeout(ORDER_TIMEOUT, asked).await {
            Ok(Ok(Some(since))) => begin(node, stewards, domain, since),
            Ok(Ok(None)) => tracing::info!(%domain, "claim held by another node"),
            Ok(Err(error)) => tracing::warn!(%domain, %error, "claim failed"),
            Err(_) => tracing::warn!(%domain, "claim without answer"),
        }
    }
}

fn begin(node: &Node, stewards: &Stewards, domain: DomainId, since: StoreIndex) {
    let mut state = node.state.borrow_mut();
    let first_start = node.options.first_start && !state.had_traffic;
    let claim = ControllerClaim {
        holder: node.options.node.clone(),
        since,
    };
    let now = node.now();
    state
        .view
        .apply(Change::Controller(domain.clone(), Some(claim)), now);
    tracing::info!(%domain, claim = %since, first_start, "steward begins");
    let options = ControllerOptions {
        domain: domain.clone(),
        stall: node.options.stall,
        heartbeat: node.options.heartbeat,
        load_window: node.options.load_window,
    };
    let steward = Controller::new(options, since, first_start, now);
    stewards.borrow_mut().insert(domain, steward);
}

/// Returns how long a domain's claim is left to nodes that all agree should take it first.
fn claim_pause<'a>(
    node: &Node,
    domain: &DomainId,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> Duration {
    let key = rendezvous::hash(domain.as_str());
    let own = rendezvous::weight(key, node.options.node.as_str());
    let ahead = nodes
        .filter(|other| rendezvous::weight(key, other.as_str()) > own)
        .count();
    let rank = RANK_PAUSE * u32::try_from(ahead.min(10)).unwrap_or(10);
    if *domain == node.options.domain {
        rank
    } else {
        FOREIGN_PAUSE + rank
    }
}

fn tick(node: &Rc<Node>, stewards: &Stewards) {
    let now = node.now();
    let mut all = stewards.borrow_mut();
    let state = &mut *node.state.borrow_mut();
    if all.is_empty() {
        state.engines.clear();
        return;
    }
    if !state.lease.may_act(boot_time()) {
        return;
    }
    let suspects = state.suspects.keys().chain(state.peer_suspects.keys());
    let suspects: Vec<_> = suspects.cloned().collect();
    state.peer_suspects.clear();
    let work = state.demand.by_model(now);
    state.engines.retain(|domain, _| all.contains_key(domain));
    for (domain, steward) in all.iter_mut() {
        let census = steward.count_engines(&state.view, now);
        if state.engines.get(domain) != Some(&census) {
            tracing::info!(%domain, engines = ?census, index = %state.view.index, "engines counted");
            state.engines.insert(domain.clone(), census);
        }
        // A claim that ended is not acted on, nor is a view older than the claim.
        let is_held = state
            .view
            .controllers
            .get(domain)
            .is_some_and(|claim| claim.since == steward.claim());
        if !is_held || state.view.index < steward.claim() {
            continue;
        }
        for head in &suspects {
            steward.suspect(head, now);
        }
        let before_traffic = node.options.first_start && !state.had_traffic;
        for action in steward.tick(&state.view, work.as_ref(), before_traffic, now) {
            spawn_local(carry_out(
                node.clone(),
                stewards.clone(),
                domain.clone(),
                action,
            ));
        }
    }
}

async fn carry_out(node: Rc<Node>, stewards: Stewards, domain: DomainId, action: Action) {
    match action {
        Action::Order { to, number, order } => {
            let fence = stewards
                .borrow()
                .get(&domain)
                .map(|steward| FencingToken(steward.claim().0));
            let Some(fence) = fence else {
                return;
            };
            let outcome = send_order(&node, &to, &order, fence).await;
            tracing::info!(
                upstream = %to.id, order = %order, outcome = ?outcome,
                index = %node.state.borrow().view.index, "order"
            );
            node.metrics.count("orders", &format!("{outcome:?}"));
            if let Some(steward) = stewards.borrow_mut().get_mut(&domain) {
                steward.record_order_outcome(number, outcome, node.now());
            }
        }
        Action::Probe(to) => {
            let report = probe(&node, &to).await;
            node.metrics.count(
                "probes",
                if report.is_some() {
                    "answered"
                } else {
                    "failed"
                },
            );
            if let Some(steward) = stewards.borrow_mut().get_mut(&domain) {
                steward.record_probe_result(&to.id, report, node.now());
            }
        }
    }
    node.changed.notify_waiters();
}

async fn send_order(
    node: &Node,
    to: &Upstream,
    order: &Order,
    fence: FencingToken,
) -> OrderOutcome {
    let engines = &node.borders.engines;
    // The last look before the order leaves: a lease may have ended while this node stood still.
    if !node.state.borrow().lease.may_act(boot_time()) {
        return OrderOutcome::Refused;
    }
    match call(node, to, engines.order(&to.id, order, fence), ORDER_TIMEOUT).await {
        Ok(response) => engines.outcome(response.status()),
        Err(error) if error.was_not_sent() => OrderOutcome::Refused,
        Err(error) => {
            tracing::info!(upstream = %to.id, %error, "order without answer");
            OrderOutcome::Unknown
        }
    }
}

async fn probe(node: &Node, to: &Upstream) -> Option<Upstream> {
    let engines = &node.borders.engines;
    let response = call(node, to, engines.probe(&to.id), PROBE_TIMEOUT)
        .await
        .ok()?;
    response.status().is_success().then_some(())?;
    engines.report(to, response.body())
}

async fn call(
    node: &Node,
    to: &Upstream,
    call: EngineCall,
    time: Duration,
) -> Result<http::Response<bytes::Bytes>, HttpError> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = http::Uri::from_static(call.path);
    *request.headers_mut() = call.headers;
    let mut lent = match node.pool.take(&to.id, node.now()) {
        Some(lent) => lent,
        None => node.pool.open(to, time).await?,
    };
    let response = lent
        .connection()
        .exchange(request, MAX_ANSWER, time)
        .await?;
    let head = node
        .borders
        .calls
        .read_answer(response.status(), response.headers());
    node.pool
        .give_back(&to.id, lent, head.keep_alive, node.now());
    Ok(response)
}
