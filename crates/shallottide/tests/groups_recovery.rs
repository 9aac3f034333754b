//! Formation and recovery of groups under faults.
//!
//! The bench checks on every step that no VM is in two groups and that no group counts as
//! complete without all its members.

mod group_support;

use std::time::Duration;

use group_support::{Bench, model, node_ids, upstream, vms};
use shallottide_types::cases;
use shallottide_types::id::FencingToken;
use shallottide_types::peer::{PeerMsg, ReportCopy};
use shallottide_types::placement::Placement;
use shallottide_types::record::Record;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Two groups of four VMs before ten, six of them in one fabric domain.
fn bench(nodes: usize, fences_orders: bool) -> Bench {
    let records = vec![
        Record::Model(model("tide", 4, 2, 1)),
        Record::Upstream(upstream("depot-1", "depot")),
    ];
    let mut vms = vms(&[("rack-a", 6), ("rack-b", 4)]);
    for vm in &mut vms {
        vm.fences_orders = fences_orders;
    }
    Bench::new(nodes, vms, records)
}

fn started() -> Bench {
    let mut bench = bench(3, true);
    bench.run(secs(10));
    assert_eq!(bench.serving(), 2, "both groups serve before the fault");
    bench
}

fn placed(bench: &Bench) -> Placement {
    bench.placement().expect("a placement is stored")
}

/// The numbers of the first group's members among the VMs.
fn members(bench: &Bench, group: usize) -> Vec<usize> {
    let placement = placed(bench);
    let group = placement.groups.values().nth(group).expect("two groups");
    let number = |vm: &shallottide_types::id::VmId| vm.as_str()[3..].parse().expect("number");
    group.members.iter().map(number).collect()
}

/// The group in the fabric domain that has spares.
fn group_with_spares(bench: &Bench) -> Vec<usize> {
    let groups = [members(bench, 0), members(bench, 1)];
    groups
        .into_iter()
        .find(|group| group[0] < 6)
        .expect("one in rack-a")
}

/// Starts, brings a fault about, and tells how many groups serve after a time.
fn serves_after(fault: fn(&mut Bench), time: Duration, serving: usize) {
    let mut bench = started();
    fault(&mut bench);
    bench.run(time);
    assert_eq!(bench.serving(), serving);
}

fn member_dies(bench: &mut Bench) {
    let vm = group_with_spares(bench)[1];
    bench.engine(vm).dead = true;
}

fn first_member_dies(bench: &mut Bench) {
    let vm = group_with_spares(bench)[0];
    bench.engine(vm).dead = true;
}

fn member_dies_without_spare(bench: &mut Bench) {
    bench.engine(9).dead = true;
}

fn member_restarts(bench: &mut Bench) {
    let vm = group_with_spares(bench)[2];
    bench.engine(vm).restart();
}

fn member_pauses(bench: &mut Bench) {
    let vm = group_with_spares(bench)[0];
    let fence = placed(bench).fencing_token;
    bench.engine(vm).dead = true;
    bench.run(secs(4));
    bench.engine(vm).dead = false;
    bench.run(secs(4));
    assert_eq!(
        placed(bench).fencing_token,
        fence,
        "a short pause moves nothing"
    );
}

fn fabric_domain_goes_dark(bench: &mut Bench) {
    for vm in 6..10 {
        bench.engine(vm).dead = true;
    }
}

fn fabric_domain_returns(bench: &mut Bench) {
    fabric_domain_goes_dark(bench);
    bench.run(secs(30));
    for vm in 6..10 {
        bench.engine(vm).restart();
    }
}

fn member_returns_with_old_state(bench: &mut Bench) {
    let vm = group_with_spares(bench)[0];
    bench.engine(vm).dead = true;
    bench.run(secs(30));
    bench.engine(vm).dead = false;
    bench.run(secs(20));
    assert!(bench.engine(vm).assignment.is_none(), "it was released");
}

fn member_leaves(bench: &mut Bench) {
    let vm = group_with_spares(bench)[0];
    bench.change_vm(vm, |vm| vm.leaving = true);
}

fn dispatcher_dies(bench: &mut Bench) {
    let placement = placed(bench);
    let group = placement.groups.values().next().expect("two groups");
    bench.node(&group.dispatcher.clone()).down = true;
}

fn controller_dies(bench: &mut Bench) {
    let controller = bench.controller();
    bench.node(&controller).down = true;
    member_dies(bench);
}

fn controller_is_cut_from_platform(bench: &mut Bench) {
    let controller = bench.controller();
    bench.node(&controller).cut_off.platform = true;
    member_dies(bench);
}

