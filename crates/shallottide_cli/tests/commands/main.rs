//! Runs the command line as a process and checks its output and exit codes.

mod fixture;

use fixture::{CommandOutput, Fixture};
use shallottide_types::cases;
use shallottide_types::platform::{Platform as _, Precondition, SwapOutcome};
use standin::platform::CallKind;

const DOMAIN: &str = "kind = \"domain\"\nschema = 1\nid = \"jkpg\"\nregion = \"se\"\n";
const UPSTREAM: &str = "kind = \"upstream\"\nschema = 1\nid = \"t\"\naddress = \"10.0.0.1:80\"\n\
    zone = \"jkpg\"\nservice = \"tally\"\nlimit = 8\n";

/// Creates a fixture with a domain file, an upstream file and a node of the domain that reports all
/// changes as in force.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.add_node("n1", "jkpg", None);
    fixture.write_file("domain.toml", DOMAIN);
    fixture.write_file("upstream.toml", UPSTREAM);
    fixture
}

/// Runs one command on a new fixture and checks its exit code and that it prints the `expected`
/// texts.
fn check(args: &str, code: i32, expected: &[&str]) {
    check_on(&fixture(), args, code, expected);
}

fn check_on(fixture: &Fixture, args: &str, code: i32, expected: &[&str]) {
    let ran = fixture.run(args);
    assert_eq!(ran.code, code, "{args}: {}", ran.text);
    for text in expected {
        assert!(
            ran.text.contains(text),
            "{args}: {text:?} is not in {}",
            ran.text
        );
    }
    assert!(
        !ran.text.contains("operators-secret"),
        "the token is printed"
    );
}

cases! { check;
    help: "--help", 0, &["hash-key", "Exit codes"];
    no_such_command: "aply domain.toml", 2, &["aply"];
    bad_wait: "apply domain.toml --wait 8", 2, &["needs a unit"];
    bad_kind: "get zone jkpg", 2, &["use model, upstream"];
    hash_key_refuses_key_as_argument: "hash-key secret", 2, &["standard input"];
    check_good_file: "check domain.toml", 0, &["domain jkpg is valid"];
    check_needs_a_file: "check", 2, &["name record files"];
    check_missing_file: "check none.toml", 2, &["none.toml", "check the name"];
    check_bad_file: "check domain.toml shallottide.toml", 2,
        &["domain jkpg is valid", "shallottide.toml: record has no valid \"kind\""];
    check_prints_warnings: "check upstream.toml", 0, &["warning: failure domain jkpg has no record"];
    check_sees_the_other_files: "check domain.toml upstream.toml", 0, &["service tally has no"];
    entry_unreachable: "status --entry 127.0.0.1:9", 5,
        &["NODE", "127.0.0.1:9 gave no status", "check the address"];
    wrong_token: "--settings wrong.toml status", 5, &["set token in the settings"];
    drain_without_operator: "--settings no-operator.toml drain domain jkpg", 2, &["add operator ="];
    settings_missing: "--settings none.toml list", 2, &["none.toml"];
    apply_waits_until_in_force: "apply domain.toml", 0, &["applied as revision 1", "in force", "n1"];
    apply_validates_all_files_first: "apply domain.toml shallottide.toml", 2, &["\"kind\""];
    if_revision_allows_one_file: "apply domain.toml upstream.toml --if-revision 1", 2, &["one file"];
    drain_without_record: "drain domain jkpg", 2, &["no such record"];
    drain_rejects_other_kinds: "drain service tally", 2, &["use domain or upstream"];
    get_missing: "get team gates", 2, &["no record records/team/gates"];
    list_empty: "list", 0, &["KIND", "REVISION"];
}

fn check_settings(missing: &str, invalid: &str, expected: &[&str]) {
    let fixture = fixture();
    fixture.write_settings(missing);
    check_on(&fixture, "list", 2, &["shallottide.toml"]);
    fixture.write_settings(invalid);
    check_on(&fixture, "list", 2, expected);
}

cases! { check_settings;
    unknown_setting: "", "platform = []\nnode = 1", &["node", "allowed keys"];
    bad_node: "", "nodes = [\"a:1\"]\n[x]", &["line 1", "socket address"];
    secret_not_shown: "", "token = \"operators-secret\nx = 1", &["line 1: token"];
    bad_platform: "platform = []", "platform = [\"10.0.0.1\"]", &["\"10.0.0.1\"", "http://HOST:PORT"];
}

