//! Sample records of a process cluster.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::ClusterOptions;
use shallottide_types::record::{Document, KeyHash, Record};

/// Bearer key of the cluster's team.
pub const TEAM_KEY: &str = "depot-key";

/// Returns the documents of all records, as TOML.
pub(crate) fn record_documents(
    options: &ClusterOptions,
    domains: &[String],
    services: &[SocketAddr],
) -> Vec<String> {
    let ClusterOptions {
        vms_per_group,
        groups_per_domain,
        ..
    } = options;
    let key_hash = KeyHash::of(TEAM_KEY);
    let mut groups = String::new();
    for domain in domains {
        let _ = write!(groups, "{domain} = {groups_per_domain}, ");
    }
    let groups = groups.trim_end_matches(", ");
    let mut records = vec![
        format!(
            r#"
            kind = "team"
            schema = 1
            id = "depot"
            key_hashes = ["{key_hash}"]
            rate = "100000/s"
            max_in_flight = 100000
            "#
        ),
        format!(
            r#"
            kind = "model"
            schema = 2
            id = "tide"
            vms_per_group = {vms_per_group}
            groups = {{ {groups} }}
            cold_limit = 8
            full_limit = 64
            resumable = true
            other_domains = true
            "#
        ),
        r#"
            kind = "service"
            schema = 1
            id = "bookings"
            repeatable = [{ method = "GET", path_prefix = "/" }]
            other_domains = true
        "#
        .into(),
    ];
    records.extend(domains.iter().map(|domain| domain_record(domain)));
    let service_domains = domains.iter().cycle();
    records.extend(services.iter().zip(service_domains).enumerate().map(
        |(number, (address, domain))| {
            format!(
                r#"
            kind = "upstream"
            schema = 2
            id = "bookings-{number}"
            address = "{address}"
            failure_domain = "{domain}"
            service = "bookings"
            cold_limit = 8
            full_limit = 64
            "#
            )
        },
    ));
    records
}

fn domain_record(domain: &str) -> String {
    format!(
        r#"
        kind = "domain"
        schema = 1
        id = "{domain}"
        region = "se-south"
        "#
    )
}

/// Returns the platform key and value of a record in TOML.
pub(crate) fn store_entry(toml: &str) -> (String, Vec<u8>) {
    let mut document = Document::from_toml(toml).expect("a sample record is valid TOML");
    document.set(Document::REVISION, 1);
    let record = Record::from_document(&document).expect("a sample record is valid");
    (record.store_key(), document.to_json())
}
