//! A server leaves without reporting `draining`, just after the store has cut the waiting watches.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::node::{Machines, ZONES};
use crate::server::{Server, ServerSheet};
use crate::store::Store;
use crate::traffic::{HOST, KEY, Traffic};
use crate::{Outcome, Run, Verdict};

/// `drain_ms` of the sheets.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How much longer than that a server serves before it exits: a little.
const LINGER: Duration = Duration::from_millis(700);
/// Time between the cut and the ack of the leaving server's removal.
const CUT_BEFORE: Duration = Duration::from_millis(30);
const ROUNDS: usize = 8;
/// Time of calm before each round; longer than `stability_window_ms`.
const CALM: Duration = Duration::from_millis(4_500);
/// The rate at which the clients of the sheet call the plain service.
const PER_SECOND: f64 = 19.5;
/// `Deadline-Ms` of the sheet.
const BUDGET: Duration = Duration::from_millis(4_000);

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-book", "hostname": HOST, "prefix": "/book/", "kind": "non_idempotent",
             "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "depot-app",
             "max_attempts": 1, "public": false},
            {"name": "r-stock", "hostname": HOST, "prefix": "/stock/", "kind": "idempotent",
             "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "depot-app",
             "max_attempts": 2, "public": false},
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

fn sheet(number: usize) -> ServerSheet {
    ServerSheet {
        id: format!("i-{number:08x}"),
        service: "depot-app",
        zone: ZONES[number % ZONES.len()],
        slots: 6,
        work: Duration::from_millis(60),
    }
}

/// A server that has left.
struct Departure {
    server: Server,
    acknowledged: Instant,
}

pub async fn play(run: &Run) -> Outcome {
    let record = &run.record;
    let store = Store::start().await?;
    store.put("op/config", &config());
    let mut servers = Vec::new();
    for number in 0..3 {
        let server = Server::start(sheet(number), record).await?;
        server.register(&store);
        servers.push(server);
    }
    let machines = Machines {
        root: &run.root,
        folder: &run.temporary,
        store: &store,
        store_at: None,
        bootstrap: true,
    };
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        nodes.push(machines.start(zone, index + 1)?);
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(10)).await {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    let fronts = nodes.iter().map(|node| (node.name.clone(), node.front));
    let traffic = Traffic::start(fronts.collect(), PER_SECOND, BUDGET, record);
    let mut departures: Vec<Departure> = Vec::new();
    for round in 0..ROUNDS {
        tokio::time::sleep(CALM).await;
        if run.has_trouble {
            record.line("the store cuts the waiting watches");
            store.cut_watches();
        }
        tokio::time::sleep(CUT_BEFORE).await;
        let server = servers.remove(0);
        let acknowledged = store.remove(&server.key());
        let id = &server.sheet.id;
        record.line_at(acknowledged, &format!("the store has removed {id}"));
        tokio::time::sleep(DRAIN + LINGER).await;
        record.line(&format!("{id} ends"));
        server.end();
        departures.push(Departure {
            server,
            acknowledged,
        });
        let server = Server::start(sheet(3 + round), record).await?;
        server.register(&store);
        record.line(&format!("{} starts", server.sheet.id));
        servers.push(server);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    traffic.stop();
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(judge(run, &traffic, &departures))
}

/// Counts the requests that clients sent, and servers got, later than `drain_ms` after the ack.
fn judge(run: &Run, traffic: &Traffic, departures: &[Departure]) -> Verdict {
    let record = &run.record;
    let attempts = traffic.attempts();
    let (mut late, mut lost) = (0, 0);
    for Departure {
        server,
        acknowledged,
    } in departures
    {
        let bound = *acknowledged + DRAIN;
        for arrival in server
            .arrivals()
            .iter()
            .filter(|arrival| arrival.at > bound)
        {
            let attempt = attempts.iter().find(|attempt| attempt.id == arrival.id);
            let Some(attempt) = attempt.filter(|attempt| attempt.sent_at > bound) else {
                continue;
            };
            late += 1;
            let after = arrival.at.saturating_duration_since(*acknowledged);
            let is_lost = attempt.is_booking && !arrival.is_answered;
            lost += usize::from(is_lost);
            record.line(&format!(
                "BROKEN: {} got {} from {} {} ms after the ack of its removal{}",
                server.sheet.id,
                arrival.id,
                attempt.machine,
                after.as_millis(),
                if is_lost {
                    "; the booking was lost"
                } else {
                    ""
                }
            ));
        }
    }
    let answered = attempts.iter().filter(|attempt| {
        let outcome = attempt.outcome.as_ref();
        outcome.is_some_and(|outcome| outcome.as_ref().is_ok_and(|answer| answer.status == 200))
    });
    let summary = format!(
        "{} requests, {} answered with 200; {} servers left; {late} requests reached them later than \
         drain_ms after the ack, of which {lost} bookings were lost",
        attempts.len(),
        answered.count(),
        departures.len()
    );
    record.line(&summary);
    println!("{summary}");
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
