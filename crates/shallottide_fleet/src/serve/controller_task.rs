//! Claims failure domains, and runs the controllers of the domains that this node holds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::ToCompactString;
use http::Request;
use http_body_util::Full;
use shallottide_types::id::{DomainId, StoreEra, StoreIndex};
use tokio::task::spawn_local;

use super::connection::HttpError;
use super::connection_pool::PooledConnection;
use super::links::LinkWait;
use super::node::Node;
use crate::adapter::{EngineCall, EngineReport, OrderOutcome};
use crate::domain_claims::{ClaimInput, ClaimObstacle, ClaimPolicy, fencing_token};
use crate::groups::{Action, Controller, ControllerOptions, Order};
use crate::lease_validity::boot_time;
use crate::report_targets::MAX_DIRECT_NODES;
use crate::upstream::Upstream;
use crate::upstream_links::{ConnectionFailure, LinkState, LinkVerdict};
use crate::view::{Change, ClusterView, ControllerClaim};

/// Interval between two ticks while an order or report is pending.
const BUSY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two ticks otherwise, unless the view changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Time until a group that is planned now serves, if its members have the weights staged: the join
/// takes up to 1.6 s, opening 0.3 s.
const FORECAST_LEAD: Duration = Duration::from_secs(2);
/// Longest wait for the response to an order or a claim.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for an engine's report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response to an order or report request, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

type Controllers = Rc<RefCell<BTreeMap<DomainId, Controller>>>;

/// Claims domains and runs their controllers until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let controllers = Controllers::default();
    let mut policy = ClaimPolicy::default();
    let mut withheld = None;
    loop {
        let is_busy = controllers.borrow().values().any(Controller::is_busy);
        let pause = if is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        // A view change ends the wait early; the sleep below limits how often.
        let _ = tokio::time::timeout(pause, node.changed.notified()).await;
        if node.is_stopping() {
            controllers.borrow_mut().clear();
            continue;
        }
        let now_withheld = claim_domains(&node, &controllers, &mut policy).await;
        if now_withheld != withheld {
            log_withheld(&node, now_withheld.as_ref());
            withheld = now_withheld;
        }
        tick(&node, &controllers);
        tokio::time::sleep(BUSY_INTERVAL).await;
    }
}

/// Logs that a domain has no claim because this node may not claim it, or that this is over.
fn log_withheld(node: &Node, withheld: Option<&(DomainId, ClaimObstacle)>) {
    let Some((domain, obstacle)) = withheld else {
        tracing::info!("no claim withheld any more");
        return;
    };
    let state = node.state.borrow();
    let lease = state.held_lease;
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    node.metrics
        .count("claims_withheld", &obstacle.to_compact_string());
    tracing::info!(
        %domain, why = %obstacle, asked_ms = lease.map(|lease| millis(lease.asked)),
        ttl_ms = lease.map(|lease| millis(lease.ttl)), index = %state.view.index, "claim withheld"
    );
}

/// Claims domains as the policy decides, and drops controllers whose claim is lost. Returns a domain that
/// this node would claim, and why it may not.
async fn claim_domains(
    node: &Rc<Node>,
    controllers: &Controllers,
    policy: &mut ClaimPolicy,
) -> Option<(DomainId, ClaimObstacle)> {
    let (decisions, opened) = {
        let state = node.state.borrow();
        let held = controllers.borrow();
        let held = held
            .iter()
            .map(|(domain, controller)| (domain.clone(), controller.claim()))
            .collect();
        let decisions = policy.decide(&ClaimInput {
            options: &node.options,
            view: &state.view,
            held: &held,
            lease: state.held_lease,
            validity: &state.lease_watch,
            first_start: node.options.first_start && !state.had_traffic,
            reaches_engines: !node.has_lost_engines(),
            now: node.now(),
            boot_time: boot_time(),
        });
        let era = state.view.index.era();
        let opened = state.view.open_claims.map(|open| open.index);
        (decisions, (era, opened))
    };
    for domain in &decisions.lost {
        if let Some(controller) = controllers.borrow_mut().remove(domain) {
            tracing::info!(%domain, claim = %controller.claim(), "controller replaced");
        }
    }
    if decisions.opens_claims {
        open_claims(node, opened).await;
    }
    for (domain, replaces) in decisions.due {
        let lease = node.state.borrow().held_lease;
        let Some(lease) = lease else {
            break;
        };
        let request =
            node.platform
                .store
                .claim_controller(lease, &domain, &node.options.node, replaces);
        match tokio::time::timeout(ORDER_TIMEOUT, request).await {
            Ok(Ok(Some(since))) if node.state.borrow().holds_lease(&lease) => {
                start_controller(node, controllers, domain, since);
            }
            Ok(Ok(Some(claim))) => {
                tracing::info!(%domain, %claim, "claim not used: its lease has ended meanwhile");
            }
            Ok(Ok(None)) => tracing::info!(%domain, "domain already claimed by another node"),
            Ok(Err(error)) => tracing::warn!(%domain, %error, "could not claim domain"),
            Err(_) => tracing::warn!(%domain, "claiming domain timed out"),
        }
    }
    decisions.withheld
}

