//! The servers of a zone, which are all of a service's, go dark and come back. One route's requests
//! are alike: same path, caller and body.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{HOST, KEY, Request, exchange};
use crate::node::{Machines, ZONES};
use crate::server::{Server, ServerSheet};
use crate::store::Store;
use crate::{Outcome, Run, Verdict};

/// `stability_window_ms` of the sheets.
const STABLE: Duration = Duration::from_millis(3_000);
/// Time for which the zone's servers are down: that of the site file.
const DOWN: Duration = Duration::from_millis(4_500);
/// Three check-in intervals, after which the entry of a silent server is removed.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Times that this happens; the first does for most runs.
const OUTAGES: usize = 3;
const CALM: Duration = Duration::from_secs(8);
const AFTERWARDS: Duration = Duration::from_secs(20);
/// `Deadline-Ms` of the sheet.
const BUDGET: Duration = Duration::from_millis(4_000);
/// Requests on later routes from which the rule counts.
const MIN_LATER: usize = 20;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// On a first route; no two bodies are alike.
    Booking,
    /// On a first route; no two paths are alike.
    Lookup,
    /// On the route that was added later; all are alike.
    Click,
}

impl Kind {
    /// Requests a second; as on the sheet, and as many on the later route as bookings.
    fn rate(self) -> f64 {
        match self {
            Self::Booking | Self::Click => 13.9,
            Self::Lookup => 5.57,
        }
    }

    fn request(self, number: usize) -> Request {
        match self {
            Self::Booking => {
                let mut request = Request::new("POST", HOST, "/book/2f");
                request.body = format!("booking {number} {}", "b".repeat(580)).into_bytes();
                request
            }
            Self::Lookup => Request::new("GET", HOST, &format!("/stock/{number}")),
            Self::Click => Request::new("POST", HOST, "/click/gate-7"),
        }
    }
}

fn config(version: u64, has_clicks: bool) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, max_attempts: u32| {
        json!({"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeout_ms": 2000,
               "target_latency_ms": 300, "priority": 2, "service": "depot-app",
               "max_attempts": max_attempts, "public": false})
    };
    let mut routes = vec![
        route("r-book", "/book/", "non_idempotent", 1),
        route("r-stock", "/stock/", "idempotent", 2),
    ];
    if has_clicks {
        routes.push(route("r-click", "/click/", "non_idempotent", 1));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "depot-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
             "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    })
}

/// Starts the zone's servers, each under a new id.
async fn start_servers(first: usize, run: &Run, store: &Store) -> std::io::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in first..first + 3 {
        let sheet = ServerSheet {
            id: format!("i-{number:08x}"),
            service: "depot-app",
            zone: ZONES[0],
            slots: 6,
            work: Duration::from_millis(60),
        };
        let server = Server::start(sheet, &run.record).await?;
        server.register(store);
        servers.push(server);
    }
    Ok(servers)
}

/// A client attempt.
#[derive(Debug, Clone)]
struct Attempt {
    kind: Kind,
    sent_at: Instant,
    /// Zero if there was no complete answer.
    status: u16,
}

