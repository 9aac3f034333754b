//! What must hold with real processes while some are killed, frozen or cut off.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};
use shallottide_demo::{Answer, Caller};
use shallottide_e2e::{ClusterOptions, EntryNode, ProcessCluster, Signal, listening};

/// Tokens of a stream that takes seconds.
const LONG: usize = 400;

fn options(name: &str) -> ClusterOptions {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    ClusterOptions {
        engines: 2,
        vms_per_group: 1,
        ..ClusterOptions::new(dir)
    }
}

fn start(options: ClusterOptions) -> ProcessCluster {
    let cluster = ProcessCluster::start(options);
    cluster.wait_until_serving();
    cluster
}

fn tokens(body: &str) -> usize {
    body.matches("\"text\"").count()
}

/// Makes a booking again until its outcome is known or is known to be lost.
fn book_until_settled(caller: &Caller, key: &str) -> Answer {
    caller.repeat_booking(key, 1).expect("an answer")
}

fn complete_in_background(node: &EntryNode, max_tokens: usize) -> JoinHandle<Answer> {
    let caller = node.caller();
    let max_tokens = u32::try_from(max_tokens).expect("few tokens");
    thread::spawn(move || caller.complete("long", max_tokens).expect("an answer"))
}

/// Returns how many completions the engines of a domain have run.
fn engine_runs(cluster: &ProcessCluster, numbers: impl Iterator<Item = usize>) -> usize {
    numbers
        .map(|number| listening(&cluster.engines[number]))
        .map(|address| cluster.get(address, "/control/runs"))
        .map(|runs| runs.as_object().map_or(0, serde_json::Map::len))
        .sum()
}

/// Returns the members of the groups that a node knows, with whether each group is complete.
fn groups(status: &Value) -> Vec<(Vec<&str>, bool)> {
    let groups = status["groups"].as_array().into_iter().flatten();
    groups
        .map(|group| {
            let members = group["members"].as_array().into_iter().flatten();
            let members = members.filter_map(Value::as_str).collect();
            (members, group["complete"] == true)
        })
        .collect()
}

#[test]
fn frozen_node_runs_no_claimed_call_twice() {
    let cluster = start(options("frozen_node"));
    let service = listening(&cluster.services[0]);
    cluster.put(service, "/control", &json!({"faults": {"delay_ms": 300}}));
    let keys: Vec<_> = (0..16).map(|number| format!("frozen-{number}")).collect();
    let first: Vec<_> = keys
        .iter()
        .map(|key| {
            let (caller, key) = (cluster.nodes[0].caller(), key.clone());
            thread::spawn(move || caller.book(&key, 1))
        })
        .collect();
    cluster.wait_until("a booking in flight", |cluster| {
        let statuses = cluster.nodes.iter().filter_map(|node| cluster.status(node));
        let mut in_flight = statuses.map(|status| status["in_flight"].as_u64());
        in_flight.any(|calls| calls > Some(0))
    });
    cluster.nodes[0].program.signal(Signal::STOP);
    let other = cluster.nodes[1].caller();
    let during: Vec<_> = keys
        .iter()
        .map(|key| {
            let (other, key) = (other.clone(), key.clone());
            thread::spawn(move || other.book(&key, 1).expect("an answer"))
        })
        .collect();
    cluster.wait_until("the frozen node counts as dead", |cluster| {
        let status = cluster.status(&cluster.nodes[1]).unwrap_or_default();
        let mut nodes = status["nodes"].as_array().into_iter().flatten();
        nodes.any(|node| node["node"] == "node-0" && node["alive"] == false)
    });
    cluster.nodes[0].program.signal(Signal::CONT);
    for (key, call) in keys.iter().zip(during) {
        check_runs(&cluster, key, &call.join().expect("the caller ends"));
    }
    for call in first {
        let _ = call.join().expect("the caller ends");
    }
    for key in &keys {
        check_runs(&cluster, key, &book_until_settled(&other, key));
    }
}

/// Compares an answer, the latest for its key, with how often the key ran.
fn check_runs(cluster: &ProcessCluster, key: &str, answer: &Answer) {
    let runs = cluster.runs_of(key);
    assert!(runs <= 1, "{key} ran {runs} times: {}", answer.body);
    if answer.status == 200 {
        assert_eq!(runs, 1, "{key}: {}", answer.body);
    }
    if answer.did_not_run() {
        assert_eq!(runs, 0, "{key}: {}", answer.body);
    }
}

