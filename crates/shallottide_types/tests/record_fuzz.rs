//! Fuzz tests: reading random records never panics, and no field is lost in a round trip
//! or a merge.

use bolero::check;
use shallottide_types::record::{Document, Record};

const ITERATIONS: usize = 20_000;

/// Fields to build random documents from, so that many of them are valid records.
const FIELDS: [&str; 24] = [
    r#""kind":"model""#,
    r#""kind":"upstream""#,
    r#""kind":"service""#,
    r#""kind":"domain""#,
    r#""kind":"team""#,
    r#""schema":1"#,
    r#""schema":2"#,
    r#""schema":-3"#,
    r#""id":"a""#,
    r#""id":"..""#,
    r#""zone":"z""#,
    r#""failure_domain":"z""#,
    r#""address":"10.0.0.1:80""#,
    r#""service":"s""#,
    r#""limit":4"#,
    r#""cold_limit":2"#,
    r#""full_limit":4"#,
    r#""state":"leaving""#,
    r#""revision":18446744073709551615"#,
    r#""region":"r""#,
    r#""members":1,"zones":["z"],"copies":2"#,
    r#""split":{"old_percent":3,"x":[1.25]}"#,
    r#""vms_per_group":1,"groups":{"z":1}"#,
    r#""newer":{"deep":[null,0.1,"\u0000"]}"#,
];

fn document_from(picks: &[u8]) -> Document {
    let fields: Vec<_> = picks
        .iter()
        .map(|&pick| FIELDS[usize::from(pick) % FIELDS.len()])
        .collect();
    Document::from_json(format!("{{{}}}", fields.join(",")).as_bytes()).expect("JSON object")
}

#[test]
fn bytes_as_json_never_panic() {
    check!()
        .with_iterations(ITERATIONS)
        .for_each(|bytes: &[u8]| {
            if let Ok(document) = Document::from_json(bytes) {
                let _ = Record::from_document(&document);
                assert_eq!(Document::from_json(&document.to_json()), Ok(document));
            }
        });
}

#[test]
fn text_as_toml_never_panics() {
    check!()
        .with_iterations(ITERATIONS)
        .with_type::<String>()
        .for_each(|text| {
            if let Ok(document) = Document::from_toml(text) {
                let _ = Record::from_document(&document);
                assert_eq!(Document::from_json(&document.to_json()), Ok(document));
            }
        });
}

#[test]
fn random_records_round_trip() {
    check!()
        .with_iterations(ITERATIONS)
        .for_each(|picks: &[u8]| {
            let document = document_from(picks);
            let _ = Record::from_document(&document);
            let _ = document.unknown_fields();
            let read = Document::from_json(&document.to_json()).expect("own JSON");
            assert_eq!(read, document);
        });
}

#[test]
fn merge_of_random_documents_keeps_unknown_fields() {
    let picks = check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<u8>, Vec<u8>)>();
    picks.for_each(|(stored, written)| {
        let (stored, written) = (document_from(stored), document_from(written));
        let Ok(merged) = written.merged_onto(&stored) else {
            return;
        };
        let newer = written
            .fields()
            .get("newer")
            .or(stored.fields().get("newer"));
        assert_eq!(merged.fields().get("newer"), newer);
        assert!(merged.schema().ok() >= stored.schema().ok());
    });
}

#[test]
fn numbers_round_trip() {
    let numbers = check!()
        .with_iterations(ITERATIONS)
        .with_type::<(f64, i64)>();
    numbers.for_each(|&(float, integer)| {
        let mut document = document_from(&[]);
        document.set("float", float);
        document.set("integer", integer);
        assert_eq!(Document::from_json(&document.to_json()), Ok(document));
    });
}

#[test]
fn toml_dates_become_text() {
    let document = Document::from_toml("since = 2026-12-04T10:00:00Z").expect("TOML");
    assert_eq!(document.fields()["since"], "2026-12-04T10:00:00Z");
}

#[test]
fn toml_nan_is_refused() {
    let error = Document::from_toml("a = [nan]").expect_err("refused");
    assert!(error.to_string().contains("NaN is no number"), "{error}");
}
