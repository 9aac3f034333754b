//! The platform client, against scripted connections and the stand-in platform.

mod scripted_server;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use scripted_server::{ClosedPort, ScriptedServer, Step, UnresponsivePort};
use shallottide::platform_client::{ConsulPlatform, PlatformOptions};
use shallottide_types::cases;
use shallottide_types::id::StoreIndex;
use shallottide_types::platform::{Platform, PlatformError, Precondition, SwapOutcome};
use standin::http::ListenOptions;
use standin::platform::{CallKind, MemoryPlatform, PlatformServer};

const KEY: &str = "records/upstream/tally-1";
const WATCH_WAIT: Duration = Duration::from_millis(300);
const ENTRY: &str = r#"[{"LockIndex":0,"Key":"a/b","Flags":0,"Value":"aGk=","CreateIndex":3,
    "ModifyIndex":7,"Session":"s-1"}]"#;

fn client<T: Into<String>>(addresses: impl IntoIterator<Item = T>) -> ConsulPlatform {
    let options = PlatformOptions::default()
        .addresses(addresses)
        .answer_timeout(Duration::from_millis(500));
    ConsulPlatform::new(options).expect("options")
}

/// Runs one operation against a scripted server; returns its outcome and the requests received.
fn run(steps: &[Step], op: impl Fn(&dyn Platform) -> String) -> (String, Vec<String>) {
    let server = ScriptedServer::start(steps);
    let outcome = op(&client([server.address.clone()]));
    (outcome, server.requests())
}

fn result_kind<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(PlatformError::Unreachable { .. }) => "unreachable",
        Err(PlatformError::AnswerLost(_)) => "lost",
        Err(PlatformError::RateLimited) => "limited",
        Err(PlatformError::Malformed(_)) => "malformed",
    }
}

#[test]
fn get_returns_value_index_and_session() {
    let (outcome, requests) = run(&[Step::Answer(200, Some(9), ENTRY)], |platform| {
        let entry = platform.get("a/b").expect("get").expect("entry");
        format!("{entry:?}")
    });
    assert!(
        outcome.contains("[104, 105]") && outcome.contains("StoreIndex(7)"),
        "{outcome}"
    );
    assert!(outcome.contains("Some(\"s-1\")"), "{outcome}");
    assert_eq!(requests, ["get /v1/kv/a/b "]);
}

#[test]
fn list_of_absent_prefix_returns_the_index() {
    let (outcome, requests) = run(&[Step::Answer(404, Some(42), "")], |platform| {
        let listing = platform.list("records/", Some(StoreIndex(41)), WATCH_WAIT);
        format!("{:?}", listing.expect("listing"))
    });
    assert_eq!(outcome, "Listing { index: StoreIndex(42), entries: [] }");
    assert_eq!(
        requests,
        ["get /v1/kv/records/?recurse=true&index=41&wait=300ms "]
    );
}

#[test]
fn list_without_index_does_not_watch() {
    let (_, requests) = run(&[Step::Answer(404, Some(1), "")], |platform| {
        result_kind(&platform.list("records/", None, WATCH_WAIT)).into()
    });
    assert_eq!(requests, ["get /v1/kv/records/?recurse=true "]);
}

fn check_write(step: Step, expected: &str) {
    let (outcome, requests) = run(&[step], |platform| {
        match platform.swap(KEY, b"{}", Precondition::Index(StoreIndex(7))) {
            Ok(SwapOutcome::Written) => "written".into(),
            Ok(SwapOutcome::Conflict) => "conflict".into(),
            other => result_kind(&other).into(),
        }
    });
    assert_eq!(outcome, expected);
    // One connection, one request: the client never retries a write.
    assert_eq!(requests, ["put /v1/kv/records/upstream/tally-1?cas=7 {}"]);
}

cases! { check_write;
    true_is_written: Step::Answer(200, None, "true\n"), "written";
    false_is_a_conflict: Step::Answer(200, None, "false"), "conflict";
    unreadable_write_answer_is_lost: Step::Answer(200, None, "<html>"), "lost";
    truncated_write_answer_is_lost: Step::Truncate, "lost";
    write_on_closed_connection_is_lost: Step::Close, "lost";
    unanswered_write_is_lost: Step::NeverAnswer, "lost";
    server_error_on_write_is_lost: Step::Answer(500, None, "no leader"), "lost";
    redirect_of_write_is_malformed: Step::Answer(307, None, ""), "malformed";
    refused_write_is_malformed: Step::Answer(403, None, "denied"), "malformed";
    rate_limited_write_is_reported: Step::Answer(429, None, ""), "limited";
}