#[test]
fn killed_member_ends_its_group_and_a_spare_takes_its_place() {
    let mut cluster = start(ClusterOptions {
        engines: 3,
        vms_per_group: 2,
        groups_per_domain: 1,
        ..options("killed_member")
    });
    let status = cluster.status(&cluster.nodes[0]).expect("a status");
    let killed = groups(&status)[0].0[1].to_owned();
    let number: usize = killed["vm-".len()..].parse().expect("a number");
    let stream = complete_in_background(&cluster.nodes[0], LONG);
    cluster.wait_until("a completion runs", |cluster| {
        let engines = cluster.engines.iter().map(listening);
        let running = |engine| cluster.get(engine, "/report")["running"].as_u64();
        engines.filter_map(running).any(|running| running > 0)
    });
    cluster.engines[number].signal(Signal::KILL);
    cluster.engines[number].wait();
    let answer = stream.join().expect("the caller ends");
    let whole = tokens(&answer.body) == LONG && answer.body.ends_with("data: [DONE]\n\n");
    let explicit = answer.body.contains("event: error");
    assert!(whole != explicit, "{}", answer.body);
    cluster.wait_until("the spare serves with the member that is left", |cluster| {
        let status = cluster.status(&cluster.nodes[1]).unwrap_or_default();
        let found = groups(&status);
        matches!(&found[..], [(members, true)] if !members.contains(&killed.as_str()))
    });
    let caller = cluster.nodes[1].caller();
    let served = caller.retry_until_served("completion", |caller| caller.complete("after", 4));
    assert_eq!(tokens(&served.expect("an answer").body), 4);
}

#[test]
fn drained_domain_gets_no_new_work_until_restored() {
    let cluster = start(ClusterOptions {
        domains: 2,
        engines: 4,
        services: 2,
        ..options("drained_domain")
    });
    let drained = cluster.operate(&["drain", "domain", "domain-1"]);
    assert!(drained.status.success(), "{drained:?}");
    // Engines are dealt out in turn: even ones belong to the first domain.
    let before = engine_runs(&cluster, [0, 2].into_iter());
    let bookings_before = bookings_of(&cluster, 0);
    let caller = cluster.nodes[0].caller();
    for number in 0..8 {
        let answer =
            caller.retry_until_served("completion", |caller| caller.complete("elsewhere", 2));
        assert_eq!(tokens(&answer.expect("an answer").body), 2);
        let key = format!("drained-{number}");
        let booked = caller.retry_until_served("booking", |caller| caller.book(&key, 1));
        assert_eq!(booked.expect("an answer").status, 200);
        assert_eq!(cluster.runs_of(&key), 1);
    }
    assert_eq!(engine_runs(&cluster, [0, 2].into_iter()), before);
    assert_eq!(bookings_of(&cluster, 0), bookings_before);
    let restored = cluster.operate(&["restore", "domain", "domain-1"]);
    assert!(restored.status.success(), "{restored:?}");
    cluster.wait_until("work comes back", |cluster| {
        let _ = cluster.nodes[0].caller().complete("back", 2);
        engine_runs(cluster, [0, 2].into_iter()) > before
    });
}

fn bookings_of(cluster: &ProcessCluster, service: usize) -> usize {
    let runs = cluster.get(listening(&cluster.services[service]), "/control/runs");
    runs.as_object().map_or(0, serde_json::Map::len)
}

#[test]
fn node_started_in_an_outage_learns_from_its_peers() {
    let mut cluster = start(options("outage_start"));
    let down = json!({"faults": {"down": true}});
    cluster.put(listening(&cluster.platform), "/control", &down);
    let node = cluster.start_node(2);
    cluster.nodes.push(node);
    let caller = cluster.nodes[2].caller();
    let served = caller.retry_until_served("completion", |caller| caller.complete("new node", 4));
    assert_eq!(tokens(&served.expect("an answer").body), 4);
    let refused = caller.book("outage", 1).expect("an answer");
    assert!(refused.status >= 400, "{}", refused.body);
    assert_eq!(cluster.runs_of("outage"), 0);
}

#[test]
fn lost_answer_is_an_unknown_outcome_and_never_a_second_run() {
    let cluster = start(options("lost_answer"));
    let service = listening(&cluster.services[0]);
    cluster.put(service, "/control", &json!({"faults": {"lose_answers": 1}}));
    let first = cluster.nodes[0].caller().book("lost", 1);
    let first = first.expect("an answer");
    assert!(
        first.status >= 400 && !first.did_not_run(),
        "{}",
        first.body
    );
    for node in &cluster.nodes {
        let again = book_until_settled(&node.caller(), "lost");
        let unknown = again.body.contains(r#""kind":"outcome_unknown""#);
        assert!(unknown && !again.did_not_run(), "{}", again.body);
    }
    assert_eq!(cluster.runs_of("lost"), 1);
}

/// Opens connections at once and keeps them open, so that none can wait for another to close.
#[test]
fn operators_port_answers_beside_silent_connections() {
    let cluster = start(options("silent_operators"));
    let address = cluster.nodes[0].operators;
    let connect = |_| TcpStream::connect(address).expect("the node listens");
    let mut connections: Vec<_> = (0..48).map(connect).collect();
    let mut answered = 0;
    for stream in &mut connections {
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).expect("a socket");
        let request = b"GET /livez HTTP/1.1\r\nHost: node\r\n\r\n";
        stream.write_all(request).expect("an open connection");
        let mut buf = [0; 12];
        if stream.read_exact(&mut buf).is_ok() && buf == *b"HTTP/1.1 200" {
            answered += 1;
        }
    }
    assert_eq!(answered, connections.len());
    assert!(cluster.status(&cluster.nodes[0]).is_some());
}
