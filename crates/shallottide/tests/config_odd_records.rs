//! Odd records of other writers among the operators' records.

mod config_cluster;

use std::time::Duration;

use config_cluster::{Cluster, upstream_json};
use shallottide_types::cases;

/// Time within which a change must be in force on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);
const UPSTREAM: &str = "tally-1";

fn wait_until_in_force(cluster: &mut Cluster, upstream: &str, limit: Option<u32>) {
    let elapsed = cluster.run_until(CONVERGENCE_TIMEOUT, |c| c.is_in_force(upstream, limit));
    assert!(elapsed.is_some(), "{upstream} {limit:?} not in force");
}

/// Guards against an odd record that ends the nodes which read it, or keeps them from following the
/// others: at the start, by a watch, and when a peer passes it on to a node that starts again.
fn odd_record_leaves_the_others_in_force(key: &str, value: &[u8]) {
    let mut cluster = Cluster::new(2, 3, 7);
    cluster.platform.put_upstream(UPSTREAM, 5);
    cluster.platform.put(key, value.to_vec());
    wait_until_in_force(&mut cluster, UPSTREAM, Some(5));
    cluster.platform.put(&format!("{key}-2"), value.to_vec());
    cluster.platform.put(key, value.to_vec());
    cluster.platform.put_upstream(UPSTREAM, 6);
    cluster.platform.put_upstream("tally-2", 3);
    wait_until_in_force(&mut cluster, UPSTREAM, Some(6));
    wait_until_in_force(&mut cluster, "tally-2", Some(3));
    cluster.restart(2);
    wait_until_in_force(&mut cluster, UPSTREAM, Some(6));
    cluster.platform.delete("records/upstream/tally-2");
    wait_until_in_force(&mut cluster, "tally-2", None);
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Returns a record with one field more, or a field given twice.
fn record(field: &str) -> Vec<u8> {
    let json = upstream_json("odd", 4);
    json.replacen('{', &format!("{{{field},"), 1).into_bytes()
}

fn record_with(from: &str, to: &str) -> Vec<u8> {
    let json = upstream_json("odd", 4);
    assert!(json.contains(from), "{from}");
    json.replacen(from, to, 1).into_bytes()
}

const KEY: &str = "records/upstream/odd";

cases! {
    odd_record_leaves_the_others_in_force;
    record_that_is_deeply_nested: KEY, nested(100_000).as_bytes();
    record_with_a_deeply_nested_field: KEY, &record(&format!(r#""future":{}"#, nested(100_000)));
    record_with_a_field_nested_up_to_the_limit: KEY, &record(&format!(r#""future":{}"#, nested(120)));
    record_with_an_infinite_number: KEY, &record_with(r#""full_limit":4"#, r#""full_limit":1e400"#);
    record_with_a_number_out_of_range: KEY, &record_with(r#""full_limit":4"#, r#""full_limit":4294967296"#);
    record_with_the_highest_limits: KEY, &record_with(r#""cold_limit":1,"full_limit":4"#, r#""cold_limit":4294967295,"full_limit":4294967295"#);
    record_with_the_highest_schema: KEY, &record_with(r#""schema":2"#, r#""schema":18446744073709551615"#);
    record_with_the_highest_revision: KEY, &record(r#""revision":18446744073709551615"#);
    record_with_a_port_out_of_range: KEY, &record_with(":80", ":70000");
    record_with_port_zero: KEY, &record_with(":80", ":0");
    record_with_a_long_service: KEY, &record_with("tally-core", &"x".repeat(1 << 20));
    record_with_another_type: KEY, &record_with(r#""10.0.0.1:80""#, "[10]");
    record_that_is_null: KEY, b"null";
    record_that_is_empty: KEY, b"";
    record_that_is_not_utf8: KEY, b"{\"kind\":\"\xff\xfe\"}";
    record_of_an_unknown_kind: "records/nothing/odd", &record_with(r#""kind":"upstream""#, r#""kind":"nothing""#);
    record_of_an_id_that_is_not_ascii: "records/upstream/\u{e9}\u{1f980} &?#%", &record(r#""x":1"#);
    model_with_the_highest_numbers: "records/model/odd", br#"{"kind":"model","schema":2,"id":"odd",
        "vms_per_group":255,"groups":{"domain-0":4294967295,"domain-1":4294967295},"cold_limit":4294967295,
        "full_limit":4294967295,"priority":255,"split":{"old_percent":255}}"#;
    node_entry_with_a_port_out_of_range: "nodes/domain-0/odd", br#"{"node":"odd","incarnation":1,"domain":"domain-0","address":"127.0.0.1:70000","stopping":false}"#;
    node_entry_with_the_highest_incarnation: "nodes/domain-0/odd", br#"{"node":"odd","incarnation":18446744073709551615,"domain":"domain-0","address":"127.0.0.1:10005","stopping":false}"#;
    node_entry_that_is_deeply_nested: "nodes/domain-0/odd", nested(100_000).as_bytes();
}
