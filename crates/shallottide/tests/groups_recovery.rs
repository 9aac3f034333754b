//! Formation and recovery of groups under faults.
//!
//! On every step, the simulation checks that no VM is in two groups and that no dispatcher counts
//! a group as complete without all its members.

mod group_support;

use std::time::Duration;

use group_support::{DomainSim, model, node_ids, upstream, vms};
use shallottide_types::cases;
use shallottide_types::id::FencingToken;
use shallottide_types::peer::{PeerMsg, ReportCopy};
use shallottide_types::placement::Placement;
use shallottide_types::record::Record;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a simulation with two groups of four VMs among ten VMs, six in one fabric domain.
fn sim(nodes: usize, fences_orders: bool) -> DomainSim {
    let records = vec![
        Record::Model(model("tide", 4, 2, 1)),
        Record::Upstream(upstream("depot-1", "depot")),
    ];
    let mut vms = vms(&[("rack-a", 6), ("rack-b", 4)]);
    for vm in &mut vms {
        vm.fences_orders = fences_orders;
    }
    DomainSim::new(nodes, vms, records)
}

fn started_sim() -> DomainSim {
    let mut sim = sim(3, true);
    sim.run(secs(10));
    assert_eq!(sim.serving(), 2, "both groups serve before the fault");
    sim
}

fn stored_placement(sim: &DomainSim) -> Placement {
    sim.placement().expect("a placement is stored")
}

/// Returns the VM numbers of the members of a group.
fn members(sim: &DomainSim, group: usize) -> Vec<usize> {
    let placement = stored_placement(sim);
    let group = placement.groups.values().nth(group).expect("two groups");
    let number = |vm: &shallottide_types::id::VmId| vm.as_str()[3..].parse().expect("number");
    group.members.iter().map(number).collect()
}

/// Returns the VM numbers of the group in the fabric domain with spares.
fn group_with_spares(sim: &DomainSim) -> Vec<usize> {
    let groups = [members(sim, 0), members(sim, 1)];
    groups
        .into_iter()
        .find(|group| group[0] < 6)
        .expect("one in rack-a")
}

/// Injects a fault and checks the number of serving groups after `time`.
fn serving_groups_after(fault: fn(&mut DomainSim), time: Duration, serving: usize) {
    let mut sim = started_sim();
    fault(&mut sim);
    sim.run(time);
    assert_eq!(sim.serving(), serving);
}

fn member_dies(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[1];
    sim.engine(vm).dead = true;
}

fn first_member_dies(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[0];
    sim.engine(vm).dead = true;
}

fn member_dies_without_spare(sim: &mut DomainSim) {
    sim.engine(9).dead = true;
}

fn member_restarts(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[2];
    sim.engine(vm).restart();
}

fn member_pauses(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[0];
    let fencing_token = stored_placement(sim).fencing_token;
    sim.engine(vm).dead = true;
    sim.run(secs(4));
    sim.engine(vm).dead = false;
    sim.run(secs(4));
    assert_eq!(
        stored_placement(sim).fencing_token,
        fencing_token,
        "a short pause changes no placement"
    );
}

fn fabric_domain_fails(sim: &mut DomainSim) {
    for vm in 6..10 {
        sim.engine(vm).dead = true;
    }
}

fn fabric_domain_returns(sim: &mut DomainSim) {
    fabric_domain_fails(sim);
    sim.run(secs(30));
    for vm in 6..10 {
        sim.engine(vm).restart();
    }
}

fn member_returns_with_old_state(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[0];
    sim.engine(vm).dead = true;
    sim.run(secs(30));
    sim.engine(vm).dead = false;
    sim.run(secs(20));
    assert!(
        sim.engine(vm).assignment.is_none(),
        "the engine was released"
    );
}

fn member_leaves(sim: &mut DomainSim) {
    let vm = group_with_spares(sim)[0];
    sim.change_vm(vm, |vm| vm.leaving = true);
}

fn dispatcher_dies(sim: &mut DomainSim) {
    let placement = stored_placement(sim);
    let group = placement.groups.values().next().expect("two groups");
    sim.node(&group.dispatcher.clone()).down = true;
}

fn controller_dies(sim: &mut DomainSim) {
    let controller = sim.controller();
    sim.node(&controller).down = true;
    member_dies(sim);
}

fn controller_is_partitioned_from_platform(sim: &mut DomainSim) {
    let controller = sim.controller();
    sim.node(&controller).cut_off.platform = true;
    member_dies(sim);
}

fn platform_goes_down(sim: &mut DomainSim) {
    sim.platform.change_faults(|faults| faults.down = true);
}

fn platform_goes_down_and_member_dies(sim: &mut DomainSim) {
    platform_goes_down(sim);
    sim.run(secs(20));
    member_dies(sim);
}

