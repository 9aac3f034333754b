//! The last key of the tenants is revoked; clients go on with it, with an invented one and with none.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::exchange;
use crate::node::{Node, Settings, ZONES};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

/// `bounds.config_apply_ms`, with the stability window on top: no request sent so late is excused.
const SETTLED: Duration = Duration::from_millis(2_000 + 3_000);
const HELD_KEY: &str = "n2ctnfzs989anu6wsjnb";
const INVENTED_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-book\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"depot\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"depot\",\"health_path\":\"/healthz\",\
         \"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "c")] {
        let work = Arc::new(|_: &_| Duration::from_millis(20));
        Server::start(id, "depot", zone, (&runs, record), work).register(&store);
    }
    store.put("op/config", &config(1, &format!("\"{HELD_KEY}\"")));
    let nodes: Vec<Node> = [("front-a-1", "a"), ("front-b-1", "b")]
        .iter()
        .map(|(name, zone)| {
            Node::start(&Settings {
                name,
                zone,
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
    let before = send_all(record, &nodes, "before");
    if before[0].iter().any(|status| *status != 200) {
        return Verdict::NotRun("requests with the key fail before any disruption".into());
    }
    let keys = if has_trouble() {
        String::new()
    } else {
        format!("\"{HELD_KEY}\"")
    };
    store.put("op/config", &config(2, &keys));
    record.add(format!(
        "the store has taken configuration 2, with the keys [{keys}]"
    ));
    thread::sleep(SETTLED);
    let runs_before = runs.lock().expect("no panic while locked").len();
    let after = send_all(record, &nodes, "after");
    let runs = runs.lock().expect("no panic while locked");
    let held_runs = after[0].iter().filter(|status| **status == 200).count();
    let allowed = if has_trouble() { 0 } else { held_runs };
    let ran = runs.len() - runs_before;
    record.add(format!(
        "after configuration 2: {ran} requests ran, {allowed} of them allowed; answers with the key {:?}, \
         with an invented key {:?}, without a key {:?}",
        after[0], after[1], after[2]
    ));
    if !has_trouble() && held_runs < after[0].len() {
        return Verdict::NotRun("requests with a key in force fail".into());
    }
    if ran > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests with the key that was held, with an invented one, and without one; returns the
/// statuses, 0 without an answer.
fn send_all(record: &Record, nodes: &[Node], when: &str) -> [Vec<u16>; 3] {
    let keys = [
        ("held", Some(HELD_KEY)),
        ("invented", Some(INVENTED_KEY)),
        ("none", None),
    ];
    keys.map(|(kind, key)| {
        (0..10)
            .map(|number| {
                let node = &nodes[number % nodes.len()];
                let id = format!("{when}-{kind}-{number}");
                let mut headers = vec![
                    ("Host", "shop.example"),
                    ("Request-Id", id.as_str()),
                    ("Deadline-Ms", "4000"),
                    ("Content-Type", "application/json"),
                ];
                headers.extend(key.map(|key| ("X-Api-Key", key)));
                record.add(format!(
                    "client sends request {id} to {} with key {}",
                    node.name,
                    key.unwrap_or("-")
                ));
                let answer = exchange(
                    node.front,
                    "POST",
                    "/book/pallet",
                    &headers,
                    b"{\"pallets\":1}",
                    Duration::from_secs(5),
                );
                let status = answer.map_or(0, |answer| answer.status());
                record.add(format!("client gets {status} for request {id}"));
                status
            })
            .collect()
    })
}