#[test]
fn apply_reports_domains_not_in_force() {
    let mut fixture = fixture();
    fixture.add_node("n2", "vmo", Some(0));
    fixture.write_file("hlm.toml", &DOMAIN.replace("jkpg", "hlm"));
    let args = "apply hlm.toml domain.toml --wait 1ms";
    check_on(
        &fixture,
        args,
        6,
        &[
            "hlm     can't be reached",
            "jkpg    in force",
            "vmo     not yet",
        ],
    );
    check_on(
        &fixture,
        "apply domain.toml --wait 0s",
        0,
        &["unchanged at revision 1"],
    );
}

#[test]
fn conflict_names_the_other_change() {
    let fixture = fixture();
    check_on(&fixture, "apply domain.toml --change first", 0, &[]);
    fixture.write_file("domain.toml", &DOMAIN.replace("se", "no"));
    let args = "apply domain.toml upstream.toml --wait 1ms --change second";
    check_on(
        &fixture,
        "apply domain.toml --if-revision 0",
        3,
        &["change first of operator ana", "read the record"],
    );
    check_on(
        &fixture,
        "apply domain.toml --if-revision 1",
        0,
        &["revision 2"],
    );
    check_on(
        &fixture,
        args,
        0,
        &["domain/jkpg: unchanged", "upstream/t: applied"],
    );
}

#[test]
fn one_of_many_racing_operators_wins() {
    let fixture = fixture();
    let args = |number| format!("apply domain.toml --if-revision 0 --change racer-{number}");
    let processes: Vec<_> = (0..6).map(|number| fixture.start(&args(number))).collect();
    let ran: Vec<_> = processes
        .into_iter()
        .map(CommandOutput::from_process)
        .collect();
    let winner = ran.iter().position(|ran| ran.code == 0).expect("a winner");
    for (number, ran) in ran
        .iter()
        .enumerate()
        .filter(|(number, _)| *number != winner)
    {
        assert_eq!(ran.code, 3, "racer {number}: {}", ran.text);
        let named = format!("change racer-{winner} of operator ana (revision 1) came before");
        assert!(ran.text.contains(&named), "racer {number}: {}", ran.text);
    }
    check_on(&fixture, "list domain", 0, &[&format!("racer-{winner}")]);
}

#[test]
fn killed_apply_is_completed_by_change_id() {
    let fixture = fixture();
    fixture
        .platform
        .change_faults(|faults| faults.slow_ms = 400);
    let mut killed = fixture.start("apply domain.toml --change c-1");
    while fixture.platform.counts().of(CallKind::Swap) == 0 {
        std::thread::yield_now();
    }
    killed.kill().expect("kill");
    assert_eq!(
        CommandOutput::from_process(killed).code,
        -1,
        "killed before it printed a result"
    );
    fixture.platform.change_faults(|faults| faults.slow_ms = 0);
    check_on(
        &fixture,
        "apply domain.toml --change c-1",
        0,
        &["applied as revision 1"],
    );
    assert_eq!(fixture.platform.counts().of(CallKind::Swap), 1);
}

#[test]
fn apply_stops_at_first_failure() {
    let fixture = fixture();
    let stored = fixture
        .platform
        .swap("records/domain/jkpg", b"x", Precondition::Absent);
    assert_eq!(stored, Ok(SwapOutcome::Written));
    let expected = ["delete the key in the platform", "upstream/t: not tried"];
    check_on(&fixture, "apply domain.toml upstream.toml", 2, &expected);
    assert_eq!(fixture.platform.get("records/upstream/t"), Ok(None));
}

#[test]
fn unclear_change_is_completed_later() {
    let fixture = fixture();
    fixture.platform.change_faults(|faults| {
        faults.lose_answers = 1;
        faults.stale_reads = true;
    });
    check_on(
        &fixture,
        "apply domain.toml --change c-1",
        4,
        &["may have been written", "--change c-1"],
    );
    fixture
        .platform
        .change_faults(|faults| faults.stale_reads = false);
    check_on(
        &fixture,
        "apply domain.toml --change c-1",
        0,
        &["applied as revision 1"],
    );
}

#[test]
fn lost_answer_is_resolved_by_reading_back() {
    let fixture = fixture();
    fixture
        .platform
        .change_faults(|faults| faults.lose_answers = 1);
    check_on(
        &fixture,
        "apply domain.toml",
        0,
        &["applied as revision 1", "in force"],
    );
}

#[test]
fn platform_outage_is_reported() {
    let fixture = fixture();
    fixture.platform.change_faults(|faults| faults.down = true);
    check_on(&fixture, "apply domain.toml", 5, &["nothing was written"]);
    check_on(&fixture, "drain domain jkpg", 5, &["nothing was written"]);
    check_on(&fixture, "list", 5, &["platform"]);
    check_on(
        &fixture,
        "status",
        5,
        &["jkpg", "unknown", "platform's answer was lost"],
    );
}