fn check_request(op: fn(&dyn Platform) -> bool, step: Step, expected: &str) {
    let (outcome, requests) = run(&[step], |platform| op(platform).to_string());
    assert_eq!((outcome.as_str(), requests[0].as_str()), ("true", expected));
}

cases! { check_request;
    swap_creates_only_an_absent_key:
        |p| p.swap("a", b"x", Precondition::Absent) == Ok(SwapOutcome::Written),
        Step::Answer(200, None, "true"), "put /v1/kv/a?cas=0 x";
    remove_sends_the_expected_index:
        |p| p.remove("a", StoreIndex(3)) == Ok(SwapOutcome::Conflict),
        Step::Answer(200, None, "false"), "delete /v1/kv/a?cas=3 ";
    acquire_sends_the_session:
        |p| p.acquire("a b", b"x", "s-1") == Ok(true),
        Step::Answer(200, None, "true"), "put /v1/kv/a%20b?acquire=s-1 x";
    release_sends_the_session:
        |p| p.release("a", "s-1") == Ok(false),
        Step::Answer(200, None, "false"), "put /v1/kv/a?release=s-1 ";
    open_session_returns_its_id:
        |p| p.open_session(Duration::from_secs(10)).as_deref() == Ok("s-9"),
        Step::Answer(200, None, "{\"ID\":\"s-9\"}"),
        r#"put /v1/session/create {"TTL":"10s","LockDelay":"0s","Behavior":"release"}"#;
    renewed_session_returns_true:
        |p| p.renew_session("s-9") == Ok(true),
        Step::Answer(200, None, "[]"), "put /v1/session/renew/s-9 ";
    renewal_of_expired_session_returns_false:
        |p| p.renew_session("s-9") == Ok(false),
        Step::Answer(404, None, ""), "put /v1/session/renew/s-9 ";
    vm_list_is_parsed:
        |p| p.vms(&"jkpg".parse().expect("id")).expect("vms")[0].leaving,
        Step::Answer(200, None, r#"[{"id":"vm-1","address":"127.0.0.1:9","domain":"jkpg",
            "fabric":"f-1","accelerators":8,"fences_orders":true,"leaving":true}]"#),
        "get /v1/vms?domain=jkpg ";
}

/// Guards against one odd entry in the VM list that hides all other VMs.
fn odd_vm_leaves_the_others_usable(odd: &str) {
    const SOUND: &str = r#"{"id":"vm-1","address":"127.0.0.1:9","domain":"jkpg","fabric":"f-1",
        "accelerators":8,"fences_orders":true,"leaving":false}"#;
    let other = SOUND.replace("vm-1", "vm-2");
    let list: &str = format!("[{SOUND},{odd},{other}]").leak();
    let server = ScriptedServer::start(&[Step::Answer(200, None, list)]);
    let platform = client([server.address.clone()]);
    let vms = platform.vms(&"jkpg".parse().expect("id")).expect("a list");
    let ids: Vec<_> = vms.iter().map(|vm| vm.id.to_string()).collect();
    assert_eq!(ids, ["vm-1", "vm-2"]);
}

fn vm(address: &str, accelerators: &str) -> String {
    format!(
        r#"{{"id":"odd","address":"{address}","domain":"jkpg","fabric":"f-1",
            "accelerators":{accelerators},"fences_orders":true,"leaving":false}}"#
    )
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

cases! {
    odd_vm_leaves_the_others_usable;
    vm_with_a_port_out_of_range: &vm("127.0.0.1:70000", "8");
    vm_with_an_infinite_number: &vm("127.0.0.1:9", "1e400");
    vm_with_a_number_out_of_range: &vm("127.0.0.1:9", "18446744073709551616");
    vm_with_a_deeply_nested_field: &vm("127.0.0.1:9", &nested(10_000));
    vm_that_is_deeply_nested: &nested(100_000);
    vm_that_is_null: "null";
    vm_without_fields: "{}";
}

