//! Records stay in force, and change, on all nodes of a cluster whose platform is restored from an
//! older copy.

mod config_cluster;

use std::time::Duration;

use config_cluster::Cluster;
use shallottide_types::cases;

/// Longest time until a change is in force on all nodes.
const APPLY_BOUND: Duration = Duration::from_secs(8);
/// Time until all nodes know each other and the records.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time after a restore until operators write again what was lost.
const REWRITE_DELAY: Duration = Duration::from_secs(1);

fn cluster(domains: usize, per_domain: usize) -> Cluster {
    let mut cluster = Cluster::new(domains, per_domain, 7);
    cluster.platform.put_upstream("u-1", 1);
    cluster.run(SETTLE_TIME);
    assert!(cluster.is_in_force("u-1", Some(1)));
    cluster
}

/// Guards against nodes that ignore all records after a restore, because their indexes are lower than
/// that of the state the nodes hold, and against records that are taken back or dropped until
/// operators have written them again.
fn changes_are_in_force_after_restores(domains: usize, per_domain: usize, restores: u32) {
    let mut cluster = cluster(domains, per_domain);
    for restore in 1..=restores {
        let version = restore * 10;
        let copy = cluster.platform.copy();
        cluster.platform.put_upstream("u-1", version);
        let added = format!("added-{restore}");
        cluster.platform.put_upstream(&added, 1);
        let done = cluster.run_until(APPLY_BOUND, |c| c.is_in_force("u-1", Some(version)));
        assert!(done.is_some());
        cluster.run(SETTLE_TIME);
        cluster.platform.restore(copy);
        // The cluster asserts after each message that no record reverts.
        cluster.run(REWRITE_DELAY);
        assert!(cluster.is_in_force(&added, Some(1)));
        cluster.platform.put_upstream("u-1", version);
        cluster.platform.put_upstream(&added, 1);
        cluster.run(SETTLE_TIME);
        assert!(cluster.is_in_force("u-1", Some(version)));
        cluster.platform.put_upstream("u-1", version + 1);
        let done = cluster.run_until(APPLY_BOUND, |c| c.is_in_force("u-1", Some(version + 1)));
        assert!(
            done.is_some(),
            "restore {restore}: a change is not in force"
        );
    }
}

cases! {
    changes_are_in_force_after_restores;
    two_nodes: 1, 2, 3;
    three_domains_of_four_nodes: 3, 4, 3;
    ten_domains_of_forty_nodes: 10, 40, 1;
}

/// Guards against a change that waits for the records of a restore that operators write late: what
/// they write in the later era counts as soon as the lost records must have been written again.
#[test]
fn change_during_the_rewrite_is_in_force_in_time() {
    let mut cluster = cluster(2, 3);
    let copy = cluster.platform.copy();
    cluster.platform.put_upstream("u-1", 2);
    cluster.run(SETTLE_TIME);
    cluster.platform.restore(copy);
    cluster.run(REWRITE_DELAY / 2);
    cluster.platform.put_upstream("u-1", 3);
    let done = cluster.run_until(APPLY_BOUND, |c| c.is_in_force("u-1", Some(3)));
    assert!(done.is_some());
}

/// Guards against a node that meets the restore late, and one that starts after it.
#[test]
fn late_and_new_nodes_follow_the_restored_platform() {
    let mut cluster = cluster(2, 3);
    let copy = cluster.platform.copy();
    cluster.platform.put_upstream("u-1", 2);
    cluster.platform.put_upstream("lost", 1);
    cluster.run(SETTLE_TIME);
    cluster.nodes[1].paused = true;
    cluster.platform.restore(copy);
    cluster.platform.put_upstream("u-1", 3);
    cluster.run(SETTLE_TIME);
    cluster.nodes[1].paused = false;
    cluster.restart(4);
    let done = cluster.run_until(APPLY_BOUND, |c| {
        c.is_in_force("u-1", Some(3)) && c.is_in_force("lost", None)
    });
    assert!(done.is_some());
}
