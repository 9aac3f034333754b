//! Limits of slots at their only dispatcher, under restarts, takeovers and contention.
//!
//! All slots have a cold limit of 2 requests and a full limit of 16.

mod group_support;

use std::time::Duration;

use group_support::{
    DOMAIN, DispatcherHarness, domain_record, group, id, node_info, server, team, vm,
};
use shallottide::admission::Admission;
use shallottide_types::cases;
use shallottide_types::engine::EngineState;
use shallottide_types::id::{FencingToken, Incarnation};
use shallottide_types::peer::Slot;
use shallottide_types::record::{DomainState, Record, UpstreamState};
use shallottide_types::refusal::{Ran, RefusalKind};

const COLD: u32 = 2;
const FULL: u32 = 16;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Warms up a slot, injects a fault and checks the number of permits available afterwards.
fn permits_after(slot: &Slot, fault: fn(&mut DispatcherHarness, &Slot), permits: u32) {
    let mut harness = DispatcherHarness::new();
    harness.warm_up(slot);
    fault(&mut harness, slot);
    assert_eq!(harness.fill(slot), permits);
}

fn no_fault(_: &mut DispatcherHarness, _: &Slot) {}

fn restart(harness: &mut DispatcherHarness, _: &Slot) {
    harness.change_report(1, |report| report.incarnation = Incarnation(2));
}

fn reports_cold(harness: &mut DispatcherHarness, _: &Slot) {
    harness.change_report(0, |report| report.state = EngineState::Cold);
}

fn reports_loading(harness: &mut DispatcherHarness, _: &Slot) {
    harness.change_report(1, |report| report.state = EngineState::Loading);
}

fn reformed(harness: &mut DispatcherHarness, _: &Slot) {
    harness.placement.fencing_token = FencingToken(2);
    for group in harness.placement.groups.values_mut() {
        group.formed = FencingToken(2);
    }
    harness.report_all(EngineState::Warm);
    harness.publish();
}

fn fails_three_times(harness: &mut DispatcherHarness, slot: &Slot) {
    for _ in 0..3 {
        harness.acquire(slot, "depot").expect("free");
        harness.release(slot, "depot", false, 0);
    }
}

fn late_three_times(harness: &mut DispatcherHarness, slot: &Slot) {
    for _ in 0..3 {
        harness.acquire(slot, "depot").expect("free");
        harness.release(slot, "depot", true, 2_000);
    }
}

fn removed_and_returned(harness: &mut DispatcherHarness, _: &Slot) {
    let services = std::mem::take(&mut harness.placement.services);
    let groups = std::mem::take(&mut harness.placement.groups);
    harness.publish();
    harness.placement.services = services;
    harness.placement.groups = groups;
    harness.publish();
}

fn removed_and_returned_with_request(harness: &mut DispatcherHarness, slot: &Slot) {
    harness.acquire(slot, "depot").expect("free");
    removed_and_returned(harness, slot);
}

fn moved_to_peer_and_back(harness: &mut DispatcherHarness, _: &Slot) {
    harness.move_to_peer();
    harness.move_here();
}

fn moved_back_then_early_report(harness: &mut DispatcherHarness, slot: &Slot) {
    moved_to_peer_and_back(harness, slot);
    harness.wait(secs(1));
}

fn moved_back_then_idle_report(harness: &mut DispatcherHarness, slot: &Slot) {
    moved_to_peer_and_back(harness, slot);
    harness.wait(secs(3));
}

fn moved_back_then_busy_report(harness: &mut DispatcherHarness, slot: &Slot) {
    moved_to_peer_and_back(harness, slot);
    harness.change_report(0, |report| report.running = 1);
    harness.wait(secs(3));
}

fn isolated_from_most_nodes(harness: &mut DispatcherHarness, _: &Slot) {
    for (number, port) in (2..6).zip(7_002..) {
        let info = node_info(&format!("entry-{number}"), DOMAIN, port);
        harness.add_node(info.clone());
        let node = harness.members.nodes.get_mut(&info.node);
        node.expect("just added").alive = false;
    }
    harness.publish();
}