/// Opens claims to all nodes, as the leases of earlier eras have ended.
async fn open_claims(node: &Node, (era, replaces): (StoreEra, Option<StoreIndex>)) {
    let request = node.platform.store.open_claims(era, replaces);
    match tokio::time::timeout(ORDER_TIMEOUT, request).await {
        Ok(Ok(())) => tracing::info!(%era, "claims opened to all nodes"),
        Ok(Err(error)) => tracing::warn!(%era, %error, "could not open claims"),
        Err(_) => tracing::warn!(%era, "opening claims timed out"),
    }
}

/// Starts the controller of a claim, or lets the present one go on if nobody can have replaced it.
fn start_controller(node: &Node, controllers: &Controllers, domain: DomainId, since: StoreIndex) {
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
    let mut controllers = controllers.borrow_mut();
    if let Some(controller) = controllers.get_mut(&domain) {
        let earlier = controller.claim();
        let is_exclusive = state.lease_watch.may_act(earlier, boot_time());
        if earlier.era() < since.era() && is_exclusive {
            tracing::info!(%domain, claim = %since, %earlier, "controller goes on under a new claim");
            controller.continue_under(since);
            return;
        }
    }
    tracing::info!(%domain, claim = %since, first_start, "controller started");
    let options = ControllerOptions {
        domain: domain.clone(),
        stall: node.options.stall,
        heartbeat: node.options.heartbeat,
        load_window: node.options.load_window,
        large_deployment: is_large(&state.view),
    };
    let controller = Controller::new(options, since, first_start, now);
    controllers.insert(domain, controller);
}

/// Returns whether one node's reports do not reach all other nodes.
fn is_large(view: &ClusterView) -> bool {
    view.nodes.len() > MAX_DIRECT_NODES
}

fn tick(node: &Rc<Node>, all: &Controllers) {
    let now = node.now();
    let mut controllers = all.borrow_mut();
    let state = &mut *node.state.borrow_mut();
    if controllers.is_empty() {
        state.engine_counts.clear();
        return;
    }
    let suspects = state.suspects.keys().chain(state.peer_suspects.keys());
    let suspects: Vec<_> = suspects.cloned().collect();
    state.peer_suspects.clear();
    let large_deployment = is_large(&state.view);
    let work = if large_deployment {
        state.demand.forecast(FORECAST_LEAD, now)
    } else {
        state.demand.by_model(now)
    };
    state
        .engine_counts
        .retain(|domain, _| controllers.contains_key(domain));
    for (domain, controller) in controllers.iter_mut() {
        let counts = controller.count_engines(&state.view, now);
        if state.engine_counts.get(domain) != Some(&counts) {
            tracing::info!(%domain, engines = ?counts, index = %state.view.index, "engines counted");
            state.engine_counts.insert(domain.clone(), counts);
        }
        // Does not act on a lost claim, nor on a view older than the claim.
        let is_held = state
            .view
            .controllers
            .get(domain)
            .is_some_and(|claim| claim.since == controller.claim());
        let may_act = state.lease_watch.may_act(controller.claim(), boot_time());
        if !is_held || !may_act || state.view.index < controller.claim() {
            continue;
        }
        for head in &suspects {
            controller.suspect(head, now);
        }
        controller.set_large_deployment(large_deployment);
        let before_traffic = node.options.first_start && !state.had_traffic;
        for action in controller.tick(&state.view, work.as_ref(), before_traffic, now) {
            spawn_local(execute(node.clone(), all.clone(), domain.clone(), action));
        }
    }
}