fn platform_returns_after_member_died(sim: &mut DomainSim) {
    platform_goes_down_and_member_dies(sim);
    sim.run(secs(20));
    sim.platform.change_faults(|faults| faults.down = false);
}

fn answers_are_lost(sim: &mut DomainSim) {
    sim.platform.change_faults(|faults| faults.lose_answers = 6);
    member_dies(sim);
}

fn writes_are_lost(sim: &mut DomainSim) {
    sim.platform.change_faults(|faults| faults.lose_writes = 6);
    member_dies(sim);
}

cases! {
    serving_groups_after;
    spare_replaces_dead_member: member_dies, secs(20), 2;
    spare_replaces_dead_first_member: first_member_dies, secs(20), 2;
    group_without_spare_waits: member_dies_without_spare, secs(20), 1;
    restarted_member_is_ordered_again: member_restarts, secs(10), 2;
    short_pause_keeps_group: member_pauses, secs(2), 2;
    failed_fabric_domain_stops_its_group: fabric_domain_fails, secs(4), 1;
    returned_fabric_domain_serves_again: fabric_domain_returns, secs(20), 2;
    returning_member_is_released: member_returns_with_old_state, secs(1), 2;
    leaving_member_is_replaced: member_leaves, secs(25), 2;
    groups_of_dead_dispatcher_move: dispatcher_dies, secs(15), 2;
    second_candidate_takes_over: controller_dies, secs(40), 2;
    partitioned_controller_is_replaced: controller_is_partitioned_from_platform, secs(40), 2;
    outage_keeps_service: platform_goes_down, secs(120), 2;
    member_death_in_outage_stops_its_group: platform_goes_down_and_member_dies, secs(4), 1;
    outage_ends_and_group_recovers: platform_returns_after_member_died, secs(40), 2;
    lost_answers_delay_recovery: answers_are_lost, secs(60), 2;
    lost_writes_delay_recovery: writes_are_lost, secs(60), 2;
}

/// Orders of a controller that was paused beyond its lease arrive late.
fn late_orders_change_nothing(fences_orders: bool, reverse: bool) {
    let mut sim = sim(3, fences_orders);
    sim.run(secs(25));
    assert_eq!(sim.serving(), 2);
    let old = sim.controller();
    sim.node(&old).hold_orders = true;
    member_dies(&mut sim);
    sim.run(secs(9));
    sim.node(&old).down = true;
    // The session expires; the other candidate waits until late orders can no longer arrive.
    sim.run(secs(11));
    let held = sim.release_orders(&old, reverse);
    assert!(held > 0, "the old controller had sent orders");
    sim.node(&old).down = false;
    sim.run(secs(40));
    assert_ne!(sim.controller(), old);
    assert_eq!(sim.serving(), 2);
}

cases! {
    late_orders_change_nothing;
    late_orders_to_fencing_engines: true, false;
    late_orders_reversed_to_fencing_engines: true, true;
    late_orders_to_engines_that_ignore_tokens: false, false;
    late_orders_reversed_to_engines_that_ignore_tokens: false, true;
}

/// Engines that ignore fencing tokens get no order until the orders of the previous lease holder
/// can no longer arrive.
#[test]
fn new_controller_waits_until_old_orders_expire() {
    let mut sim = sim(3, false);
    sim.run(secs(25));
    assert_eq!(sim.serving(), 2);
    let old = sim.controller();
    sim.node(&old).down = true;
    member_dies(&mut sim);
    while sim.controller_or_none().is_none_or(|node| node == old) {
        sim.step();
    }
    let accepted_orders = |sim: &DomainSim| {
        sim.engines
            .values()
            .map(|e| e.accepted_orders.len())
            .sum::<usize>()
    };
    let before = accepted_orders(&sim);
    sim.run(secs(9));
    assert_eq!(
        accepted_orders(&sim),
        before,
        "an old order may still arrive"
    );
    sim.run(secs(20));
    assert!(accepted_orders(&sim) > before);
    assert_eq!(sim.serving(), 2);
}

/// A controller that was paused beyond its lease sends no order when it resumes.
#[test]
fn paused_controller_sends_nothing() {
    let mut sim = started_sim();
    let old = sim.controller();
    sim.node(&old).down = true;
    sim.run(secs(60));
    sim.node(&old).down = false;
    sim.node(&old).hold_orders = true;
    let vm = group_with_spares(&sim)[1];
    sim.engine(vm).restart();
    let now = sim.now();
    let report = sim.engine(vm).report(now).expect("alive");
    let age = Duration::ZERO;
    sim.send_to_all(&PeerMsg::Reports(vec![ReportCopy { report, age }]));
    // Neither the platform watch nor a peer sends it the later placement.
    sim.node(&old).cut_off.platform = true;
    let others = sim.nodes.values_mut().filter(|node| node.info.node != old);
    others.for_each(|node| node.down = true);
    sim.step();
    assert!(
        sim.node(&old).held_orders.is_empty(),
        "its lease has expired"
    );
}

