//! Reading records of every kind and schema version, and the errors for invalid ones.

use shallottide_types::cases;
use shallottide_types::record::{
    Document, DomainRecord, DomainState, Generation, ModelRecord, Record, RecordKind,
    ServiceRecord, TeamRecord, UpstreamRecord, UpstreamState,
};

const UPSTREAM_V1: &str = r#"kind = "upstream"
schema = 1
id = "tally-1"
address = "10.0.0.1:80"
zone = "jkpg"
service = "tally"
limit = 20
leaving = true"#;

const UPSTREAM_V2: &str = r#"kind = "upstream"
schema = 2
id = "tally-1"
address = "10.0.0.1:80"
failure_domain = "jkpg"
service = "tally"
cold_limit = 3
full_limit = 20"#;

const MODEL_V1: &str = r#"kind = "model"
schema = 1
id = "tide"
members = 4
zones = ["jkpg", "vmo"]
copies = 3
limit = 9"#;

const MODEL_V2: &str = r#"kind = "model"
schema = 2
id = "tide"
vms_per_group = 4
groups = { jkpg = 3 }
cold_limit = 2
full_limit = 9"#;

const SERVICE: &str = r#"kind = "service"
schema = 1
id = "tally"
repeatable = [{ method = "GET", path_prefix = "/count" }]
split = { old_percent = 10, teams = { gates = 100 } }"#;

const DOMAIN: &str = r#"kind = "domain"
schema = 1
id = "jkpg"
region = "se-south"
state = "out""#;

const TEAM: &str = r#"kind = "team"
schema = 1
id = "gates"
key_hashes = ["2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"]
rate = "50/s"
max_in_flight = 10"#;

fn read(text: &str) -> Result<Record, String> {
    let document = Document::from_toml(text).map_err(|e| e.to_string())?;
    Record::from_document(&document).map_err(|e| e.to_string())
}

#[test]
fn upstream_v1_is_converted() {
    let Ok(Record::Upstream(record)) = read(UPSTREAM_V1) else {
        panic!("not an upstream");
    };
    assert_eq!((record.cold_limit, record.full_limit), (3, 20));
    assert_eq!(record.failure_domain.as_str(), "jkpg");
    assert_eq!(record.state, UpstreamState::Leaving);
    assert_eq!(record.generation, Generation::Old);
}

#[test]
fn upstream_v2_has_defaults() {
    let Ok(Record::Upstream(record)) = read(UPSTREAM_V2) else {
        panic!("not an upstream");
    };
    assert_eq!(record.state, UpstreamState::Serving);
    assert_eq!(record.generation, Generation::New);
}

#[test]
fn model_v1_is_converted() {
    let Ok(Record::Model(record)) = read(MODEL_V1) else {
        panic!("not a model");
    };
    assert_eq!(record.vms_per_group, 4);
    assert_eq!(record.groups.values().collect::<Vec<_>>(), [&3, &3]);
    assert_eq!((record.cold_limit, record.full_limit), (2, 9));
}

#[test]
fn model_v2_is_read_as_written() {
    let Ok(Record::Model(record)) = read(MODEL_V2) else {
        panic!("not a model");
    };
    assert_eq!((record.cold_limit, record.groups.len()), (2, 1));
    assert!(!record.other_domains && record.split.is_none());
}

#[test]
fn service_rules_and_split_are_read() {
    let Ok(Record::Service(record)) = read(SERVICE) else {
        panic!("not a service");
    };
    assert!(record.is_repeatable("GET", "/count/3") && !record.is_repeatable("POST", "/count"));
    let split = record.split.expect("split");
    assert_eq!(split.old_percent_for(&"gates".parse().expect("id")), 100);
}

#[test]
fn domain_and_team_are_read() {
    let Ok(Record::Domain(domain)) = read(DOMAIN) else {
        panic!("not a domain");
    };
    assert_eq!(domain.state, DomainState::Out);
    let Ok(Record::Team(team)) = read(TEAM) else {
        panic!("not a team");
    };
    assert_eq!((team.rate.0, team.key_hashes.len()), (50, 1));
}

#[test]
fn field_tables_cover_every_schema() {
    let newest = RecordKind::ALL.map(RecordKind::newest_schema);
    let expected = [
        ModelRecord::NEWEST_SCHEMA,
        UpstreamRecord::NEWEST_SCHEMA,
        ServiceRecord::NEWEST_SCHEMA,
        DomainRecord::NEWEST_SCHEMA,
        TeamRecord::NEWEST_SCHEMA,
    ];
    assert_eq!(newest, expected);
}

/// Checks that the field tables know all fields of a record.
fn check_known(text: &str) {
    let document = Document::from_toml(text).expect("document");
    assert_eq!(document.unknown_fields(), Ok(Vec::new()));
}

cases! { check_known;
    knows_upstream_v1: UPSTREAM_V1;
    knows_upstream_v2: &format!("{UPSTREAM_V2}\nstate = \"leaving\"\ngeneration = \"old\"");
    knows_model_v1: MODEL_V1;
    knows_model_v2: &format!("{MODEL_V2}\npriority = 1\nresumable = true\nother_domains = true\n\
        split = {{ old_percent = 1, teams = {{}} }}");
    knows_service: &format!("{SERVICE}\nother_domains = true");
    knows_domain: DOMAIN;
    knows_team: &format!("{TEAM}\npriority = 1");
}