#[test]
fn refused_connection_is_unreachable() {
    let closed = ClosedPort::new();
    let platform = client([closed.address.clone()]);
    assert_eq!(result_kind(&platform.get(KEY)), "unreachable");
    assert_eq!(
        result_kind(&platform.swap(KEY, b"", Precondition::Absent)),
        "unreachable"
    );
}

#[test]
fn connection_that_never_opens_is_unreachable() {
    let unresponsive = UnresponsivePort::new();
    let platform = client([unresponsive.address.clone()]);
    assert_eq!(
        result_kind(&platform.swap(KEY, b"", Precondition::Absent)),
        "unreachable"
    );
}

#[test]
fn write_is_retried_elsewhere_when_nothing_was_sent() {
    let server = ScriptedServer::start(&[Step::Answer(200, None, "true")]);
    let closed = ClosedPort::new();
    let platform = client([closed.address.clone(), server.address.clone()]);
    assert_eq!(
        platform.swap("a", b"x", Precondition::Absent),
        Ok(SwapOutcome::Written)
    );
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn write_with_lost_answer_is_not_retried() {
    let first = ScriptedServer::start(&[Step::Close]);
    let second = ScriptedServer::start(&[Step::Answer(200, Some(1), ENTRY)]);
    let platform = client([first.address.clone(), second.address.clone()]);
    assert_eq!(
        result_kind(&platform.swap("a", b"x", Precondition::Absent)),
        "lost"
    );
    assert_eq!(first.requests().len(), 1);
    // The later read is the only request that the second address receives.
    assert_eq!(result_kind(&platform.get("a/b")), "done");
    assert_eq!(second.requests(), ["get /v1/kv/a/b "]);
}

#[test]
fn read_with_lost_answer_is_retried_elsewhere() {
    let first = ScriptedServer::start(&[Step::NeverAnswer]);
    let second = ScriptedServer::start(&[Step::Answer(200, Some(1), ENTRY)]);
    let platform = client([first.address.clone(), second.address.clone()]);
    assert_eq!(result_kind(&platform.get("a/b")), "done");
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

#[test]
fn each_call_opens_its_own_connection() {
    let answer = Step::Answer(200, None, "true");
    let (outcome, requests) = run(&[answer, answer], |platform| {
        let first = platform.swap("a", b"x", Precondition::Absent);
        let second = platform.swap("a", b"y", Precondition::Absent);
        format!("{} {}", result_kind(&first), result_kind(&second))
    });
    assert_eq!((outcome.as_str(), requests.len()), ("done done", 2));
}

#[test]
fn answer_without_index_is_malformed() {
    let (outcome, _) = run(&[Step::Answer(200, None, ENTRY)], |platform| {
        result_kind(&platform.list("a/", None, WATCH_WAIT)).into()
    });
    assert_eq!(outcome, "malformed");
}

fn check_address(address: &str) {
    let options = PlatformOptions::default().addresses([address]);
    let error = ConsulPlatform::new(options).expect_err("refused");
    assert!(error.to_string().contains("http://HOST:PORT"), "{error}");
}

cases! { check_address;
    address_without_scheme_is_refused: "127.0.0.1:8500";
    https_address_is_refused: "https://127.0.0.1:8500";
    address_with_path_is_refused: "http://127.0.0.1:8500/v1";
    text_that_is_no_address_is_refused: "not an address";
}

/// Starts the stand-in platform and a client of it.
fn start_stand_in() -> (PlatformServer, ConsulPlatform) {
    let server = PlatformServer::start(&ListenOptions::default(), MemoryPlatform::default());
    let server = server.expect("stand-in");
    let platform = client([format!("http://{}", server.address())]);
    (server, platform)
}

#[test]
fn every_operation_works_with_the_stand_in() {
    let (_server, platform) = start_stand_in();
    let absent = platform.list("a/", None, WATCH_WAIT).expect("listing");
    assert_eq!(absent.entries, []);
    assert_eq!(
        platform.swap("a/b", b"\xff\0", Precondition::Absent),
        Ok(SwapOutcome::Written)
    );
    assert_eq!(
        platform.swap("a/b", b"x", Precondition::Absent),
        Ok(SwapOutcome::Conflict)
    );
    let entry = platform.get("a/b").expect("get").expect("entry");
    assert_eq!(entry.value, b"\xff\0");
    let listing = platform
        .list("a/", Some(absent.index), WATCH_WAIT)
        .expect("listing");
    assert_eq!(listing.entries, std::slice::from_ref(&entry));
    let session = platform
        .open_session(Duration::from_secs(10))
        .expect("session");
    assert_eq!(platform.renew_session(&session), Ok(true));
    assert_eq!(platform.renew_session("none"), Ok(false));
    assert_eq!(platform.acquire("a/b", b"y", &session), Ok(true));
    let held = platform.get("a/b").expect("get").expect("entry");
    assert_eq!(held.session, Some(session.clone()));
    assert_eq!(platform.release("a/b", &session), Ok(true));
    assert_eq!(
        platform.remove("a/b", entry.index),
        Ok(SwapOutcome::Conflict)
    );
    assert_eq!(platform.vms(&"jkpg".parse().expect("id")), Ok(Vec::new()));
}

#[test]
fn watch_may_last_longer_than_the_answer_timeout() {
    let (server, platform) = start_stand_in();
    let wait = Duration::from_millis(1_500);
    let listing = platform
        .list("a/", Some(StoreIndex(0)), wait)
        .expect("listing");
    assert_eq!(listing.entries, []);
    assert_eq!(server.platform().counts().of(CallKind::Watch), 1);
}

#[test]
fn faults_of_the_stand_in_are_reported() {
    let (server, platform) = start_stand_in();
    let store = server.platform();
    store.change_faults(|faults| faults.lose_answers = 1);
    assert_eq!(
        result_kind(&platform.swap("a", b"x", Precondition::Absent)),
        "lost"
    );
    assert_eq!(platform.get("a").expect("get").expect("entry").value, b"x");
    store.change_faults(|faults| faults.writes_per_second = Some(0));
    assert_eq!(
        result_kind(&platform.swap("b", b"x", Precondition::Absent)),
        "limited"
    );
    store.change_faults(|faults| faults.down = true);
    assert_eq!(result_kind(&platform.get("a")), "lost");
    assert_eq!(store.counts().of(CallKind::Swap), 2);
}

#[test]
fn call_carries_the_access_token() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = format!("http://{}", listener.local_addr().expect("bound"));
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a whole head");
            head.push(byte[0]);
        }
        let answer = b"HTTP/1.1 404 X\r\nX-Consul-Index: 1\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).expect("open");
        String::from_utf8(head).expect("text").to_lowercase()
    });
    let options = PlatformOptions::default()
        .addresses([address])
        .token("t0ken".into());
    let platform = ConsulPlatform::new(options).expect("options");
    assert_eq!(platform.get(KEY), Ok(None));
    let head = server.join().expect("the server ends");
    assert!(head.contains("x-consul-token: t0ken\r\n"), "{head}");
}