fn isolated_long_ago(harness: &mut DispatcherHarness, slot: &Slot) {
    isolated_from_most_nodes(harness, slot);
    harness.wait(secs(300));
    harness.warm_up(slot);
}

fn most_nodes_stopping(harness: &mut DispatcherHarness, slot: &Slot) {
    isolated_from_most_nodes(harness, slot);
    for node in harness
        .members
        .nodes
        .values_mut()
        .filter(|node| !node.alive)
    {
        node.info.stopping = true;
    }
    harness.publish();
}

fn report_shows_other_requests(harness: &mut DispatcherHarness, _: &Slot) {
    // Two reports without own requests, then one that shows requests of another dispatcher.
    harness.wait(secs(1));
    harness.wait(secs(1));
    harness.change_report(0, |report| report.running = 10);
    harness.wait(secs(3));
}

fn moved_back_then_hold_time(harness: &mut DispatcherHarness, slot: &Slot) {
    moved_to_peer_and_back(harness, slot);
    harness.wait(secs(5));
}

fn node_restarts(harness: &mut DispatcherHarness, _: &Slot) {
    harness.restart();
}

fn domain_out(harness: &mut DispatcherHarness, _: &Slot) {
    let record = domain_record(DOMAIN, DomainState::Out);
    harness.config.insert(Record::Domain(record));
    harness.publish();
}

fn upstream_leaving(harness: &mut DispatcherHarness, _: &Slot) {
    for record in harness.config.upstreams.values_mut() {
        record.state = UpstreamState::Leaving;
    }
    harness.publish();
}

fn member_leaving(harness: &mut DispatcherHarness, _: &Slot) {
    let member = harness.engines.vms.get_mut(&vm(1, "a").id);
    member.expect("known VM").leaving = true;
    harness.publish();
}

fn member_silent(harness: &mut DispatcherHarness, _: &Slot) {
    harness.clock.advance(secs(4));
    harness.publish();
}

fn member_holds_old_assignment(harness: &mut DispatcherHarness, _: &Slot) {
    harness.change_report(1, |report| {
        let held = report.assignment.as_mut().expect("assigned");
        held.formed = FencingToken(0);
    });
}

fn domain_out_and_back(harness: &mut DispatcherHarness, slot: &Slot) {
    domain_out(harness, slot);
    let record = domain_record(DOMAIN, DomainState::Serving);
    harness.config.insert(Record::Domain(record));
    harness.publish();
}

fn upstream_leaving_and_back(harness: &mut DispatcherHarness, slot: &Slot) {
    upstream_leaving(harness, slot);
    for record in harness.config.upstreams.values_mut() {
        record.state = UpstreamState::Serving;
    }
    harness.publish();
}

fn member_silent_and_back(harness: &mut DispatcherHarness, slot: &Slot) {
    member_silent(harness, slot);
    harness.wait(secs(1));
}

fn dispatched_elsewhere(harness: &mut DispatcherHarness, _: &Slot) {
    harness.move_to_peer();
}

