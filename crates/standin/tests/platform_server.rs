//! Tests the platform over HTTP.

mod client;

use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use client::{agent_with_timeout, get, header, json, put};
use serde_json::json;
use shallottide_types::clock::ManualClock;
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Platform, Precondition, SwapOutcome};
use standin::http::ListenOptions;
use standin::platform::{CallKind, MemoryPlatform, PlatformOptions, PlatformServer};

const CALLERS: usize = 64;

fn server() -> (ManualClock, PlatformServer) {
    let clock = ManualClock::default();
    let platform = MemoryPlatform::new(Arc::new(clock.clone()), PlatformOptions::default());
    let server = PlatformServer::start(&ListenOptions::default(), platform).unwrap();
    (clock, server)
}

#[test]
fn values_have_the_json_format_of_consul() {
    let (_, server) = server();
    let absent = get(server.address(), "/v1/kv/a/1").unwrap();
    assert_eq!(absent.status(), 404);
    assert_eq!(header(&absent, "X-Consul-Index").as_deref(), Some("0"));
    assert_eq!(json(put(server.address(), "/v1/kv/a/1?cas=0", "hi")), true);
    assert_eq!(json(put(server.address(), "/v1/kv/a/1?cas=0", "no")), false);
    let found = get(server.address(), "/v1/kv/a/1").unwrap();
    assert_eq!(header(&found, "X-Consul-Index").as_deref(), Some("1"));
    let entry = json!({
        "Key": "a/1", "Value": "aGk=", "Flags": 0,
        "ModifyIndex": 1, "CreateIndex": 1, "LockIndex": 0,
    });
    assert_eq!(json(Ok(found)), json!([entry]));
    let deleted = |cas: u64| {
        let url = format!("http://{}/v1/kv/a/1?cas={cas}", server.address());
        json(client::agent().delete(url).call())
    };
    assert_eq!(deleted(7), false);
    assert_eq!(deleted(1), true);
    assert_eq!(get(server.address(), "/v1/kv/a/1").unwrap().status(), 404);
}

#[test]
fn keys_are_percent_decoded() {
    let (_, server) = server();
    let written = json(put(server.address(), "/v1/kv/n/a%3a1%25?cas=%30", "x"));
    assert_eq!(written, true);
    assert!(server.platform().get("n/a:1%").unwrap().is_some());
    let broken = json(put(server.address(), "/v1/kv/n/%g1%4?cas=0", "x"));
    assert_eq!(broken, true);
    assert!(server.platform().get("n/%g1%4").unwrap().is_some());
}

#[test]
fn session_holds_a_lease_until_it_expires() {
    let (clock, server) = server();
    let body = r#"{"TTL":"10s","LockDelay":"0s","Behavior":"release"}"#;
    let session = json(put(server.address(), "/v1/session/create", body));
    let id = session["ID"].as_str().unwrap();
    let acquire = format!("/v1/kv/l?acquire={id}");
    assert_eq!(json(put(server.address(), &acquire, "me")), true);
    assert_eq!(json(get(server.address(), "/v1/kv/l"))[0]["Session"], id);
    let renew = format!("/v1/session/renew/{id}");
    assert_eq!(json(put(server.address(), &renew, "")), json!([{"ID": id}]));
    clock.advance(Duration::from_secs(10));
    assert_eq!(put(server.address(), &renew, "").unwrap().status(), 404);
    assert_eq!(json(put(server.address(), &acquire, "me")), false);
    let free = json(get(server.address(), "/v1/kv/l"));
    assert!(free[0].get("Session").is_none());
}

#[test]
fn blocking_list_wakes_for_a_write() {
    let (_, server) = server();
    let address = server.address();
    let list = move || json(get(address, "/v1/kv/a/?recurse=true&index=0&wait=60s"));
    let watch = thread::spawn(list);
    let counts = || server.platform().counts();
    client::wait_until("watch", || counts().of(CallKind::Watch) == 1);
    let swap = server.platform().swap("a/1", b"x", Precondition::Absent);
    assert_eq!(swap, Ok(SwapOutcome::Written));
    assert_eq!(watch.join().unwrap()[0]["Key"], "a/1");
}

#[test]
fn write_with_a_lost_response_takes_effect() {
    let (_, server) = server();
    let control = r#"{"faults":{"lose_answers":1}}"#;
    assert_eq!(json(put(server.address(), "/control", control)), true);
    assert!(put(server.address(), "/v1/kv/a?cas=0", "x").is_err());
    let stored = server.platform().get("a").unwrap().unwrap();
    assert_eq!(stored.index, StoreIndex(1));
}

#[test]
fn platform_that_is_down_closes_connections_but_serves_control_requests() {
    let (_, server) = server();
    let control = |body| json(put(server.address(), "/control", body));
    assert_eq!(control(r#"{"faults":{"down":true}}"#), true);
    assert!(get(server.address(), "/v1/kv/a").is_err());
    assert_eq!(control(r#"{"faults":{"writes_per_second":0}}"#), true);
    let limited = put(server.address(), "/v1/kv/a?cas=0", "x").unwrap();
    assert_eq!(limited.status(), 429);
    let counts = json(get(server.address(), "/control/counts"));
    assert_eq!(counts["by_kind"], json!({"get": 1, "swap": 1}));
}

#[test]
fn muted_connections_are_silent_and_new_ones_work() {
    let (_, server) = server();
    let agent = agent_with_timeout(Duration::from_secs(1));
    let url = format!("http://{}/v1/kv/a", server.address());
    let mut answer = agent.get(&url).call().unwrap();
    answer.body_mut().read_to_vec().unwrap();
    assert_eq!(json(put(server.address(), "/control/mute", "")), true);
    assert!(agent.get(&url).call().is_err());
    assert_eq!(get(server.address(), "/v1/kv/a").unwrap().status(), 404);
}

#[test]
fn connections_above_the_limit_are_closed() {
    let listen = ListenOptions {
        max_connections: 1,
        ..ListenOptions::default()
    };
    let server = PlatformServer::start(&listen, MemoryPlatform::default()).unwrap();
    let first = client::agent();
    let url = format!("http://{}/v1/kv/a", server.address());
    let mut answer = first.get(&url).call().unwrap();
    assert!(get(server.address(), "/v1/kv/a").is_err());
    answer.body_mut().read_to_vec().unwrap();
    drop((answer, first));
    client::wait_until("place", || get(server.address(), "/v1/kv/a").is_ok());
}

#[test]
fn dropped_server_closes_its_connections() {
    let (_, server) = server();
    let address = server.address();
    let watch = thread::spawn(move || get(address, "/v1/kv/?recurse=true&index=0&wait=60s"));
    let platform = server.platform().clone();
    client::wait_until("watch", || platform.counts().of(CallKind::Watch) == 1);
    drop(server);
    let closed = watch.join().unwrap().unwrap_err();
    assert!(!matches!(closed, ureq::Error::Timeout(_)), "{closed}");
    assert!(get(address, "/v1/kv/a").is_err());
}

#[test]
fn simultaneous_connections_are_all_served() {
    let (_, server) = server();
    let address = server.address();
    let start = Arc::new(Barrier::new(CALLERS));
    let call = move |start: Arc<Barrier>| {
        let agent = client::agent();
        start.wait();
        let answer = agent.get(format!("http://{address}/v1/kv/a")).call();
        // Returning the agent keeps its connection open.
        (agent, answer)
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| start.clone())
        .map(|start| thread::spawn(move || call(start)))
        .collect();
    let answers: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(answers.iter().all(|(_, answer)| answer.is_ok()));
}
