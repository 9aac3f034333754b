//! A server starts while the store is away and leases run out; it is cold when the store is back.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::node::{Node, Settings, ZONES};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

/// `cold_per_s` of the service, and the bound of the rule: `cold_per_s` x `cold_over` + `cold_slack`.
const COLD_PER_S: f64 = 5.0;
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
/// Requests in one second at which the stand-in of the cold server crashes, well above `cold_per_s`.
const CRASHES_ABOVE: usize = 15;
const COLD_TIME: Duration = Duration::from_secs(10);
const NODES: usize = 8;
/// Requests a second at each node.
const RATE: u32 = 40;
const DOWN: Duration = Duration::from_millis(4_500);
/// Three check-in intervals, after which the entries of silent servers are removed.
const SILENCE: Duration = Duration::from_millis(3_600);

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"shop.example\",\
     \"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\
     \"target_latency_ms\":300,\"priority\":2,\"service\":\"depot\",\"max_attempts\":1,\
     \"public\":true}],\"services\":[{\"name\":\"depot\",\"health_path\":\"/healthz\",\
     \"max_conns\":308,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":10.0,\
     \"cold_per_s\":5.0}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .into()
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Arc::new(|_: &_| Duration::from_millis(60));
    for number in 0..5 {
        let zone = ["a", "b", "c"][number % 3];
        let id = format!("i-{number}");
        Server::start(&id, "depot", zone, (&runs, record), work.clone()).register(&store);
    }
    store.put("op/config", &config());
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            Node::start(&Settings {
                name: &format!("front-{number}"),
                zone: ["a", "b", "c"][number % 3],
                store: store.address,
                folder: &folder.0,
                zones: ZONES,
                further: "",
            })
        })
        .collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::NotRun("a node is not ready".into());
    }
    let is_over = AtomicBool::new(false);
    let failed = AtomicU32::new(0);
    thread::scope(|scope| {
        for node in &nodes {
            for client in 0..4 {
                let (is_over, failed) = (&is_over, &failed);
                scope.spawn(move || {
                    let pause = Duration::from_secs(4) / RATE;
                    thread::sleep(pause * client / 4);
                    let mut number = 0;
                    while !is_over.load(Ordering::SeqCst) {
                        let begin = Instant::now();
                        number += 1;
                        let id = format!("{}-{client}-{number}", node.name);
                        if send(record, node, &id) != 200 {
                            failed.fetch_add(1, Ordering::SeqCst);
                        }
                        thread::sleep(pause.saturating_sub(begin.elapsed()));
                    }
                });
            }
        }
        thread::sleep(Duration::from_secs(5));
        if has_trouble() {
            record.add("the store is away, leases run out");
            store.set_down(true);
        }
        thread::sleep(SILENCE);
        if has_trouble() {
            for key in store.keys("servers/") {
                store.remove(&key);
            }
        }
        let cold = Some((COLD_TIME, CRASHES_ABOVE));
        let ends = (&runs, record);
        let added = Server::start_cold("i-new", "depot", "a", 6, ends, work.clone(), cold);
        record.add("server i-new starts, cold for 10 s");
        added.register(&store);
        thread::sleep(DOWN - SILENCE);
        store.set_down(false);
        record.add("the store is back");
        thread::sleep(Duration::from_secs(7));
        is_over.store(true, Ordering::SeqCst);
    });
    let runs = runs.lock().expect("no panic while locked");
    let times: Vec<f64> = runs
        .iter()
        .filter(|run| run.server == "i-new")
        .map(|run| run.at)
        .collect();
    let most = times
        .iter()
        .map(|end| {
            times
                .iter()
                .filter(|at| **at <= *end && end - **at < 1.0)
                .count()
        })
        .max()
        .unwrap_or(0);
    record.add(format!(
        "{} requests ran, {} at the cold server, {most} of them in one second; the bound is {BOUND}; \
         {} requests failed",
        runs.len(),
        times.len(),
        failed.load(Ordering::SeqCst)
    ));
    #[allow(clippy::cast_precision_loss)]
    if most as f64 > BOUND {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(record: &Record, node: &Node, id: &str) -> u16 {
    let headers = [
        ("Host", "shop.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2000"),
    ];
    let timeout = Duration::from_secs(3);
    let answer = exchange(node.front, "POST", "/book/pallet", &headers, b"{}", timeout);
    let status = answer.map_or(0, |answer| answer.status());
    record.add(format!("client gets {status} for {id}"));
    status
}
