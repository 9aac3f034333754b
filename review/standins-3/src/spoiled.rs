//! A server sends bytes that are no answer in place of some answers: the head of an interim response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{HOST, KEY, Request, Unanswered, exchange};
use crate::node::{Machines, ZONES};
use crate::server::{Server, ServerSheet};
use crate::store::Store;
use crate::{Outcome, Run, Verdict};

/// How long one of the three servers spoils answers, and one answer of how many.
const SPOILED: Duration = Duration::from_millis(5_000);
const EVERY: usize = 34;
const ROUNDS: usize = 6;
const CALM: Duration = Duration::from_secs(4);
/// The rates of the sheet.
const BOOKINGS: f64 = 13.9;
const LOOKUPS: f64 = 5.57;
/// `Deadline-Ms` of the sheet.
const BUDGET: Duration = Duration::from_millis(4_000);

fn config() -> Value {
    let route = |name: &str, prefix: &str, kind: &str, max_attempts: u32| {
        json!({"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeout_ms": 2000,
               "target_latency_ms": 300, "priority": 2, "service": "depot-app",
               "max_attempts": max_attempts, "public": false})
    };
    json!({
        "version": 7,
        "routes": [
            route("r-book", "/book/", "non_idempotent", 1),
            route("r-stock", "/stock/", "idempotent", 2),
        ],
        "services": [
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
    sent: usize,
    answered: usize,
    /// Requests for which a client got no answer but 101; the second of bookings.
    switched: (usize, usize),
}

#[derive(Clone)]
struct Clients {
    machines: Arc<Vec<(String, SocketAddr)>>,
    run: Arc<Run>,
    counts: Arc<Mutex<Counts>>,
}

impl Clients {
    async fn send_steadily(self, is_booking: bool) {
        let rate = if is_booking { BOOKINGS } else { LOOKUPS };
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let mut number = 0;
        loop {
            ticks.tick().await;
            number += 1;
            tokio::spawn(self.clone().send(is_booking, number));
        }
    }

    async fn send(self, is_booking: bool, number: usize) {
        let (machine, front) = &self.machines[number % self.machines.len()];
        let mut request = if is_booking {
            Request::new("POST", HOST, "/book/2f")
        } else {
            Request::new("GET", HOST, &format!("/stock/{number}"))
        };
        if is_booking {
            request.body = format!("booking {number} {}", "b".repeat(580)).into_bytes();
        }
        let request = request
            .header("Deadline-Ms", &BUDGET.as_millis().to_string())
            .header("X-Api-Key", KEY);
        let kind = if is_booking { "booking" } else { "lookup" };
        let id = request.id.clone();
        let text = format!("client sends {kind} {id} to {machine}");
        self.run.record.line(&text);
        let outcome = exchange(*front, &request, BUDGET).await;
        let text = match &outcome {
            Ok(answer) => format!("{}", answer.status),
            Err(Unanswered::Switched(after)) => format!(
                "BROKEN: status 101, and then no answer until the connection or the client's time ended \
                 after {} ms",
                after.as_millis()
            ),
            Err(error) => format!("no complete answer: {error:?}"),
        };
        self.run
            .record
            .line(&format!("client got for {id}: {text}"));
        let mut counts = self.counts.lock().expect("no panic while locked");
        counts.sent += 1;
        counts.answered += usize::from(outcome.is_ok());
        if matches!(outcome, Err(Unanswered::Switched(_))) {
            counts.switched.0 += 1;
            counts.switched.1 += usize::from(is_booking);
        }
    }
}

pub async fn play(run: Arc<Run>) -> Outcome {
    let store = Store::start().await?;
    store.put("op/config", &config());
    let mut servers = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let sheet = ServerSheet {
            id: format!("i-{number:08x}"),
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
    let clients = Clients {
        machines: Arc::new(nodes.iter().map(|n| (n.name.clone(), n.front)).collect()),
        run: run.clone(),
        counts: Arc::default(),
    };
    for is_booking in [true, false] {
        tokio::spawn(clients.clone().send_steadily(is_booking));
    }
    for round in 0..ROUNDS {
        tokio::time::sleep(CALM).await;
        let server = &servers[round % servers.len()];
        if run.has_trouble {
            server.spoil_answers(EVERY);
        }
        tokio::time::sleep(SPOILED).await;
        server.spoil_answers(0);
    }
    tokio::time::sleep(BUDGET + Duration::from_secs(1)).await;
    let counts = clients.counts.lock().expect("no panic while locked");
    let (switched, bookings) = counts.switched;
    let summary = format!(
        "{} requests, {} with an answer; clients got 101 and no answer for {switched}, of which \
         {bookings} bookings",
        counts.sent, counts.answered
    );
    run.record.line(&summary);
    println!("{summary}");
    Ok(if switched > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