/// Guards against writes that take effect on the wrong value, and watches that miss changes, because a
/// restored store gives indexes out again.
#[test]
fn indexes_of_an_earlier_era_are_not_used_after_a_restore() {
    let (server, platform) = start_stand_in();
    let copy = server.platform().copy();
    let written = platform.swap("a/b", b"1", Precondition::Absent);
    assert_eq!(written, Ok(SwapOutcome::Written));
    let before = platform.get("a/b").expect("get").expect("entry");
    server.platform().restore(copy);
    let written = server.platform().swap("a/b", b"2", Precondition::Absent);
    assert_eq!(written, Ok(SwapOutcome::Written));
    let listing = platform
        .list("a/", Some(before.index), WATCH_WAIT)
        .expect("listing");
    assert!(listing.index > before.index);
    assert_eq!(listing.entries[0].index.revision(), before.index.revision());
    let outdated = platform.swap("a/b", b"3", Precondition::Index(before.index));
    assert_eq!(outdated, Ok(SwapOutcome::Conflict));
    let outdated = platform.remove("a/b", before.index);
    assert_eq!(outdated, Ok(SwapOutcome::Conflict));
    let current = listing.entries[0].index;
    let written = platform.swap("a/b", b"4", Precondition::Index(current));
    assert_eq!(written, Ok(SwapOutcome::Written));
}