cases! {
    permits_after;
    warm_group_takes_its_full_limit: &group("g0"), no_fault, FULL;
    warm_server_takes_its_full_limit: &server("u0"), no_fault, FULL;
    restarted_member_makes_group_cold: &group("g0"), restart, COLD;
    cold_report_makes_group_cold: &group("g0"), reports_cold, COLD;
    loading_member_stops_group: &group("g0"), reports_loading, 0;
    reformed_group_is_cold: &group("g0"), reformed, COLD;
    failures_make_group_cold: &group("g0"), fails_three_times, COLD;
    failures_make_server_cold: &server("u0"), fails_three_times, COLD;
    late_answers_make_group_cold: &group("g0"), late_three_times, COLD;
    late_answers_make_server_cold: &server("u0"), late_three_times, COLD;
    returned_group_is_cold: &group("g0"), removed_and_returned, COLD;
    returned_server_is_cold: &server("u0"), removed_and_returned, COLD;
    returned_server_counts_its_old_requests: &server("u0"), removed_and_returned_with_request, COLD - 1;
    taken_over_group_counts_as_loaded: &group("g0"), moved_to_peer_and_back, 0;
    taken_over_server_counts_as_loaded: &server("u0"), moved_to_peer_and_back, 0;
    taken_over_group_ignores_early_report: &group("g0"), moved_back_then_early_report, 0;
    taken_over_group_is_cold_after_report: &group("g0"), moved_back_then_idle_report, COLD;
    isolated_dispatcher_uses_cold_limit: &group("g0"), isolated_from_most_nodes, COLD;
    nodes_long_dead_do_not_count: &group("g0"), isolated_long_ago, FULL;
    stopping_nodes_do_not_count: &group("g0"), most_nodes_stopping, FULL;
    requests_of_an_unknown_dispatcher_count: &group("g0"), report_shows_other_requests, FULL - 10;
    taken_over_group_counts_reported_requests: &group("g0"), moved_back_then_busy_report, COLD - 1;
    taken_over_server_is_cold_after_hold_time: &server("u0"), moved_back_then_hold_time, COLD;
    restarted_node_counts_group_as_loaded: &group("g0"), node_restarts, 0;
    restarted_node_counts_server_as_loaded: &server("u0"), node_restarts, 0;
    domain_out_refuses_group_requests: &group("g0"), domain_out, 0;
    domain_out_refuses_server_requests: &server("u0"), domain_out, 0;
    domain_back_starts_group_cold: &group("g0"), domain_out_and_back, COLD;
    domain_back_starts_server_cold: &server("u0"), domain_out_and_back, COLD;
    returned_upstream_starts_cold: &server("u0"), upstream_leaving_and_back, COLD;
    returned_member_starts_group_cold: &group("g0"), member_silent_and_back, COLD;
    leaving_upstream_gets_no_requests: &server("u0"), upstream_leaving, 0;
    group_with_leaving_member_gets_no_requests: &group("g0"), member_leaving, 0;
    silent_member_stops_group: &group("g0"), member_silent, 0;
    old_assignment_stops_group: &group("g0"), member_holds_old_assignment, 0;
    slot_of_another_dispatcher_gets_no_requests: &group("g0"), dispatched_elsewhere, 0;
}

/// A new slot ramps by completed requests only, not with time.
fn ramps(slot: &Slot) {
    let mut harness = DispatcherHarness::new();
    assert_eq!(harness.fill(slot), COLD);
    harness.wait(secs(600));
    assert_eq!(harness.fill(slot), 0, "time alone ramps nothing");
    let mut limit = COLD;
    for _ in 0..20 {
        let held = limit;
        for _ in 0..held {
            harness.release(slot, "depot", true, 20);
        }
        let now = harness.fill(slot);
        assert!(now <= 2 * limit, "from {limit} to {now} at once");
        limit = now;
    }
    assert_eq!(limit, FULL);
}

cases! {
    ramps;
    fresh_group_ramps: &group("g0");
    fresh_server_ramps: &server("u0");
}

#[test]
fn cold_report_keeps_limit_cold() {
    let mut harness = DispatcherHarness::new();
    harness.report_all(EngineState::Cold);
    harness.publish();
    harness.warm_up(&group("g0"));
    assert_eq!(harness.fill(&group("g0")), COLD);
}

#[test]
fn refusals_say_not_run() {
    let mut harness = DispatcherHarness::new();
    harness.fill(&group("g0"));
    let full = harness.acquire(&group("g0"), "depot").expect_err("full");
    assert_eq!((full.kind, full.ran), (RefusalKind::Overloaded, Ran::No));
    assert!(full.retry_after.is_some());
    domain_out(&mut harness, &group("g0"));
    let out = harness.acquire(&group("g0"), "depot").expect_err("out");
    assert_eq!((out.kind, out.ran), (RefusalKind::NoUpstream, Ran::No));
}

#[test]
fn large_team_leaves_permits_to_small_one() {
    let mut harness = DispatcherHarness::new();
    let slot = group("g0");
    harness.warm_up(&slot);
    harness.acquire(&slot, "small").expect("free");
    while harness.acquire(&slot, "large").is_ok() {}
    harness
        .acquire(&slot, "small")
        .expect("a permit is reserved");
}