#[test]
fn drain_and_restore() {
    let fixture = fixture();
    check_on(&fixture, "apply domain.toml upstream.toml", 0, &[]);
    check_on(
        &fixture,
        "drain domain jkpg",
        0,
        &["revision 2", "warning: no failure domain"],
    );
    check_on(&fixture, "list domain", 0, &["out"]);
    check_on(
        &fixture,
        "apply domain.toml",
        0,
        &["unchanged at revision 2"],
    );
    check_on(&fixture, "restore domain jkpg", 0, &["revision 3"]);
    check_on(&fixture, "drain upstream t", 0, &["revision 2"]);
    check_on(&fixture, "list", 0, &["leaving", "serving", "ana"]);
    check_on(
        &fixture,
        "get upstream t",
        0,
        &["leaving = true", "schema = 1"],
    );
}

#[test]
fn move_to_the_new_system_prints_warning() {
    let fixture = fixture();
    check_on(&fixture, "apply upstream.toml", 0, &[]);
    let newer = UPSTREAM.replace("schema = 1", "schema = 2\ncold_limit = 1");
    let newer = newer
        .replace("zone", "failure_domain")
        .replace("\nlimit", "\nfull_limit");
    fixture.write_file("newer.toml", &newer);
    check_on(
        &fixture,
        "apply newer.toml",
        0,
        &["t moves from the old system to the new one"],
    );
    let ran = fixture.run("apply upstream.toml");
    assert!(
        !ran.text.contains("moves"),
        "schema 1 keeps the generation: {}",
        ran.text
    );
}

#[test]
fn printed_record_can_be_applied_again() {
    let fixture = fixture();
    check_on(&fixture, "apply upstream.toml", 0, &[]);
    fixture.write_file("got.toml", &fixture.run("get upstream t").text);
    check_on(&fixture, "apply got.toml", 0, &["unchanged at revision 1"]);
}

#[test]
fn status_shows_each_domain() {
    let fixture = fixture();
    check_on(&fixture, "apply domain.toml", 0, &[]);
    check_on(
        &fixture,
        "status",
        0,
        &["DOMAIN", "IN FLIGHT", "jkpg", "serving"],
    );
    let json = fixture.run("--json status").json();
    let domain = &json["domains"]["jkpg"];
    assert_eq!(
        (&domain["groups"], &domain["in_flight"]),
        (&3.into(), &4.into())
    );
    assert_eq!(domain["lowest_config"], 1);
    assert_eq!(json["states"]["jkpg"], "serving");
}

#[test]
fn json_output_of_apply_has_records_and_rollout() {
    let fixture = fixture();
    let ran = fixture.run("--json apply domain.toml --change c-1");
    let json = ran.json();
    assert_eq!((ran.code, &json["change"]), (0, &"c-1".into()));
    assert_eq!(json["records"][0]["outcome"], "applied");
    assert_eq!(json["rollout"]["domains"]["jkpg"]["state"], "in_force");
    let counts = fixture.platform.counts();
    assert_eq!((counts.writes(), counts.reads()), (1, 4));
    assert_eq!(json["rollout"]["index"], 1);
}

#[test]
fn hash_key_prints_hash_of_standard_input() {
    let fixture = fixture();
    let hash = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";
    assert_eq!(
        fixture.run_with_input("hash-key", "hello\n").text.trim(),
        hash
    );
    assert_eq!(fixture.run_with_input("hash-key", "\n").code, 2);
}

/// Starts a fake entry node that answers one status request, as at its metrics address.
fn entry_node() -> std::net::SocketAddr {
    use std::io::{Read as _, Write as _};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).expect("a request");
        let body = r#"{"node":"front-1","domain":"jkpg","ready":true,"config_version":7,"index":42,
            "store_age_ms":130,"store_lost":false,"nodes":8,"in_flight":3,"upstreams":63,
            "serving":{"chat/large":5},"evacuated":[],"stewards":{"jkpg":"front-1"},
            "engines":{"jkpg":{"serving":18,"free":2}}}"#;
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )
        .expect("a caller");
    });
    address
}

#[test]
fn status_shows_an_entry_node_on_a_platform() {
    let args = format!("status --entry {}", entry_node());
    let expected = [
        "front-1",
        "130ms",
        "chat/large:5",
        "engines of jkpg: 2 free, 18 serving",
    ];
    check(&args, 0, &expected);
}