#[derive(Clone)]
struct Clients {
    machines: Arc<Vec<(String, SocketAddr)>>,
    run: Arc<Run>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Clients {
    async fn send_steadily(self, kind: Kind) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / kind.rate()));
        let mut number = 0;
        loop {
            ticks.tick().await;
            number += 1;
            tokio::spawn(self.clone().send(kind, number));
        }
    }

    /// Sends a request, and once more to another machine if that is allowed after its failure.
    async fn send(self, kind: Kind, number: usize) {
        let end = Instant::now() + BUDGET;
        for attempt in 0..2 {
            let sent_at = Instant::now();
            let left = end.saturating_duration_since(sent_at);
            let (machine, front) = &self.machines[(number + attempt) % self.machines.len()];
            let request = kind
                .request(number)
                .header("Deadline-Ms", &left.as_millis().to_string())
                .header("X-Api-Key", KEY);
            let id = request.id.clone();
            let text = format!("client sends {kind:?} {id} to {machine}");
            self.run.record.line_at(sent_at, &text);
            let outcome = exchange(*front, &request, left).await;
            let status = outcome.as_ref().map_or(0, |answer| answer.status);
            let wait = outcome.as_ref().map_or(Duration::ZERO, |a| a.retry_after);
            let text = match &outcome {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    format!(
                        "{status} {}",
                        body.trim().chars().take(60).collect::<String>()
                    )
                }
                Err(error) => format!("no complete answer: {error:?}"),
            };
            self.run
                .record
                .line(&format!("client got for {id}: {text}"));
            let attempt = Attempt {
                kind,
                sent_at,
                status,
            };
            self.attempts
                .lock()
                .expect("no panic while locked")
                .push(attempt);
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            let is_final = matches!(status, 200..300 | 400 | 401 | 404 | 413 | 431);
            if is_final || !(is_promise || kind == Kind::Lookup) {
                return;
            }
            let left = end.saturating_duration_since(Instant::now());
            tokio::time::sleep(wait.min(left / 3)).await;
        }
    }
}

pub async fn play(run: Arc<Run>) -> Outcome {
    let store = Store::start().await?;
    store.put("op/config", &config(7, false));
    let mut servers = start_servers(0, &run, &store).await?;
    let machines = Machines {
        root: &run.root,
        folder: &run.temporary,
        store: &store,
    };
    let nodes = machines.start_all().await?;
    let clients = Clients {
        machines: Arc::new(nodes.iter().map(|n| (n.name.clone(), n.front)).collect()),
        run: run.clone(),
        attempts: Arc::default(),
    };
    for kind in [Kind::Booking, Kind::Lookup] {
        tokio::spawn(clients.clone().send_steadily(kind));
    }
    tokio::time::sleep(CALM).await;
    store.put("op/config", &config(9, true));
    run.record
        .line("the store has taken version 9, which adds a route");
    // Longer than `config_apply_ms`.
    tokio::time::sleep(STABLE).await;
    tokio::spawn(clients.clone().send_steadily(Kind::Click));
    tokio::time::sleep(CALM).await;
    for round in 1..=OUTAGES {
        if run.has_trouble {
            run.record.line("the zone's servers go dark");
            for server in &servers {
                server.go_dark();
            }
            tokio::time::sleep(LAPSE).await;
            for server in &servers {
                store.remove(&server.key());
            }
            tokio::time::sleep(DOWN.saturating_sub(LAPSE)).await;
            for server in &servers {
                server.end();
            }
            servers = start_servers(3 * round, &run, &store).await?;
            run.record.line("the zone's servers are back");
        }
        if round < OUTAGES {
            tokio::time::sleep(CALM).await;
        }
    }
    let steady = Instant::now() + STABLE;
    tokio::time::sleep(STABLE + AFTERWARDS).await;
    let attempts = clients
        .attempts
        .lock()
        .expect("no panic while locked")
        .clone();
    drop(servers);
    Ok(judge(&run, &attempts, steady))
}

/// Compares how often requests on the later route and on the first ones are served in steady state.
fn judge(run: &Run, attempts: &[Attempt], steady: Instant) -> Verdict {
    let count = |is_later: bool| {
        let sent = attempts.iter().filter(|attempt| attempt.sent_at >= steady);
        let sent = sent.filter(|attempt| (attempt.kind == Kind::Click) == is_later);
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|attempt| attempt.status == 200).count();
        (sent.len(), served)
    };
    let share = |(sent, served): (usize, usize)| served as f64 / sent.max(1) as f64;
    let (later, first) = (count(true), count(false));
    let summary = format!(
        "steady state: {} of {} requests on the later route served, {} of {} on the first ones",
        later.1, later.0, first.1, first.0
    );
    run.record.line(&summary);
    println!("{summary}");
    if later.0 >= MIN_LATER && share(later) < share(first) / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
