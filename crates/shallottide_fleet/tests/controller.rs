//! Stewards form groups, replace lost members and keep their promises whatever goes wrong.

mod support;

use std::time::Duration;

use shallottide_types::cases;
use support::{Engines, Mischief};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn all_engines_of_a_new_deployment_serve() {
    let mut engines = Engines::start(2, 10, Mischief::default(), 1);
    engines.run(8 * SECOND);
    let servers = engines.serving("large").len() * 4 + engines.serving("small").len() * 2;
    assert_eq!(servers, 20);
    assert!(engines.serving("large").len() >= 2);
    assert!(engines.serving("small").len() >= 4);
}

/// Pattern: a member of a large group dies, and a pair of the small model has to make up for it.
#[test]
fn a_lost_member_is_replaced_within_seconds_once_weights_are_staged() {
    let mut engines = Engines::start(1, 10, Mischief::default(), 2);
    engines.run(20 * SECOND);
    engines.traffic = true;
    let before = engines.serving("large").len();
    assert!(before >= 1);
    let head = engines.serving("large")[0].clone();
    let lost = engines.members(&head)[2].clone();
    engines.kill(&lost);
    engines.run(9 * SECOND);
    let after = engines.serving("large").len();
    assert!(
        after >= before,
        "{before} large groups before, {after} after"
    );
}

/// Pattern: a steward that starts in the middle of a day has heard of no demand yet, and the
/// operators' shares differ from it.
#[test]
fn no_group_ends_for_another_model_while_the_demand_is_not_known() {
    let mut engines = Engines::start(1, 10, Mischief::default(), 2);
    engines.run(20 * SECOND);
    engines.traffic = true;
    engines.work = None;
    let pairs = engines.serving("small").len();
    let head = engines.serving("large")[0].clone();
    let lost = engines.members(&head)[2].clone();
    engines.kill(&lost);
    engines.run(9 * SECOND);
    assert!(engines.serving("small").len() >= pairs);
}

/// Pattern: new VMs without any weights must not keep warm ones waiting for their load.
#[test]
fn a_warm_engine_is_not_kept_waiting_for_a_cold_one() {
    let mut engines = Engines::start(1, 4, Mischief::default(), 3);
    engines.run(10 * SECOND);
    engines.traffic = true;
    let pairs = engines.serving("small").len();
    let fours = engines.serving("large").len();
    engines.add(0);
    engines.add(0);
    engines.run(4 * SECOND);
    assert_eq!(engines.serving("small").len(), pairs);
    assert_eq!(engines.serving("large").len(), fours);
    engines.run(26 * SECOND);
    let servers = engines.serving("large").len() * 4 + engines.serving("small").len() * 2;
    assert_eq!(
        servers, 6,
        "the new engines serve after their weights are staged"
    );
}

/// Pattern: a dead head is replaced only when it surely serves nobody.
#[test]
fn members_of_a_dead_head_serve_again() {
    let mut engines = Engines::start(1, 4, Mischief::default(), 4);
    engines.run(20 * SECOND);
    engines.traffic = true;
    let heads = [engines.serving("small"), engines.serving("large")].concat();
    engines.kill(&heads[0]);
    engines.run(15 * SECOND);
    let servers = engines.serving("large").len() * 4 + engines.serving("small").len() * 2;
    assert!(servers >= 2, "{servers} engines serve");
}

fn loads_stay_below_the_ceiling(late_orders: f64, seed: u64) {
    let mischief = Mischief {
        late_orders,
        deaths: 0.01,
        ..Mischief::default()
    };
    let mut engines = Engines::start(2, 10, mischief, seed);
    engines.run(10 * SECOND);
    engines.traffic = true;
    engines.loads.clear();
    for _ in 0..10 {
        engines.add(0);
        engines.add(1);
        engines.run(3 * SECOND);
    }
    // 5 loads a second, over 5 s, with a tenth more and 3 besides.
    let most = engines.most_loads_within(5 * SECOND);
    assert!(most <= 30, "{most} loads began within 5 s");
}

cases! {
    loads_stay_below_the_ceiling;
    loads_when_orders_are_answered: 0.0, 1;
    loads_when_a_third_of_the_orders_come_late: 0.35, 2;
}

/// Checks the promises over a long time; the engines assert them.
fn promises_hold(mischief: Mischief, seeds: u64) {
    for seed in 0..seeds {
        let mut engines = Engines::start(2, 10, mischief, seed);
        engines.run(10 * SECOND);
        engines.traffic = true;
        for step in 0..12 {
            engines.add(step % 2);
            engines.run(5 * SECOND);
        }
    }
}

cases! {
    promises_hold;
    promises_with_deaths: Mischief { deaths: 0.01, ..Mischief::default() }, 12;
    promises_with_restarts: Mischief { restarts: 0.02, ..Mischief::default() }, 12;
    promises_with_late_orders: Mischief { late_orders: 0.35, deaths: 0.01, ..Mischief::default() }, 12;
    promises_with_takeovers: Mischief { takeovers: 0.15, deaths: 0.01, ..Mischief::default() }, 12;
    promises_with_cut_engines: Mischief { cuts: 0.02, deaths: 0.005, ..Mischief::default() }, 12;
    promises_with_a_steward_cut_off: Mischief {
        steward_cuts: 0.1, cuts: 0.01, ..Mischief::default()
    }, 12;
    promises_with_old_entries: Mischief {
        takeovers: 0.15, old_entries: 0.3, ..Mischief::default()
    }, 12;
    promises_with_all: Mischief {
        late_orders: 0.3, deaths: 0.008, restarts: 0.01, takeovers: 0.1, cuts: 0.01,
        old_entries: 0.1, steward_cuts: 0.05,
    }, 24;
}