/// A member that answers but never finishes loading is replaced by a spare, and is excluded until
/// its engine restarts.
#[test]
fn member_that_never_loads_is_replaced() {
    let records = vec![Record::Model(model("tide", 2, 1, 1))];
    let mut sim = DomainSim::new(0, vms(&[("rack-a", 3)]), records);
    sim.options.load_timeout = secs(20);
    sim.add_node("entry-0");
    sim.engine(0).load_time = secs(100_000);
    sim.run(secs(60));
    assert_eq!(sim.serving(), 1);
    assert_eq!(
        members(&sim, 0).iter().sum::<usize>(),
        3,
        "the two others serve"
    );
    sim.engine(1).dead = true;
    sim.run(secs(30));
    assert_eq!(sim.serving(), 0);
    sim.engine(0).restart();
    sim.engine(0).load_time = secs(2);
    sim.run(secs(30));
    assert_eq!(sim.serving(), 1);
}

/// At most `max_loading_groups` groups load at the same time, so that the weight store is not
/// overloaded; groups of higher priority load first.
#[test]
fn loads_are_paced_by_priority() {
    let records = [model("low", 1, 3, 0), model("high", 1, 3, 5)];
    let records = records.map(Record::Model).to_vec();
    let mut sim = DomainSim::new(0, vms(&[("rack-a", 6)]), records);
    sim.options.max_loading_groups = 2;
    sim.add_node("entry-0");
    let mut loaded = Vec::new();
    for _ in 0..400 {
        sim.step();
        let now = sim.now();
        let held = sim.engines.values().filter(|e| e.assignment.is_some());
        let loading = held.clone().filter(|engine| !engine.is_ready(now)).count();
        assert!(loading <= 2, "{loading} engines load at once");
        for engine in held {
            if !loaded.contains(&engine.vm) {
                loaded.push(engine.vm.clone());
            }
        }
    }
    assert_eq!(sim.serving(), 6);
    let placement = stored_placement(&sim);
    let model = |vm| {
        placement
            .group_of(vm)
            .map(|(_, group)| group.model.as_str())
    };
    let first: Vec<_> = loaded[..3].iter().filter_map(model).collect();
    assert_eq!(first, ["high"; 3]);
}

/// A controller that reaches the platform but no other node releases the lease, and doesn't make
/// itself the dispatcher of all slots.
#[test]
fn isolated_controller_releases_lease() {
    let mut sim = sim(5, true);
    sim.run(secs(10));
    let old = sim.controller();
    sim.node(&old).cut_off.peers = true;
    let moved_to_old = |sim: &DomainSim| {
        let placement = stored_placement(sim);
        let dispatchers = placement.groups.values().map(|group| &group.dispatcher);
        dispatchers
            .chain(placement.services.values())
            .all(|node| *node == old)
    };
    for _ in 0..400 {
        sim.step();
        assert!(
            !moved_to_old(&sim),
            "the isolated node dispatches to all slots"
        );
    }
    assert_ne!(sim.controller(), old);
    assert_eq!(sim.serving(), 2);
}

/// A stopping node releases the lease and its slots, and receives the placement without them.
fn stopping_node_hands_over(number: usize) {
    let mut sim = sim(4, true);
    sim.run(secs(10));
    let old = node_ids(4)[number].clone();
    sim.stop_node(&old);
    sim.run(secs(8));
    assert_ne!(sim.controller(), old);
    let placement = stored_placement(&sim);
    let groups = placement.groups.values().map(|group| &group.dispatcher);
    assert!(
        !groups
            .chain(placement.services.values())
            .any(|node| *node == old)
    );
    let view = sim.node(&old).cx.placement();
    assert_eq!(view.domains.values().next(), Some(&placement));
    assert_eq!(sim.serving(), 2);
}

cases! {
    stopping_node_hands_over;
    first_node_stops: 0;
    second_node_stops: 1;
    third_node_stops: 2;
    fourth_node_stops: 3;
}

/// When most nodes are permanently dead, the remaining node takes control after the isolation
/// grace period.
#[test]
fn last_node_takes_over() {
    let mut sim = sim(5, true);
    sim.run(secs(10));
    let controller = sim.controller();
    let others = sim.nodes.values_mut();
    let others = others.filter(|node| node.info.node != controller);
    others.for_each(|node| node.down = true);
    member_dies(&mut sim);
    sim.run(secs(50));
    assert!(sim.serving() < 2, "it waits for the other nodes");
    sim.run(secs(50));
    assert_eq!(sim.serving(), 2);
}