fn platform_goes_down(bench: &mut Bench) {
    bench.platform.change_faults(|faults| faults.down = true);
}

fn platform_goes_down_and_member_dies(bench: &mut Bench) {
    platform_goes_down(bench);
    bench.run(secs(20));
    member_dies(bench);
}

fn platform_returns_after_member_died(bench: &mut Bench) {
    platform_goes_down_and_member_dies(bench);
    bench.run(secs(20));
    bench.platform.change_faults(|faults| faults.down = false);
}

fn answers_are_lost(bench: &mut Bench) {
    bench
        .platform
        .change_faults(|faults| faults.lose_answers = 6);
    member_dies(bench);
}

fn writes_are_lost(bench: &mut Bench) {
    bench
        .platform
        .change_faults(|faults| faults.lose_writes = 6);
    member_dies(bench);
}

cases! {
    serves_after;
    spare_replaces_dead_member: member_dies, secs(20), 2;
    spare_replaces_dead_first_member: first_member_dies, secs(20), 2;
    group_without_spare_waits: member_dies_without_spare, secs(20), 1;
    restarted_member_is_ordered_again: member_restarts, secs(10), 2;
    short_pause_keeps_group: member_pauses, secs(2), 2;
    dark_fabric_domain_stops_its_group: fabric_domain_goes_dark, secs(4), 1;
    dark_fabric_domain_returns: fabric_domain_returns, secs(20), 2;
    returning_member_is_released: member_returns_with_old_state, secs(1), 2;
    leaving_member_is_replaced: member_leaves, secs(25), 2;
    groups_of_dead_dispatcher_move: dispatcher_dies, secs(15), 2;
    second_candidate_takes_over: controller_dies, secs(40), 2;
    cut_off_controller_is_replaced: controller_is_cut_from_platform, secs(40), 2;
    outage_keeps_service: platform_goes_down, secs(120), 2;
    member_death_in_outage_stops_its_group: platform_goes_down_and_member_dies, secs(4), 1;
    outage_ends_and_group_recovers: platform_returns_after_member_died, secs(40), 2;
    lost_answers_delay_recovery: answers_are_lost, secs(60), 2;
    lost_writes_delay_recovery: writes_are_lost, secs(60), 2;
}

/// A controller paused past its lease comes back with orders that were held on the way.
fn late_orders_change_nothing(fences_orders: bool, reverse: bool) {
    let mut bench = bench(3, fences_orders);
    bench.run(secs(25));
    assert_eq!(bench.serving(), 2);
    let old = bench.controller();
    bench.node(&old).hold_orders = true;
    member_dies(&mut bench);
    bench.run(secs(9));
    bench.node(&old).down = true;
    // The session lapses; the other candidate waits out what may still arrive.
    bench.run(secs(11));
    let held = bench.release_orders(&old, reverse);
    assert!(held > 0, "the old controller had sent orders");
    bench.node(&old).down = false;
    bench.run(secs(40));
    assert_ne!(bench.controller(), old);
    assert_eq!(bench.serving(), 2);
}

cases! {
    late_orders_change_nothing;
    late_orders_to_fencing_engines: true, false;
    late_orders_reversed_to_fencing_engines: true, true;
    late_orders_to_engines_that_ignore_fences: false, false;
    late_orders_reversed_to_engines_that_ignore_fences: false, true;
}

/// Engines that ignore fences get no order until the last holder's orders have ended.
#[test]
fn new_controller_waits_out_old_orders() {
    let mut bench = bench(3, false);
    bench.run(secs(25));
    assert_eq!(bench.serving(), 2);
    let old = bench.controller();
    bench.node(&old).down = true;
    member_dies(&mut bench);
    while bench.controller_or_none().is_none_or(|node| node == old) {
        bench.step();
    }
    let obeyed = |bench: &Bench| {
        bench
            .engines
            .values()
            .map(|e| e.obeyed.len())
            .sum::<usize>()
    };
    let before = obeyed(&bench);
    bench.run(secs(9));
    assert_eq!(obeyed(&bench), before, "an old order may still come");
    bench.run(secs(20));
    assert!(obeyed(&bench) > before);
    assert_eq!(bench.serving(), 2);
}