async fn execute(node: Rc<Node>, controllers: Controllers, domain: DomainId, action: Action) {
    match action {
        Action::Order { to, number, order } => {
            let claim = controllers.borrow().get(&domain).map(Controller::claim);
            let Some(claim) = claim else {
                return;
            };
            let outcome = send_order(&node, &to, &order, claim).await;
            tracing::info!(
                upstream = %to.id, order = %order, outcome = ?outcome,
                index = %node.state.borrow().view.index, "order"
            );
            node.metrics.count("orders", &format!("{outcome:?}"));
            if let Some(controller) = controllers.borrow_mut().get_mut(&domain) {
                controller.record_order_outcome(number, outcome, node.now());
            }
        }
        Action::Probe(to) => {
            let report = probe(&node, &to).await;
            let (is_answered, is_judged) = match &report {
                Ok(_) => (true, true),
                Err(None) => (false, true),
                // A failure of this node's own links shows nothing of the engine.
                Err(Some(failure)) => (
                    false,
                    node.judge(&to.service, &to.id, failure).await != LinkVerdict::Unclear,
                ),
            };
            let kind = match (is_answered, is_judged) {
                (true, _) => "answered",
                (false, true) => "failed",
                (false, false) => "not_judged",
            };
            node.metrics.count("probes", kind);
            if let Some(controller) = controllers.borrow_mut().get_mut(&domain) {
                if is_judged {
                    controller.record_probe_result(&to.id, report.ok(), node.now());
                } else {
                    controller.record_probe_abandoned(&to.id);
                }
            }
        }
    }
    node.changed.notify_waiters();
}

async fn send_order(
    node: &Rc<Node>,
    to: &Upstream,
    order: &Order,
    claim: StoreIndex,
) -> OrderOutcome {
    let format = &node.platform.engine_format;
    // Last check before sending: the lease may have expired while this process was suspended.
    let may_act = {
        let state = node.state.borrow();
        state.lease_watch.may_act(claim, boot_time())
    };
    if !may_act {
        return OrderOutcome::Refused;
    }
    match exchange(
        node,
        to,
        format.order(&to.id, order, fencing_token(claim)),
        ORDER_TIMEOUT,
    )
    .await
    {
        Ok(response) => format.outcome(response.status()),
        Err(ExchangeError { error, .. }) if error.was_not_sent() => OrderOutcome::Refused,
        Err(ExchangeError { error, .. }) => {
            tracing::info!(upstream = %to.id, %error, "no response to order");
            OrderOutcome::Unknown
        }
    }
}

/// Requests an engine's report; the error has the failure of the connection, if there was one.
async fn probe(node: &Rc<Node>, to: &Upstream) -> Result<EngineReport, Option<ConnectionFailure>> {
    let format = &node.platform.engine_format;
    let response = exchange(node, to, format.probe(&to.id), PROBE_TIMEOUT)
        .await
        .map_err(|error| Some(error.failure))?;
    let is_report = response.status().is_success();
    let report = is_report.then(|| format.report(to, response.body()));
    report.flatten().ok_or(None)
}

/// Why an engine did not answer.
struct ExchangeError {
    error: HttpError,
    failure: ConnectionFailure,
}

async fn exchange(
    node: &Rc<Node>,
    to: &Upstream,
    call: EngineCall,
    timeout: Duration,
) -> Result<http::Response<bytes::Bytes>, ExchangeError> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = http::Uri::from_static(call.path);
    *request.headers_mut() = call.headers;
    let mut pooled = match node.pool.take(&to.id, node.now()) {
        Some(pooled) => pooled,
        None => open(node, to, timeout).await?,
    };
    let mut wait = LinkWait::start(node, to);
    let response = pooled
        .connection()
        .exchange(request, MAX_RESPONSE_BYTES, timeout)
        .await;
    let response = response.map_err(|error| {
        let failure = if error.is_disconnect() {
            wait.record_reset()
        } else {
            let (since, at) = (wait.since, node.now());
            ConnectionFailure {
                since,
                at,
                is_unreachable: false,
            }
        };
        ExchangeError { error, failure }
    })?;
    wait.record_received();
    let head = node
        .platform
        .call_format
        .read_answer(response.status(), response.headers());
    node.pool
        .release(&to.id, pooled, head.keep_alive, node.now());
    Ok(response)
}

async fn open(
    node: &Rc<Node>,
    to: &Upstream,
    timeout: Duration,
) -> Result<PooledConnection, ExchangeError> {
    let wait = LinkWait::start(node, to);
    match node.pool.open(to, timeout).await {
        Ok(pooled) => {
            wait.record_connected();
            Ok(pooled)
        }
        Err(error) => {
            let failure = wait.record_unreachable();
            Err(ExchangeError { error, failure })
        }
    }
}

impl Node {
    /// Returns whether this node has lost its links to the engines of any service.
    pub(super) fn has_lost_engines(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let services = state.view.catalog.iter().flat_map(|c| c.services.values());
        let mut engines = services.filter(|service| service.engine.is_some());
        engines.any(|service| state.links.state(&service.id, now) == LinkState::Lost)
    }
}