#[test]
fn misspelt_fields_are_reported_as_unknown() {
    let text = format!("{SERVICE}\nother_domain = true").replace("teams", "team");
    let document = Document::from_toml(&text).expect("document");
    let expected = ["other_domain", "split.team"].map(String::from);
    assert_eq!(document.unknown_fields(), Ok(expected.to_vec()));
}

/// Makes a valid record invalid and checks that the error message contains all words.
fn check_invalid(valid: &str, from: &str, to: &str, words: &[&str]) {
    assert!(read(valid).is_ok(), "the record is valid before the change");
    let text = valid.replacen(from, to, 1);
    assert_ne!(text, valid);
    let error = read(&text).expect_err("refused");
    for word in words {
        assert!(error.contains(word), "{word:?} is not in {error:?}");
    }
}

cases! { check_invalid;
    invalid_toml: DOMAIN, "schema = 1", "schema =", &["line 2"];
    no_kind: DOMAIN, "kind = \"domain\"", "", &["\"kind\"", "add kind"];
    unknown_kind: DOMAIN, "\"domain\"", "\"zone\"", &["\"zone\"", "use model, upstream"];
    no_schema: DOMAIN, "schema = 1", "", &["\"schema\"", "add schema"];
    schema_as_text: DOMAIN, "schema = 1", "schema = \"1\"", &["\"schema\"", "add schema"];
    newer_schema: DOMAIN, "schema = 1", "schema = 2", &["domain has schema 2", "up to 1"];
    schema_0: UPSTREAM_V2, "schema = 2", "schema = 0", &["schema 0", "write schema 2"];
    no_id: DOMAIN, "id = \"jkpg\"", "", &["missing field `id`", "add it"];
    slash_in_id: DOMAIN, "\"jkpg\"", "\"a/b\"", &["field \"id\"", "a/b", "use 1 to 128 letters"];
    id_of_dots_only: DOMAIN, "\"jkpg\"", "\"..\"", &["\"id\"", "write at least one letter"];
    unknown_state: DOMAIN, "\"out\"", "\"off\"", &["field \"state\"", "`serving` or `out`"];
    bad_address: UPSTREAM_V2, "10.0.0.1:80", "tally.example", &["field \"address\"", "socket address"];
    unspecified_address: UPSTREAM_V2, "10.0.0.1:80", "0.0.0.0:80", &["\"address\"", "own IP number"];
    port_0: UPSTREAM_V1, "10.0.0.1:80", "10.0.0.1:0", &["\"address\"", "port"];
    v1_limit_0: UPSTREAM_V1, "limit = 20", "limit = 0", &["\"limit\"", "at least 1"];
    v1_without_zone: UPSTREAM_V1, "zone", "failure_domain", &["missing field `zone`"];
    cold_limit_above_full_limit: UPSTREAM_V2, "cold_limit = 3", "cold_limit = 21", &["\"cold_limit\"", "1 to full_limit (20)"];
    cold_limit_0: MODEL_V2, "cold_limit = 2", "cold_limit = 0", &["\"cold_limit\"", "1 to full_limit"];
    v1_members_0: MODEL_V1, "members = 4", "members = 0", &["\"members\"", "at least 1"];
    v1_model_limit_0: MODEL_V1, "limit = 9", "limit = 0", &["\"limit\"", "at least 1"];
    vms_per_group_0: MODEL_V2, "vms_per_group = 4", "vms_per_group = 0", &["\"vms_per_group\"", "at least 1"];
    vms_per_group_above_u8: MODEL_V2, "vms_per_group = 4", "vms_per_group = 300", &["\"vms_per_group\"", "u8"];
    percent_above_100: SERVICE, "old_percent = 10", "old_percent = 101", &["\"split\"", "0 to 100"];
    team_percent_above_100: SERVICE, "gates = 100", "gates = 101", &["\"split\"", "0 to 100"];
    lower_case_method: SERVICE, "\"GET\"", "\"get\"", &["\"repeatable\"", "capitals"];
    empty_path_prefix: SERVICE, "\"/count\"", "\"\"", &["\"repeatable\"", "path_prefix"];
    short_hash: TEAM, "2cf2", "", &["\"key_hashes\"", "64 hex digits"];
    hash_with_sign: TEAM, "2cf2", "+cf2", &["\"key_hashes\"", "64 hex digits"];
    rate_without_unit: TEAM, "50/s", "50", &["\"rate\"", "with /s"];
}

#[test]
fn invalid_stamps_are_accepted() {
    let text =
        format!("{DOMAIN}\nrevision = -1\nchange = \"a b\"\noperator = 7\nrecent_changes = [1]");
    assert!(read(&text).is_ok());
    let mut document = Document::from_toml(&text).expect("document");
    let stored = document.clone();
    let change = "c".parse().expect("change");
    let operator = "ana".parse().expect("operator");
    let revision = document.stamp(Some(&stored), &change, &operator);
    assert_eq!(revision.expect("stamped").0, 1);
    assert_eq!(document.recent_changes(), [change]);
}
