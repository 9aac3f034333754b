//! Tickets through separate processes, with every node cut off from the platform.

use std::path::PathBuf;

use serde_json::Value;
use shallottide_e2e::{ClusterOptions, ProcessCluster};

/// Tickets fetched from each node.
const TICKETS: usize = 4;

fn started(name: &str) -> ProcessCluster {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let cluster = ProcessCluster::start(ClusterOptions::new(dir));
    cluster.wait_until_serving();
    for node in &cluster.nodes {
        node.platform_wire.sever();
    }
    cluster
}

fn tickets(cluster: &ProcessCluster, minter: usize) -> Vec<String> {
    let answer = cluster.nodes[minter].caller().tickets(TICKETS);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let body: Value = serde_json::from_str(&answer.body).expect("JSON");
    serde_json::from_value(body["tickets"].clone()).expect("tickets")
}

#[test]
fn tickets_run_once_through_any_node_without_the_platform() {
    let cluster = started("tickets");
    let refused = cluster.nodes[0].caller().book("no-ticket", 12);
    let refused = refused.expect("an answer");
    assert!(refused.body.contains("platform_down"), "{}", refused.body);
    for minter in 0..cluster.nodes.len() {
        for (number, ticket) in tickets(&cluster, minter).iter().enumerate() {
            let first = &cluster.nodes[number % cluster.nodes.len()];
            let booked = first.caller().book(ticket, 12).expect("an answer");
            assert_eq!(booked.status, 200, "{}", booked.body);
            for node in &cluster.nodes {
                let again = node.caller().repeat_booking(ticket, 12).expect("an answer");
                assert_eq!((again.status, &again.body), (200, &booked.body));
            }
            assert_eq!(cluster.runs_of(ticket), 1, "{ticket}");
        }
    }
    assert_eq!(cluster.runs_of("no-ticket"), 0);
}

#[test]
fn tickets_of_a_killed_node_run_no_more() {
    let mut cluster = started("tickets_killed");
    let minted = tickets(&cluster, 0);
    let caller = cluster.nodes[1].caller();
    let booked = caller.retry_until_served("booking", |caller| caller.book(&minted[0], 12));
    assert_eq!(booked.expect("an answer").status, 200);
    drop(cluster.nodes.remove(0));
    for ticket in &minted {
        let refused = caller.book(ticket, 12).expect("an answer");
        assert_eq!(refused.status, 503, "{}", refused.body);
        assert!(
            refused.body.contains("minter_unreachable"),
            "{}",
            refused.body
        );
        assert!(!refused.did_not_run(), "{}", refused.body);
    }
    assert_eq!(cluster.runs_of(&minted[0]), 1);
    assert_eq!(cluster.runs_of(&minted[1]), 0);
}