/// A controller that was paused past its lease sends nothing on its return.
#[test]
fn paused_controller_sends_nothing() {
    let mut bench = started();
    let old = bench.controller();
    bench.node(&old).down = true;
    bench.run(secs(60));
    bench.node(&old).down = false;
    bench.node(&old).hold_orders = true;
    let vm = group_with_spares(&bench)[1];
    bench.engine(vm).restart();
    let now = bench.now();
    let report = bench.engine(vm).report(now).expect("alive");
    let age = Duration::ZERO;
    bench.send_to_all(&PeerMsg::Reports(vec![ReportCopy { report, age }]));
    // Neither its watch nor a peer tells it of the later placement.
    bench.node(&old).cut_off.platform = true;
    let others = bench
        .nodes
        .values_mut()
        .filter(|node| node.info.node != old);
    others.for_each(|node| node.down = true);
    bench.step();
    assert!(bench.node(&old).held_orders.is_empty(), "its lease is over");
}

/// A member that answers but never finishes its load is replaced by a spare, and is not
/// taken again until its engine restarts.
#[test]
fn member_that_never_loads_is_replaced() {
    let records = vec![Record::Model(model("tide", 2, 1, 1))];
    let mut bench = Bench::new(0, vms(&[("rack-a", 3)]), records);
    bench.options.load_limit = secs(20);
    bench.add_node("entry-0");
    bench.engine(0).load_time = secs(100_000);
    bench.run(secs(60));
    assert_eq!(bench.serving(), 1);
    assert_eq!(
        members(&bench, 0).iter().sum::<usize>(),
        3,
        "the two others serve"
    );
    bench.engine(1).dead = true;
    bench.run(secs(30));
    assert_eq!(bench.serving(), 0);
    bench.engine(0).restart();
    bench.engine(0).load_time = secs(2);
    bench.run(secs(30));
    assert_eq!(bench.serving(), 1);
}

/// The weight store bears so many loads at once and no more; the most wanted go first.
#[test]
fn loads_are_paced_by_priority() {
    let records = [model("low", 1, 3, 0), model("high", 1, 3, 5)];
    let records = records.map(Record::Model).to_vec();
    let mut bench = Bench::new(0, vms(&[("rack-a", 6)]), records);
    bench.options.max_loading = 2;
    bench.add_node("entry-0");
    let mut loaded = Vec::new();
    for _ in 0..400 {
        bench.step();
        let now = bench.now();
        let held = bench.engines.values().filter(|e| e.assignment.is_some());
        let loading = held.clone().filter(|engine| !engine.is_ready(now)).count();
        assert!(loading <= 2, "{loading} engines load at once");
        for engine in held {
            if !loaded.contains(&engine.vm) {
                loaded.push(engine.vm.clone());
            }
        }
    }
    assert_eq!(bench.serving(), 6);
    let placement = placed(&bench);
    let model = |vm| {
        placement
            .group_of(vm)
            .map(|(_, group)| group.model.as_str())
    };
    let first: Vec<_> = loaded[..3].iter().filter_map(model).collect();
    assert_eq!(first, ["high"; 3]);
}

/// A controller that hears no other node but the platform leaves control to the others, and
/// doesn't take all dispatching to itself.
#[test]
fn isolated_controller_gives_up() {
    let mut bench = bench(5, true);
    bench.run(secs(10));
    let old = bench.controller();
    bench.node(&old).cut_off.peers = true;
    let moved_to_old = |bench: &Bench| {
        let placement = placed(bench);
        let dispatchers = placement.groups.values().map(|group| &group.dispatcher);
        dispatchers
            .chain(placement.services.values())
            .all(|node| *node == old)
    };
    for _ in 0..400 {
        bench.step();
        assert!(!moved_to_old(&bench), "it took everything to itself");
    }
    assert_ne!(bench.controller(), old);
    assert_eq!(bench.serving(), 2);
}

/// A stopping node gives up the lease and its slots, and learns that it did.
fn stopping_node_hands_over(number: usize) {
    let mut bench = bench(4, true);
    bench.run(secs(10));
    let old = node_ids(4)[number].clone();
    bench.stop_node(&old);
    bench.run(secs(8));
    assert_ne!(bench.controller(), old);
    let placement = placed(&bench);
    let groups = placement.groups.values().map(|group| &group.dispatcher);
    assert!(
        !groups
            .chain(placement.services.values())
            .any(|node| *node == old)
    );
    let view = bench.node(&old).cx.placement();
    assert_eq!(view.domains.values().next(), Some(&placement));
    assert_eq!(bench.serving(), 2);
}

cases! {
    stopping_node_hands_over;
    first_node_stops: 0;
    second_node_stops: 1;
    third_node_stops: 2;
    fourth_node_stops: 3;
}