#[test]
fn lone_team_gets_all_permits() {
    let mut harness = DispatcherHarness::new();
    harness.warm_up(&group("g0"));
    assert_eq!(harness.fill(&group("g0")), FULL);
}

#[test]
fn higher_priority_goes_first_when_nearly_full() {
    let mut harness = DispatcherHarness::new();
    let slot = group("g0");
    for (name, priority) in [("gate", 9), ("batch", 0)] {
        harness
            .config
            .insert(Record::Team(team(name, 100, priority)));
    }
    harness.publish();
    harness.warm_up(&slot);
    for _ in 0..7 {
        harness.acquire(&slot, "gate").expect("free");
    }
    while harness.acquire(&slot, "batch").is_ok() {}
    harness
        .acquire(&slot, "gate")
        .expect("the last permits are reserved for team gate");
}

#[test]
fn team_limit_counts_over_all_slots_here() {
    let mut harness = DispatcherHarness::new();
    harness.config.insert(Record::Team(team("depot", 3, 0)));
    harness.publish();
    assert_eq!(harness.fill(&group("g0")), 2);
    assert_eq!(harness.fill(&group("g1")), 1);
    let refusal = harness.acquire(&group("g1"), "depot").expect_err("limit");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::TeamLimit, Ran::No)
    );
}

#[test]
fn loads_show_zero_while_not_serving() {
    let mut harness = DispatcherHarness::new();
    harness.fill(&group("g0"));
    let of = |harness: &DispatcherHarness, slot: &Slot| {
        let loads = harness.admission.loads(&harness.cx);
        let load = loads.into_iter().find(|load| load.slot == *slot);
        load.map(|load| (load.in_flight, load.limit))
    };
    assert_eq!(of(&harness, &group("g0")), Some((2, 2)));
    member_leaving(&mut harness, &group("g0"));
    assert_eq!(of(&harness, &group("g0")), Some((2, 0)));
    assert_eq!(of(&harness, &group("g1")), Some((0, 2)));
    harness.placement.groups.remove(&id("g1"));
    harness.publish();
    assert_eq!(of(&harness, &group("g1")), None);
}

/// Guards against requests to an upstream that asked this node for none, also after it has answered an
/// earlier request or the placement was away for a moment, and against a new incarnation that is held.
#[test]
fn slot_is_held_until_the_end_or_a_restart() {
    let mut harness = DispatcherHarness::new();
    let slot = group("g0");
    harness.warm_up(&slot);
    harness.acquire(&slot, "depot").expect("free");
    for wait in [secs(3), secs(1)] {
        harness.admission.hold(&slot, wait, &harness.cx);
    }
    harness.release(&slot, "depot", true, 20);
    let refusal = harness.acquire(&slot, "depot").expect_err("held");
    assert_eq!(
        (refusal.kind, refusal.ran, refusal.retry_after),
        (RefusalKind::Overloaded, Ran::No, Some(secs(3)))
    );
    let loads = harness.admission.loads(&harness.cx);
    let load = loads.iter().find(|load| load.slot == slot);
    assert_eq!(load.map(|load| load.limit), Some(0), "peers look elsewhere");
    assert!(harness.fill(&group("g1")) > 0);

    removed_and_returned(&mut harness, &slot);
    harness.wait(secs(2));
    assert_eq!(harness.fill(&slot), 0);
    harness.wait(secs(1));
    assert!(harness.fill(&slot) > 0);

    harness.admission.hold(&slot, Duration::MAX, &harness.cx);
    restart(&mut harness, &slot);
    harness.release(&slot, "depot", true, 20);
    assert!(harness.fill(&slot) > 0);
}

/// Guards against a damaged value that excludes an upstream for good.
#[test]
fn overlong_hold_is_cut() {
    let mut harness = DispatcherHarness::new();
    let slot = group("g0");
    harness.admission.hold(&slot, Duration::MAX, &harness.cx);
    assert_eq!(harness.fill(&slot), 0);
    harness.wait(Duration::from_mins(5));
    assert!(harness.fill(&slot) > 0);
}
