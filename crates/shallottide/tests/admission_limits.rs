//! Limits of slots at their only dispatcher, under restarts, takeovers and contention.
//!
//! All slots bear 2 requests when cold and 16 when warm.

mod group_support;

use std::time::Duration;

use group_support::{DOMAIN, Desk, domain_record, group, id, node_info, server, team, vm};
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

/// Warms a slot up, brings a fault about and counts the places it has then.
fn places_after(slot: &Slot, fault: fn(&mut Desk, &Slot), places: u32) {
    let mut desk = Desk::new();
    desk.warm_up(slot);
    fault(&mut desk, slot);
    assert_eq!(desk.fill(slot), places);
}

fn nothing(_: &mut Desk, _: &Slot) {}

fn restart(desk: &mut Desk, _: &Slot) {
    desk.change_report(1, |report| report.incarnation = Incarnation(2));
}

fn reports_cold(desk: &mut Desk, _: &Slot) {
    desk.change_report(0, |report| report.state = EngineState::Cold);
}

fn reports_loading(desk: &mut Desk, _: &Slot) {
    desk.change_report(1, |report| report.state = EngineState::Loading);
}

fn reformed(desk: &mut Desk, _: &Slot) {
    desk.placement.fencing_token = FencingToken(2);
    for group in desk.placement.groups.values_mut() {
        group.formed = FencingToken(2);
    }
    desk.report_all(EngineState::Warm);
    desk.publish();
}

fn fails_three_times(desk: &mut Desk, slot: &Slot) {
    for _ in 0..3 {
        desk.acquire(slot, "depot").expect("free");
        desk.release(slot, "depot", false, 0);
    }
}

fn late_three_times(desk: &mut Desk, slot: &Slot) {
    for _ in 0..3 {
        desk.acquire(slot, "depot").expect("free");
        desk.release(slot, "depot", true, 2_000);
    }
}

fn removed_and_returned(desk: &mut Desk, _: &Slot) {
    let services = std::mem::take(&mut desk.placement.services);
    let groups = std::mem::take(&mut desk.placement.groups);
    desk.publish();
    desk.placement.services = services;
    desk.placement.groups = groups;
    desk.publish();
}

fn removed_and_returned_with_work(desk: &mut Desk, slot: &Slot) {
    desk.acquire(slot, "depot").expect("free");
    removed_and_returned(desk, slot);
}

fn away_and_back(desk: &mut Desk, _: &Slot) {
    desk.move_to_peer();
    desk.move_here();
}

fn away_and_back_then_early_report(desk: &mut Desk, slot: &Slot) {
    away_and_back(desk, slot);
    desk.wait(secs(1));
}

fn away_and_back_then_idle_report(desk: &mut Desk, slot: &Slot) {
    away_and_back(desk, slot);
    desk.wait(secs(3));
}

fn away_and_back_then_busy_report(desk: &mut Desk, slot: &Slot) {
    away_and_back(desk, slot);
    desk.change_report(0, |report| report.running = 1);
    desk.wait(secs(3));
}

fn hears_few_nodes(desk: &mut Desk, _: &Slot) {
    for (number, port) in (2..6).zip(7_002..) {
        let info = node_info(&format!("entry-{number}"), DOMAIN, port);
        desk.add_node(info.clone());
        let node = desk.members.nodes.get_mut(&info.node);
        node.expect("just added").alive = false;
    }
    desk.publish();
}

fn heard_few_nodes_long_ago(desk: &mut Desk, slot: &Slot) {
    hears_few_nodes(desk, slot);
    desk.wait(secs(300));
    desk.warm_up(slot);
}

fn many_nodes_stop(desk: &mut Desk, slot: &Slot) {
    hears_few_nodes(desk, slot);
    for node in desk.members.nodes.values_mut().filter(|node| !node.alive) {
        node.info.stopping = true;
    }
    desk.publish();
}

fn other_work_is_reported(desk: &mut Desk, _: &Slot) {
    // Two reports without own work, then one of another's.
    desk.wait(secs(1));
    desk.wait(secs(1));
    desk.change_report(0, |report| report.running = 10);
    desk.wait(secs(3));
}

