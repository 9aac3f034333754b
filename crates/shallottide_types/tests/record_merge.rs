//! Merging a written document into the stored one keeps the fields that the writer doesn't know.

use shallottide_types::cases;
use shallottide_types::record::{Document, Record, RecordError};
use shallottide_types::{id::ChangeId, id::OperatorId};

const V2: &str = r#"{"kind":"upstream","schema":2,"id":"t","address":"10.0.0.1:80",
    "failure_domain":"jkpg","service":"tally","cold_limit":5,"full_limit":20,
    "generation":"new","state":"leaving","newer":{"x":1}}"#;
const V1: &str = r#"{"kind":"upstream","schema":1,"id":"t","address":"10.0.0.1:80",
    "zone":"jkpg","service":"tally","limit":20,"leaving":true,"newer":{"x":1}}"#;
const MODEL_V2: &str = r#"{"kind":"model","schema":2,"id":"m","vms_per_group":4,
    "groups":{"jkpg":3,"vmo":1},"cold_limit":2,"full_limit":9,"priority":7,"resumable":true,
    "other_domains":true,"split":{"old_percent":10,"teams":{"gates":100},"newer":1},"newer":2}"#;
const SERVICE: &str = r#"{"kind":"service","schema":1,"id":"s","other_domains":true,
    "repeatable":[{"method":"GET","path_prefix":"/a","newer":1},
                  {"method":"GET","path_prefix":"/b","newer":2}],
    "split":{"old_percent":10,"newer":1}}"#;

fn document(text: &str) -> Document {
    Document::from_json(text.as_bytes()).expect("document")
}

/// Merges `written` into `stored` and compares all fields except `kind` and `id`.
fn check(stored: &str, written: &str, expected: &str) {
    let (stored, written) = (document(stored), document(written));
    assert!(
        Record::from_document(&written).is_ok(),
        "the written record is valid"
    );
    let merged = written.merged_onto(&stored).expect("merged");
    Record::from_document(&merged).expect("the result is valid");
    let mut fields = merged.fields().clone();
    fields.remove("kind");
    fields.remove("id");
    assert_eq!(&fields, document(expected).fields());
}

