//! A server starts again under its id by a clock that was set back; later it leaves.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::exchange;
use crate::node::{Node, Settings, ZONES};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

/// Step of the time of day on the server's machine.
const STEP_MS: i64 = -2_900;
/// `bounds.drain_ms`, and the time for which a server serves beyond it before it exits.
const DRAIN: Duration = Duration::from_millis(2_000);
const LINGER: Duration = Duration::from_millis(1_500);
/// Pause of the clients from the ack on.
const QUIET: Duration = Duration::from_millis(2_400);
const WORK: Duration = Duration::from_millis(2_000);
/// Requests of each node after the pause.
const REQUESTS: usize = 8;

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"shop.example\",\
     \"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,\
     \"target_latency_ms\":300,\"priority\":2,\"service\":\"depot\",\"max_attempts\":1,\
     \"public\":true}],\"services\":[{\"name\":\"depot\",\"health_path\":\"/healthz\",\
     \"max_conns\":308,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
     \"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\
     \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .into()
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let work = Arc::new(|request: &crate::http::Message| {
        if request.second_word() == "/book/long" {
            WORK
        } else {
            Duration::from_millis(20)
        }
    });
    let server = |id: &str, zone: &str| {
        let server = Server::start_with(id, "depot", zone, 17, (&runs, record), work.clone());
        server.register(&store);
        server
    };
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "c")] {
        server(id, zone);
    }
    store.put("op/config", &config());
    let nodes: Vec<Node> = (0..6)
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
    // Nodes claim their duties, and the others begin to follow them.
    thread::sleep(Duration::from_secs(6));
    record.add("server i-new starts");
    let added = server("i-new", "a");
    thread::sleep(Duration::from_millis(1_800));
    record.add("server i-new crashes");
    added.crash();
    thread::sleep(Duration::from_millis(500));
    let step = if has_trouble() { STEP_MS } else { 0 };
    record.add(format!(
        "server i-new starts again under its id; the time of day on its machine is off by {step} ms"
    ));
    added.restart(step);
    thread::sleep(Duration::from_secs(10));
    let usual = send_all(record, &nodes, "usual", "/book/short", 4);
    added.leave(&store);
    let ack = record.add("the store has taken that server i-new is draining");
    thread::sleep(QUIET);
    let failed = thread::scope(|scope| {
        let sending = scope.spawn(|| send_all(record, &nodes, "late", "/book/long", REQUESTS));
        thread::sleep(DRAIN + LINGER - QUIET);
        record.add("server i-new exits");
        added.crash();
        store.remove("servers/i-new");
        sending.join().unwrap_or(0)
    });
    let runs = runs.lock().expect("no panic while locked");
    let at_leaving = runs.iter().filter(|run| run.server == "i-new");
    let late = at_leaving
        .filter(|run| run.at > ack + DRAIN.as_secs_f64())
        .count();
    record.add(format!(
        "{late} requests reached server i-new later than drain_ms after the ack, all sent later than \
         that; {failed} of {} requests failed",
        nodes.len() * REQUESTS
    ));
    if usual > 0 {
        return Verdict::NotRun("requests fail before the server leaves".into());
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests to all nodes at once; returns how many failed.
fn send_all(record: &Record, nodes: &[Node], when: &str, target: &str, count: usize) -> usize {
    thread::scope(|scope| {
        let mut clients = Vec::new();
        for node in nodes {
            for number in 0..count {
                clients.push(scope.spawn(move || {
                    let id = format!("{when}-{}-{number}", node.name);
                    let headers = [
                        ("Host", "shop.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "4000"),
                    ];
                    record.add(format!("client sends {id} to {}", node.name));
                    let timeout = Duration::from_secs(5);
                    let answer = exchange(node.front, "POST", target, &headers, b"{}", timeout);
                    let status = answer.map_or(0, |answer| answer.status());
                    record.add(format!("client gets {status} for {id}"));
                    usize::from(status != 200)
                }));
            }
        }
        let failed = clients.into_iter().map(|client| client.join().unwrap_or(1));
        failed.sum()
    })
}
