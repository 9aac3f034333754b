//! Sample records of the demo, in both schema versions.

use std::net::SocketAddr;

/// Bearer key of the demo's team.
pub(crate) const TEAM_KEY: &str = "depot-demo-key";

/// Returns the records as TOML, in the order in which they are written.
pub(crate) fn sample_records(
    key_hash: &str,
    service: SocketAddr,
    vms_per_group: usize,
) -> Vec<String> {
    vec![
        r#"
            kind = "domain"
            schema = 1
            id = "jkpg"
            region = "se-south"
        "#
        .into(),
        format!(
            r#"
            kind = "team"
            schema = 1
            id = "depot"
            key_hashes = ["{key_hash}"]
            rate = "1000/s"
            max_in_flight = 500
            "#
        ),
        format!(
            r#"
            kind = "model"
            schema = 2
            id = "tide"
            vms_per_group = {vms_per_group}
            groups = {{ jkpg = 16 }}
            cold_limit = 8
            full_limit = 64
            resumable = true
            "#
        ),
        r#"
            kind = "service"
            schema = 1
            id = "bookings"
            repeatable = [{ method = "GET", path_prefix = "/" }]
        "#
        .into(),
        // Uses the older schema, which nodes accept beside the newer one.
        format!(
            r#"
            kind = "upstream"
            schema = 1
            id = "bookings-1"
            address = "{service}"
            zone = "jkpg"
            service = "bookings"
            limit = 64
            "#
        ),
    ]
}