cases! { check;
    old_writer_keeps_newer_fields: V2,
        r#"{"kind":"upstream","schema":1,"id":"t","address":"10.0.0.2:80","zone":"vmo",
            "service":"tally","limit":30,"leaving":false}"#,
        r#"{"schema":2,"address":"10.0.0.2:80","failure_domain":"vmo","service":"tally",
            "cold_limit":5,"full_limit":30,"generation":"new","state":"serving","newer":{"x":1}}"#;
    old_writer_with_low_limit_lowers_cold_limit: V2,
        r#"{"kind":"upstream","schema":1,"id":"t","address":"10.0.0.1:80","zone":"jkpg",
            "service":"tally","limit":3}"#,
        r#"{"schema":2,"address":"10.0.0.1:80","failure_domain":"jkpg","service":"tally",
            "cold_limit":3,"full_limit":3,"generation":"new","state":"leaving","newer":{"x":1}}"#;
    new_writer_upgrades_the_schema: V1,
        r#"{"kind":"upstream","schema":2,"id":"t","address":"10.0.0.1:80","failure_domain":"vmo",
            "service":"tally","cold_limit":4,"full_limit":30}"#,
        r#"{"schema":2,"address":"10.0.0.1:80","failure_domain":"vmo","service":"tally",
            "cold_limit":4,"full_limit":30,"state":"leaving","newer":{"x":1}}"#;
    same_schema_removes_omitted_fields: V2,
        r#"{"kind":"upstream","schema":2,"id":"t","address":"10.0.0.1:80","failure_domain":"vmo",
            "service":"tally","cold_limit":4,"full_limit":30}"#,
        r#"{"schema":2,"address":"10.0.0.1:80","failure_domain":"vmo","service":"tally",
            "cold_limit":4,"full_limit":30,"state":"leaving","newer":{"x":1}}"#;
    old_schema_stays_old: V1,
        r#"{"kind":"upstream","schema":1,"id":"t","address":"10.0.0.9:80","zone":"jkpg",
            "service":"tally","limit":20}"#,
        r#"{"schema":1,"address":"10.0.0.9:80","zone":"jkpg","service":"tally","limit":20,
            "leaving":true,"newer":{"x":1}}"#;
    old_model_writer_keeps_newer_fields: MODEL_V2,
        r#"{"kind":"model","schema":1,"id":"m","members":2,"zones":["hlm"],"copies":6,"limit":8}"#,
        r#"{"schema":2,"vms_per_group":2,"groups":{"hlm":6},"cold_limit":2,"full_limit":8,
            "priority":7,"resumable":true,"other_domains":true,
            "split":{"old_percent":10,"teams":{"gates":100},"newer":1},"newer":2}"#;
    split_keeps_unknown_fields_and_removes_omitted_team: MODEL_V2,
        r#"{"kind":"model","schema":2,"id":"m","vms_per_group":4,"groups":{"jkpg":3},
            "cold_limit":2,"full_limit":9,"split":{"old_percent":0}}"#,
        r#"{"schema":2,"vms_per_group":4,"groups":{"jkpg":3},"cold_limit":2,"full_limit":9,
            "split":{"old_percent":0,"newer":1},"newer":2}"#;
    rules_keep_unknown_fields_when_reordered: SERVICE,
        r#"{"kind":"service","schema":1,"id":"s",
            "repeatable":[{"method":"GET","path_prefix":"/b"},{"method":"PUT","path_prefix":"/a"}]}"#,
        r#"{"schema":1,"repeatable":[{"method":"GET","path_prefix":"/b","newer":2},
            {"method":"PUT","path_prefix":"/a"}]}"#;
    taken_out_domain_stays_out:
        r#"{"kind":"domain","schema":1,"id":"jkpg","region":"a","state":"out"}"#,
        r#"{"kind":"domain","schema":1,"id":"jkpg","region":"b"}"#,
        r#"{"schema":1,"region":"b","state":"out"}"#;
    stamps_of_the_written_document_are_ignored:
        r#"{"kind":"domain","schema":1,"id":"jkpg","region":"a","revision":4,"change":"c"}"#,
        r#"{"kind":"domain","schema":1,"id":"jkpg","region":"b","revision":9,"operator":"o"}"#,
        r#"{"schema":1,"region":"b"}"#;
}

#[test]
fn stored_schema_beyond_this_program_is_refused() {
    let stored = document(&V2.replace("\"schema\":2", "\"schema\":3"));
    let error = document(V2).merged_onto(&stored).expect_err("refused");
    assert!(matches!(
        error,
        RecordError::StoredNewer {
            found: 3,
            newest: 2,
            ..
        }
    ));
    assert!(error.to_string().contains("use a newer program"), "{error}");
}

#[test]
fn stamp_increments_revision_and_lists_last_eight_changes() {
    let operator: OperatorId = "ana".parse().expect("operator");
    let mut stored = document(V2);
    for number in 1..=10 {
        let change: ChangeId = format!("c-{number}").parse().expect("change");
        let mut next = document(V2);
        let revision = next
            .stamp(Some(&stored), &change, &operator)
            .expect("stamp");
        assert_eq!(revision.0, number);
        stored = next;
    }
    let recent = stored.recent_changes();
    assert_eq!(
        (recent.len(), recent[0].as_str(), recent[7].as_str()),
        (8, "c-3", "c-10")
    );
    assert_eq!(stored.change().as_ref(), recent.last());
    assert!(stored.has_same_content(&document(V2)));
}

#[test]
fn maximum_revision_is_refused() {
    let mut stored = document(V2);
    stored.set(Document::REVISION, u64::MAX);
    let change = "c".parse().expect("change");
    let result = document(V2).stamp(Some(&stored), &change, &"ana".parse().expect("operator"));
    assert!(
        result
            .expect_err("refused")
            .to_string()
            .contains("revision")
    );
}