/// A write reaches every node of a large failure domain within seconds.
#[test]
fn placement_reaches_all_nodes() {
    let mut sim = sim(40, true);
    sim.run(secs(15));
    let fencing_token = stored_placement(&sim).fencing_token;
    member_dies(&mut sim);
    while stored_placement(&sim).fencing_token == fencing_token {
        sim.step();
    }
    sim.run(Duration::from_millis(600));
    let newest = stored_placement(&sim);
    for (node, state) in &sim.nodes {
        let view = state.cx.placement();
        assert_eq!(view.domains.values().next(), Some(&newest), "at {node}");
    }
}

/// Engines may have seen higher fencing tokens than the platform holds, as after its restore from
/// a backup; their next orders carry a higher token.
#[test]
fn fencing_token_rises_above_tokens_seen_by_engines() {
    let mut sim = started_sim();
    for engine in sim.engines.values_mut() {
        engine.last_fencing_token = FencingToken(1_000);
    }
    member_restarts(&mut sim);
    sim.run(secs(20));
    assert!(stored_placement(&sim).fencing_token > FencingToken(1_000));
    assert_eq!(sim.serving(), 2);
}

/// After the platform is restored from a backup, the controller writes the newer placement that
/// the nodes hold again, and no group moves.
#[test]
fn restored_platform_gets_newest_placement() {
    let mut sim = started_sim();
    let backup = stored_placement(&sim);
    member_dies(&mut sim);
    sim.run(secs(20));
    let newest = stored_placement(&sim);
    assert!(newest.fencing_token > backup.fencing_token);
    sim.restore(&backup);
    sim.run(secs(20));
    let written = stored_placement(&sim);
    assert!(written.fencing_token > newest.fencing_token);
    assert_eq!(written.groups, newest.groups);
    assert_eq!(sim.serving(), 2);
}

/// A placement with a lower fencing token never replaces a newer one, also if a peer sends it.
#[test]
fn older_placement_never_replaces_newer() {
    let mut sim = started_sim();
    let newest = stored_placement(&sim);
    let older = Placement {
        fencing_token: FencingToken(newest.fencing_token.0 - 1),
        ..newest.clone()
    };
    sim.send_to_all(&PeerMsg::Placement(older));
    sim.step();
    for node in sim.nodes.values() {
        let view = node.cx.placement();
        assert_eq!(view.domains.values().next(), Some(&newest));
    }
}

/// The age of a peer's report counts from when the peer read it.
#[test]
fn old_report_from_peer_completes_no_group() {
    let mut sim = started_sim();
    let vm = group_with_spares(&sim)[1];
    let now = sim.now();
    let report = sim.engine(vm).report(now).expect("alive");
    sim.engine(vm).dead = true;
    for _ in 0..8 {
        sim.run(secs(1));
        let age = sim.now() - now;
        let report = report.clone();
        sim.send_to_all(&PeerMsg::Reports(vec![ReportCopy { report, age }]));
    }
}

#[test]
fn leaving_member_finishes_its_requests_first() {
    let mut sim = started_sim();
    let group = group_with_spares(&sim);
    sim.engine(group[0]).running = 1;
    let held = sim.engine(group[0]).assignment.clone();
    sim.change_vm(group[3], |vm| vm.leaving = true);
    sim.run(secs(60));
    assert_eq!(
        sim.engine(group[0]).assignment,
        held,
        "a request is still running"
    );
    sim.engine(group[0]).running = 0;
    sim.run(secs(20));
    assert_eq!(sim.serving(), 2);
}

#[test]
fn new_node_learns_placement_in_outage() {
    let mut sim = started_sim();
    platform_goes_down(&mut sim);
    sim.run(secs(15));
    sim.add_node("entry-new");
    sim.run(secs(3));
    let fencing_token = stored_placement(&sim).fencing_token;
    let node = sim.node(&"entry-new".parse().expect("valid id"));
    let view = node.cx.placement();
    assert_eq!(
        view.domains.values().next().map(|p| p.fencing_token),
        Some(fencing_token)
    );
}

#[test]
fn platform_calls_do_not_grow_with_nodes() {
    let calls = |nodes| {
        let mut sim = sim(nodes, true);
        sim.run(secs(15));
        let before = sim.platform_calls;
        sim.run(secs(60));
        sim.platform_calls - before
    };
    let (few, many) = (calls(3), calls(24));
    println!("platform calls a minute: {few} with 3 nodes, {many} with 24");
    assert!(many <= few, "{few} calls with 3 nodes, {many} with 24");
}
