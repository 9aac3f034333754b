//! A route that is added later leads to model servers whose event streams end lines with CRLF.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{HOST, KEY, Request, exchange};
use crate::engine::{Fleet, GROUP_SIZE, MODEL};
use crate::node::{Machines, ZONES};
use crate::poison::{engine_service, report_route};
use crate::server::{Server, ServerSheet};
use crate::store::Store;
use crate::{Outcome, Run, Verdict};

/// `stability_window_ms` of the sheets.
const STABLE: Duration = Duration::from_millis(3_000);
const CALM: Duration = Duration::from_secs(5);
const PLAYED: Duration = Duration::from_secs(20);
const ENGINES_PER_ZONE: usize = 6;
/// Requests on later routes from which the rule counts.
const MIN_LATER: usize = 20;
/// A part that no prompt has: nothing crashes here.
const NO_PART: &str = "none";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Booking,
    Lookup,
    /// On the route that was added later.
    Report,
}

impl Kind {
    /// Requests a second and time budget of the sheet.
    fn sheet(self) -> (f64, Duration) {
        match self {
            Self::Booking => (13.9, Duration::from_millis(4_000)),
            Self::Lookup => (5.57, Duration::from_millis(4_000)),
            Self::Report => (21.9, Duration::from_millis(8_000)),
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
            Self::Report => {
                let prompt = format!("5c1e{:04x}:40,e4{number:06x}:250", number % 60);
                let mut request = Request::new("POST", HOST, "/report/2f")
                    .header("Model", MODEL)
                    .header("Token-Counts", "290,25")
                    .header("Prefix-Hash", &prompt);
                request.body = format!("prompt {number} {prompt}").into_bytes();
                request
            }
        }
    }
}

fn config(version: u64, has_reports: bool) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, max_attempts: u32| {
        json!({"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeout_ms": 2000,
               "target_latency_ms": 300, "priority": 2, "service": "depot-app",
               "max_attempts": max_attempts, "public": false})
    };
    let mut routes = vec![
        route("r-book", "/book/", "non_idempotent", 1),
        route("r-stock", "/stock/", "idempotent", 2),
    ];
    if has_reports {
        routes.push(report_route());
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            engine_service(),
            {"name": "depot-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
             "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    })
}

#[derive(Default)]
struct Counts {
    /// Requests on the first routes and on the later one: sent and served.
    first: (usize, usize),
    later: (usize, usize),
}

#[derive(Clone)]
struct Clients {
    machines: Arc<Vec<(String, SocketAddr)>>,
    run: Arc<Run>,
    /// From when requests count.
    steady: Instant,
    counts: Arc<Mutex<Counts>>,
}

impl Clients {
    async fn send_steadily(self, kind: Kind) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / kind.sheet().0));
        let mut number = 0;
        loop {
            ticks.tick().await;
            number += 1;
            tokio::spawn(self.clone().send(kind, number));
        }
    }

    async fn send(self, kind: Kind, number: usize) {
        let (machine, front) = &self.machines[number % self.machines.len()];
        let (_, budget) = kind.sheet();
        let request = kind
            .request(number)
            .header("Deadline-Ms", &budget.as_millis().to_string())
            .header("X-Api-Key", KEY);
        let sent_at = Instant::now();
        let id = request.id.clone();
        let text = format!("client sends {kind:?} {id} to {machine}");
        self.run.record.line_at(sent_at, &text);
        let outcome = exchange(*front, &request, budget).await;
        let text = match &outcome {
            Ok(answer) => {
                let body: String = String::from_utf8_lossy(&answer.body)
                    .chars()
                    .take(60)
                    .collect();
                format!("{} {}", answer.status, body.escape_debug())
            }
            Err(error) => format!("no complete answer: {error:?}"),
        };
        self.run
            .record
            .line(&format!("client got for {id}: {text}"));
        if sent_at < self.steady {
            return;
        }
        let mut counts = self.counts.lock().expect("no panic while locked");
        let count = if kind == Kind::Report {
            &mut counts.later
        } else {
            &mut counts.first
        };
        count.0 += 1;
        count.1 += usize::from(outcome.is_ok_and(|answer| answer.status == 200));
    }
}

pub async fn play(run: Arc<Run>) -> Outcome {
    let store = Store::start().await?;
    store.put("op/config", &config(7, false));
    let line_end = if run.has_trouble { "\r\n" } else { "\n" };
    let fleet = Fleet::new(&store, &run.record, NO_PART).with_line_end(line_end);
    let mut servers = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        for number in 0..ENGINES_PER_ZONE {
            let id = format!("i-{index}{number:07x}");
            fleet.add(&id, zone, &format!("d{index}")).await?;
        }
        let sheet = ServerSheet {
            id: format!("i-9{index:07x}"),
            service: "depot-app",
            zone,
            slots: 6,
            work: Duration::from_millis(60),
        };
        let server = Server::start(sheet, &run.record).await?;
        server.register(&store);
        servers.push(server);
    }
    let machines = Machines {
        root: &run.root,
        folder: &run.temporary,
        store: &store,
    };
    let nodes = machines.start_all().await?;
    let expected = ENGINES_PER_ZONE / GROUP_SIZE * ZONES.len();
    let end = Instant::now() + Duration::from_secs(25);
    while fleet.open_groups() < expected {
        if Instant::now() > end {
            return Err(format!("{} of {expected} groups are open", fleet.open_groups()).into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    run.record.line("all groups are open; traffic starts");
    fleet.note_traffic();
    let clients = Clients {
        machines: Arc::new(nodes.iter().map(|n| (n.name.clone(), n.front)).collect()),
        run: run.clone(),
        steady: Instant::now() + CALM + STABLE,
        counts: Arc::default(),
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
    tokio::spawn(clients.clone().send_steadily(Kind::Report));
    tokio::time::sleep(PLAYED).await;
    let counts = clients.counts.lock().expect("no panic while locked");
    let (first, later) = (counts.first, counts.later);
    let share = |(sent, served): (usize, usize)| served as f64 / sent.max(1) as f64;
    let summary = format!(
        "steady state: {} of {} requests on the later route served, {} of {} on the first ones; {} \
         answers begun by model servers",
        later.1,
        later.0,
        first.1,
        first.0,
        fleet.begun().len()
    );
    run.record.line(&summary);
    println!("{summary}");
    Ok(
        if later.0 >= MIN_LATER && share(later) < share(first) / 4.0 {
            Verdict::Broken
        } else {
            Verdict::Held
        },
    )
}