fn away_and_back_then_time(desk: &mut Desk, slot: &Slot) {
    away_and_back(desk, slot);
    desk.wait(secs(5));
}

fn node_restarts(desk: &mut Desk, _: &Slot) {
    desk.restart();
}

fn domain_out(desk: &mut Desk, _: &Slot) {
    let record = domain_record(DOMAIN, DomainState::Out);
    desk.config.insert(Record::Domain(record));
    desk.publish();
}

fn upstream_leaving(desk: &mut Desk, _: &Slot) {
    for record in desk.config.upstreams.values_mut() {
        record.state = UpstreamState::Leaving;
    }
    desk.publish();
}

fn member_leaving(desk: &mut Desk, _: &Slot) {
    let member = desk.fleet.vms.get_mut(&vm(1, "a").id);
    member.expect("known VM").leaving = true;
    desk.publish();
}

fn member_silent(desk: &mut Desk, _: &Slot) {
    desk.clock.advance(secs(4));
    desk.publish();
}

fn member_holds_old_assignment(desk: &mut Desk, _: &Slot) {
    desk.change_report(1, |report| {
        let held = report.assignment.as_mut().expect("assigned");
        held.formed = FencingToken(0);
    });
}

fn domain_out_and_back(desk: &mut Desk, slot: &Slot) {
    domain_out(desk, slot);
    let record = domain_record(DOMAIN, DomainState::Serving);
    desk.config.insert(Record::Domain(record));
    desk.publish();
}

fn upstream_leaving_and_back(desk: &mut Desk, slot: &Slot) {
    upstream_leaving(desk, slot);
    for record in desk.config.upstreams.values_mut() {
        record.state = UpstreamState::Serving;
    }
    desk.publish();
}

fn member_silent_and_back(desk: &mut Desk, slot: &Slot) {
    member_silent(desk, slot);
    desk.wait(secs(1));
}

fn dispatched_elsewhere(desk: &mut Desk, _: &Slot) {
    desk.move_to_peer();
}

cases! {
    places_after;
    warm_group_takes_its_full_limit: &group("g0"), nothing, FULL;
    warm_server_takes_its_full_limit: &server("u0"), nothing, FULL;
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
    returned_server_counts_its_old_work: &server("u0"), removed_and_returned_with_work, COLD - 1;
    taken_over_group_counts_as_loaded: &group("g0"), away_and_back, 0;
    taken_over_server_counts_as_loaded: &server("u0"), away_and_back, 0;
    taken_over_group_ignores_early_report: &group("g0"), away_and_back_then_early_report, 0;
    taken_over_group_is_cold_after_report: &group("g0"), away_and_back_then_idle_report, COLD;
    dispatcher_that_hears_few_nodes_counts_on_cold: &group("g0"), hears_few_nodes, COLD;
    nodes_long_dead_do_not_count: &group("g0"), heard_few_nodes_long_ago, FULL;
    stopping_nodes_do_not_count: &group("g0"), many_nodes_stop, FULL;
    work_of_an_unknown_dispatcher_counts: &group("g0"), other_work_is_reported, FULL - 10;
    taken_over_group_counts_reported_work: &group("g0"), away_and_back_then_busy_report, COLD - 1;
    taken_over_server_is_cold_after_a_time: &server("u0"), away_and_back_then_time, COLD;
    restarted_node_counts_group_as_loaded: &group("g0"), node_restarts, 0;
    restarted_node_counts_server_as_loaded: &server("u0"), node_restarts, 0;
    domain_out_gives_group_nothing: &group("g0"), domain_out, 0;
    domain_out_gives_server_nothing: &server("u0"), domain_out, 0;
    domain_back_starts_group_cold: &group("g0"), domain_out_and_back, COLD;
    domain_back_starts_server_cold: &server("u0"), domain_out_and_back, COLD;
    returned_upstream_starts_cold: &server("u0"), upstream_leaving_and_back, COLD;
    returned_member_starts_group_cold: &group("g0"), member_silent_and_back, COLD;
    leaving_upstream_gets_nothing: &server("u0"), upstream_leaving, 0;
    group_with_leaving_member_gets_nothing: &group("g0"), member_leaving, 0;
    silent_member_stops_group: &group("g0"), member_silent, 0;
    old_assignment_stops_group: &group("g0"), member_holds_old_assignment, 0;
    slot_of_another_dispatcher_gets_nothing: &group("g0"), dispatched_elsewhere, 0;
}