/// When most nodes are dead for good, the one that is left takes control after a while.
#[test]
fn last_node_takes_over() {
    let mut bench = bench(5, true);
    bench.run(secs(10));
    let controller = bench.controller();
    let others = bench.nodes.values_mut();
    let others = others.filter(|node| node.info.node != controller);
    others.for_each(|node| node.down = true);
    member_dies(&mut bench);
    bench.run(secs(50));
    assert!(bench.serving() < 2, "it waits for the others");
    bench.run(secs(50));
    assert_eq!(bench.serving(), 2);
}

/// A write reaches every node of a large failure domain within seconds.
#[test]
fn placement_reaches_all_nodes() {
    let mut bench = bench(40, true);
    bench.run(secs(15));
    let fence = placed(&bench).fencing_token;
    member_dies(&mut bench);
    while placed(&bench).fencing_token == fence {
        bench.step();
    }
    bench.run(Duration::from_millis(600));
    let newest = placed(&bench);
    for (node, state) in &bench.nodes {
        let view = state.cx.placement();
        assert_eq!(view.domains.values().next(), Some(&newest), "at {node}");
    }
}

/// Engines that have seen higher fences than the platform holds, as after its restore from a
/// backup, are ordered by a fence above theirs.
#[test]
fn fence_rises_above_what_engines_have_seen() {
    let mut bench = started();
    for engine in bench.engines.values_mut() {
        engine.seen = FencingToken(1_000);
    }
    member_restarts(&mut bench);
    bench.run(secs(20));
    assert!(placed(&bench).fencing_token > FencingToken(1_000));
    assert_eq!(bench.serving(), 2);
}

/// When the platform is restored from a backup, the later placement that the nodes hold is
/// written again, and no group moves.
#[test]
fn restored_platform_gets_newest_placement() {
    let mut bench = started();
    let backup = placed(&bench);
    member_dies(&mut bench);
    bench.run(secs(20));
    let newest = placed(&bench);
    assert!(newest.fencing_token > backup.fencing_token);
    bench.restore(&backup);
    bench.run(secs(20));
    let written = placed(&bench);
    assert!(written.fencing_token > newest.fencing_token);
    assert_eq!(written.groups, newest.groups);
    assert_eq!(bench.serving(), 2);
}

/// Placements with an older fence never replace a newer one, whoever sends them.
#[test]
fn older_placement_never_replaces_newer() {
    let mut bench = started();
    let newest = placed(&bench);
    let older = Placement {
        fencing_token: FencingToken(newest.fencing_token.0 - 1),
        ..newest.clone()
    };
    bench.send_to_all(&PeerMsg::Placement(older));
    bench.step();
    for node in bench.nodes.values() {
        let view = node.cx.placement();
        assert_eq!(view.domains.values().next(), Some(&newest));
    }
}

/// A peer's report counts from when the peer read it.
#[test]
fn old_report_from_peer_completes_no_group() {
    let mut bench = started();
    let vm = group_with_spares(&bench)[1];
    let now = bench.now();
    let report = bench.engine(vm).report(now).expect("alive");
    bench.engine(vm).dead = true;
    for _ in 0..8 {
        bench.run(secs(1));
        let age = bench.now() - now;
        let report = report.clone();
        bench.send_to_all(&PeerMsg::Reports(vec![ReportCopy { report, age }]));
    }
}

#[test]
fn leaving_member_ends_its_work_first() {
    let mut bench = started();
    let group = group_with_spares(&bench);
    bench.engine(group[0]).running = 1;
    let held = bench.engine(group[0]).assignment.clone();
    bench.change_vm(group[3], |vm| vm.leaving = true);
    bench.run(secs(60));
    assert_eq!(bench.engine(group[0]).assignment, held, "work still runs");
    bench.engine(group[0]).running = 0;
    bench.run(secs(20));
    assert_eq!(bench.serving(), 2);
}

#[test]
fn new_node_learns_placement_in_outage() {
    let mut bench = started();
    platform_goes_down(&mut bench);
    bench.run(secs(15));
    bench.add_node("entry-new");
    bench.run(secs(3));
    let fence = placed(&bench).fencing_token;
    let node = bench.node(&"entry-new".parse().expect("valid id"));
    let view = node.cx.placement();
    assert_eq!(
        view.domains.values().next().map(|p| p.fencing_token),
        Some(fence)
    );
}

#[test]
fn platform_calls_do_not_grow_with_nodes() {
    let calls = |nodes| {
        let mut bench = bench(nodes, true);
        bench.run(secs(15));
        let before = bench.platform_calls;
        bench.run(secs(60));
        bench.platform_calls - before
    };
    let (few, many) = (calls(3), calls(24));
    println!("platform calls a minute: {few} with 3 nodes, {many} with 24");
    assert!(many <= few, "{few} calls with 3 nodes, {many} with 24");
}
