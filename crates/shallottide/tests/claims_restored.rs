//! Keyed calls run at most once although the platform is restored from a copy that lacks their claims.

mod call_support;

use std::time::Duration;

use call_support::test_cluster::TestCluster;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use shallottide::claims::ClaimOptions;
use shallottide_types::call::ReplyEvent;
use shallottide_types::cases;

const NODES: usize = 3;
const KEYS: usize = 60;

fn complete_answers(cluster: &TestCluster) -> usize {
    let replies = cluster.replies.values();
    replies
        .filter(|events| events.ends_with(&[ReplyEvent::End]))
        .count()
}

/// Guards against a call that runs again because the claim of its key was lost in a restore: nodes that
/// know the claim write it again before they grant any other of its partition.
///
/// Retries come `pause` after the restore.
fn retried_keys_run_once(pause: Duration) {
    let mut cluster = TestCluster::new(NODES, ClaimOptions::default());
    let copy = cluster.platform.copy();
    cluster.book_many("key", KEYS);
    cluster.advance_time(Duration::from_secs(5));
    assert_eq!(cluster.runs_by_key.len(), KEYS);
    cluster.platform.restore(copy);
    cluster.advance_time(pause);
    // Writes after the restore replace what nodes have cached of the claims.
    cluster.book_many("new", KEYS);
    cluster.advance_time(Duration::from_secs(5));
    assert_eq!(cluster.runs_by_key.len(), 2 * KEYS, "new keys are served");
    for number in 0..KEYS {
        // Another node than the one of the first booking.
        cluster.book((number + 1) % NODES, &format!("key-{number}"));
    }
    cluster.advance_time(Duration::from_secs(20));
    cluster.check_invariants();
    cluster.check_idle();
    assert_eq!(
        complete_answers(&cluster),
        3 * KEYS,
        "retries get the answer"
    );
}

cases! {
    retried_keys_run_once;
    retried_at_once: Duration::ZERO;
    retried_later: Duration::from_secs(30);
}

/// Guards against the same with restores at any moment of bookings and retries.
fn keys_run_once_over_random_restores(seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut cluster = TestCluster::new(NODES, ClaimOptions::default());
    let mut copies = vec![cluster.platform.copy()];
    for step in 0..1_500_u32 {
        match rng.random_range(0..100) {
            0..50 => {
                for _ in 0..rng.random_range(1..10) {
                    if let Some(event) = cluster.next_event() {
                        cluster.process(event);
                    }
                }
            }
            50..70 => {
                let node = rng.random_range(0..NODES);
                let key = step / 20 + rng.random_range(0..4);
                cluster.book(node, &format!("key-{key}"));
            }
            70..94 => {
                let ms = rng.random_range(1..400);
                cluster.clock.advance(Duration::from_millis(ms));
                cluster.tick();
            }
            94..98 => copies.push(cluster.platform.copy()),
            _ => {
                let first = copies.len().saturating_sub(5);
                let at = rng.random_range(first..copies.len());
                let copy = copies.swap_remove(at);
                cluster.platform.restore(copy);
                copies.truncate(at);
                copies.push(cluster.platform.copy());
            }
        }
        cluster.check_invariants();
    }
    cluster.advance_time(Duration::from_mins(1));
    cluster.check_invariants();
    cluster.check_idle();
    assert!(cluster.runs_by_key.len() > 30, "too few calls ran");
}

cases! {
    keys_run_once_over_random_restores;
    random_restores_1: 1;
    random_restores_2: 2;
    random_restores_3: 3;
    random_restores_4: 4;
    random_restores_5: 5;
    random_restores_6: 6;
    random_restores_7: 7;
    random_restores_8: 8;
}