/// A fresh slot ramps by finished work only.
fn ramps(slot: &Slot) {
    let mut desk = Desk::new();
    assert_eq!(desk.fill(slot), COLD);
    desk.wait(secs(600));
    assert_eq!(desk.fill(slot), 0, "time alone ramps nothing");
    let mut limit = COLD;
    for _ in 0..20 {
        let held = limit;
        for _ in 0..held {
            desk.release(slot, "depot", true, 20);
        }
        let now = desk.fill(slot);
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
    let mut desk = Desk::new();
    desk.report_all(EngineState::Cold);
    desk.publish();
    desk.warm_up(&group("g0"));
    assert_eq!(desk.fill(&group("g0")), COLD);
}

#[test]
fn refusals_say_not_run() {
    let mut desk = Desk::new();
    desk.fill(&group("g0"));
    let full = desk.acquire(&group("g0"), "depot").expect_err("full");
    assert_eq!((full.kind, full.ran), (RefusalKind::Overloaded, Ran::No));
    assert!(full.retry_after.is_some());
    domain_out(&mut desk, &group("g0"));
    let out = desk.acquire(&group("g0"), "depot").expect_err("out");
    assert_eq!((out.kind, out.ran), (RefusalKind::NoUpstream, Ran::No));
}

#[test]
fn large_team_leaves_places_to_small_one() {
    let mut desk = Desk::new();
    let slot = group("g0");
    desk.warm_up(&slot);
    desk.acquire(&slot, "small").expect("free");
    while desk.acquire(&slot, "large").is_ok() {}
    desk.acquire(&slot, "small").expect("a place is kept");
}

#[test]
fn lone_team_takes_all_places() {
    let mut desk = Desk::new();
    desk.warm_up(&group("g0"));
    assert_eq!(desk.fill(&group("g0")), FULL);
}

#[test]
fn higher_priority_goes_first_when_nearly_full() {
    let mut desk = Desk::new();
    let slot = group("g0");
    for (name, priority) in [("gate", 9), ("batch", 0)] {
        desk.config.insert(Record::Team(team(name, 100, priority)));
    }
    desk.publish();
    desk.warm_up(&slot);
    for _ in 0..7 {
        desk.acquire(&slot, "gate").expect("free");
    }
    while desk.acquire(&slot, "batch").is_ok() {}
    desk.acquire(&slot, "gate")
        .expect("the last places are the gates'");
}

#[test]
fn team_limit_counts_over_all_slots_here() {
    let mut desk = Desk::new();
    desk.config.insert(Record::Team(team("depot", 3, 0)));
    desk.publish();
    assert_eq!(desk.fill(&group("g0")), 2);
    assert_eq!(desk.fill(&group("g1")), 1);
    let refusal = desk.acquire(&group("g1"), "depot").expect_err("limit");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::TeamLimit, Ran::No)
    );
}

#[test]
fn loads_show_zero_while_not_serving() {
    let mut desk = Desk::new();
    desk.fill(&group("g0"));
    let of = |desk: &Desk, slot: &Slot| {
        let loads = desk.admission.loads(&desk.cx);
        let load = loads.into_iter().find(|load| load.slot == *slot);
        load.map(|load| (load.in_flight, load.limit))
    };
    assert_eq!(of(&desk, &group("g0")), Some((2, 2)));
    member_leaving(&mut desk, &group("g0"));
    assert_eq!(of(&desk, &group("g0")), Some((2, 0)));
    assert_eq!(of(&desk, &group("g1")), Some((0, 2)));
    desk.placement.groups.remove(&id("g1"));
    desk.publish();
    assert_eq!(of(&desk, &group("g1")), None);
}
