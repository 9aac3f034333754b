//! A configuration gives a tenant a home; its requests must stay there, whatever their route allows.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::exchange;
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Folder, Verdict, has_trouble};

/// `bounds.config_apply_ms`, with the stability window on top: no request sent so late is excused.
const SETTLED: Duration = Duration::from_millis(2_000 + 3_000);
/// Three zones in two areas.
const AREAS: &str = "zones.a=south\nzones.b=south\nzones.c=north\n";
const REQUESTS: usize = 60;
/// Time between two requests on one route; a server works 60 ms on each, in 6 places.
const PAUSE: Duration = Duration::from_millis(8);
/// The route without homes, and the one whose home is the area `south`.
const PREFIXES: [&str; 2] = ["/any/", "/south/"];

fn config(version: u64, tenant_homes: &str) -> String {
    let route = |name: &str, prefix: &str, homes: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\
             \"priority\":2,\"service\":\"depot\",\"max_attempts\":1,\"public\":false{homes}}}"
        )
    };
    let south = ",\"allowed_regions\":[\"south\"]";
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"depot\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1{tenant_homes}}},\
         {{\"name\":\"wuno96b\",\"api_keys\":[\"key-2\"],\"priority\":1}}]}}",
        route("r-any", PREFIXES[0], ""),
        route("r-south", PREFIXES[1], south)
    )
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    for (id, zone) in [("i-south-1", "a"), ("i-south-2", "b"), ("i-north-1", "c")] {
        let work = Arc::new(|_: &_| Duration::from_millis(60));
        Server::start(id, "depot", zone, (&runs, record), work).register(&store);
    }
    store.put("op/config", &config(1, ""));
    let start = |name: &str, zone: &str| {
        Node::start(&Settings {
            name,
            zone,
            store: store.address,
            folder: &folder.0,
            zones: AREAS,
            further: "",
        })
    };
    // Zones a and b are in the area `south`, and zone c is in `north`.
    let nodes = [start("front-a-1", "a"), start("front-b-1", "b")];
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::NotRun("a node is not ready".into());
    }
    let trouble = has_trouble();
    let homes = if trouble {
        ",\"allowed_regions\":[\"south\"]"
    } else {
        ""
    };
    store.put("op/config", &config(2, homes));
    record.add(format!(
        "the store has taken configuration 2; homes of tenant hule930: {:?}",
        if trouble { "south" } else { "all" }
    ));
    thread::sleep(SETTLED);
    // Many clients at a time, as a server has few places.
    let answered: usize = thread::scope(|scope| {
        let mut clients = Vec::new();
        for prefix in PREFIXES {
            for number in 0..REQUESTS {
                let node = &nodes[number % nodes.len()];
                clients.push(scope.spawn(move || send(record, node, prefix, number)));
            }
        }
        let answered = clients.into_iter().map(|client| client.join());
        answered.filter(|status| matches!(status, Ok(200))).count()
    });
    let runs = runs.lock().expect("no panic while locked");
    let in_north = |prefix: &str| {
        let in_north = runs
            .iter()
            .filter(|run| run.target.starts_with(prefix) && run.server == "i-north-1");
        in_north.count()
    };
    let (any, south) = (in_north(PREFIXES[0]), in_north(PREFIXES[1]));
    record.add(format!(
        "{answered} of {} answered; run in area north: {any} on the route without homes, {south} on the \
         route with the home south",
        2 * REQUESTS
    ));
    if answered < REQUESTS {
        return Verdict::NotRun("too few requests were answered".into());
    }
    if south > 0 || (trouble && any > 0) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(record: &Record, node: &Node, prefix: &str, number: usize) -> u16 {
    thread::sleep(PAUSE * u32::try_from(number).unwrap_or(0));
    let id = format!("request-{}-{number}", prefix.trim_matches('/'));
    let target = format!("{prefix}pallet");
    let headers = [
        ("Host", "shop.example"),
        ("Request-Id", id.as_str()),
        ("Deadline-Ms", "4000"),
        ("X-Api-Key", "key-1"),
    ];
    record.add(format!(
        "client of tenant hule930 sends {id} {target} to {} in area south",
        node.name
    ));
    let timeout = Duration::from_secs(5);
    let answer = exchange(node.front, "POST", &target, &headers, b"{}", timeout);
    let status = answer.map_or(0, |answer| answer.status());
    record.add(format!("client gets {status} for {id}"));
    status
}
