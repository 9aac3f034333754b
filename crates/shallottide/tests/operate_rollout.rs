//! Rollout of a change, summaries of failure domains, and warnings about likely mistakes.

use shallottide::operate::{
    DomainRollout, NodeStatus, Rollout, RolloutState, review, summarize_domains,
};
use shallottide::view::ConfigView;
use shallottide_types::cases;
use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::record::{Document, Record};

fn domains() -> Vec<DomainId> {
    ["a", "b"].map(|id| id.parse().expect("id")).to_vec()
}

/// Parses a status written as `NODE@DOMAIN:INDEX[?KEY][ PEER@DOMAIN:INDEX[!]]...`; `?` names a key
/// that the node can't use, `!` marks a peer that is not alive.
fn status(text: &str) -> NodeStatus {
    let parts = |word: &str| {
        let (node, rest) = word.split_once('@').expect("@");
        let (rest, invalid) = rest.split_once('?').unwrap_or((rest, "other"));
        let (domain, index) = rest.trim_end_matches('!').split_once(':').expect(":");
        let index: u64 = index.parse().expect("index");
        serde_json::json!({"node": node, "failure_domain": domain, "config_index": index,
            "alive": !rest.ends_with('!'), "invalid": [{"key": invalid, "reason": "r"}]})
    };
    let mut words = text.split(' ');
    let mut json = parts(words.next().expect("node"));
    json["nodes"] = words.map(parts).collect();
    json["upstreams"] = serde_json::json!(["u-1", "u-2"]);
    json["groups"] = serde_json::json!({"g-1": {}});
    json["calls"] = serde_json::json!({"answered": 3, "refused": {"overloaded": 1}});
    json["in_flight"] = 2.into();
    serde_json::from_value(json).expect("status")
}

/// Computes the rollout of a change at index 7 and compares the states of domains `a` and `b`.
fn check(statuses: &[&str], a: RolloutState, b: RolloutState) {
    let statuses: Vec<_> = statuses.iter().map(|text| status(text)).collect();
    let rollout = Rollout::of(StoreIndex(7), &["k".into()], domains(), &statuses);
    let states: Vec<_> = rollout.domains.values().map(DomainRollout::state).collect();
    assert_eq!(states, [a, b]);
    let complete = [a, b] == [RolloutState::InForce; 2];
    assert_eq!(rollout.is_complete(), complete);
}

use RolloutState::{InForce, NotYet, Refused, Unreachable};

cases! { check;
    unreachable_when_no_node_answers: &[], Unreachable, Unreachable;
    in_force_when_every_node_has_the_change: &["n1@a:7", "n2@b:8"], InForce, InForce;
    domain_without_a_known_node_is_unreachable: &["n1@a:7"], InForce, Unreachable;
    report_of_a_peer_counts: &["n1@a:7 n2@b:7"], InForce, InForce;
    live_node_behind_is_not_yet: &["n1@a:7 n2@a:6 n3@b:7"], NotYet, InForce;
    silent_node_alone_is_unreachable: &["n1@a:7 n2@b:7!"], InForce, Unreachable;
    silent_node_beside_a_live_one_is_ignored: &["n1@a:7 n2@a:6! n3@b:9"], InForce, InForce;
    highest_index_of_two_peers_counts: &["n1@a:7 n3@b:6", "n2@a:7 n3@b:7"], InForce, InForce;
    unusable_record_is_refused: &["n1@a:7?k", "n2@b:7"], Refused, InForce;
    node_behind_with_unusable_record_is_not_yet: &["n1@a:6?k", "n2@b:7"], NotYet, InForce;
    own_status_takes_precedence_over_reports: &["n1@a:7 n2@b:7", "n2@b:3"], InForce, NotYet;
}

#[test]
fn summary_aggregates_the_nodes_of_a_domain() {
    let statuses = [status("n1@a:7 n3@a:6!"), status("n2@a:5")];
    let summary = &summarize_domains(domains(), &statuses)[&domains()[0]];
    assert_eq!(
        (
            summary.live_nodes,
            summary.silent_nodes,
            summary.answered_nodes
        ),
        (2, 1, 2)
    );
    assert_eq!((summary.upstreams, summary.groups), (Some(2), Some(1)));
    assert_eq!((summary.in_flight, summary.calls), (4, Some(8)));
    let config = (summary.lowest_config, summary.highest_config);
    assert_eq!(config, (Some(StoreIndex(5)), Some(StoreIndex(7))));
}

fn parse(json: &str) -> (Document, Record) {
    let document = Document::from_json(json.as_bytes()).expect("document");
    let record = Record::from_document(&document).expect("record");
    (document, record)
}

fn check_review(json: &str, expected: &[&str]) {
    const KEY: &str = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";
    let mut records = ConfigView::default();
    for known in [
        r#"{"kind":"domain","schema":1,"id":"a","region":"r"}"#.into(),
        r#"{"kind":"domain","schema":1,"id":"b","region":"r","state":"out"}"#.into(),
        r#"{"kind":"service","schema":1,"id":"tally"}"#.into(),
        format!(
            r#"{{"kind":"team","schema":1,"id":"t","key_hashes":["{KEY}"],"rate":"1/s","max_in_flight":1}}"#
        ),
    ] {
        records.insert(parse(&known).1);
    }
    let (document, record) = parse(&json.replace("KEY", KEY));
    let warnings = review(&document, &record, &records);
    let texts: Vec<_> = warnings.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), expected.len(), "{texts:?}");
    for (text, expected) in texts.iter().zip(expected) {
        assert!(text.contains(expected), "{text:?} lacks {expected:?}");
    }
}

cases! { check_review;
    valid_upstream_has_no_warning: r#"{"kind":"upstream","schema":1,"id":"u","address":"10.0.0.1:80","zone":"a",
        "service":"tally","limit":1}"#, &[];
    upstream_with_unknown_names_has_warnings: r#"{"kind":"upstream","schema":1,"id":"u","address":"10.0.0.1:80","zone":"c",
        "service":"tale","limit":1,"leving":true}"#,
        &["\"leving\" is not known", "failure domain c has no record", "service tale has no"];
    model_in_unknown_domain_has_a_warning: r#"{"kind":"model","schema":1,"id":"m","members":1,"zones":["a","c"],"copies":1,
        "limit":1}"#, &["failure domain c"];
    split_of_unknown_team_has_a_warning: r#"{"kind":"service","schema":1,"id":"s","split":{"old_percent":1,
        "teams":{"t":1,"x":2}}}"#, &["team x in split"];
    team_without_keys_has_a_warning: r#"{"kind":"team","schema":1,"id":"x","key_hashes":[],"rate":"1/s",
        "max_in_flight":1}"#, &["team x has no keys"];
    key_of_two_teams_has_a_warning: r#"{"kind":"team","schema":1,"id":"x","key_hashes":["KEY"],"rate":"1/s",
        "max_in_flight":1}"#, &["a key of team x belongs to team t"];
    last_domain_out_has_a_warning: r#"{"kind":"domain","schema":1,"id":"a","region":"r","state":"out"}"#,
        &["no failure domain takes new work"];
}
