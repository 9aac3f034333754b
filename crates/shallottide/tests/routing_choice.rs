//! Choice of the slot, node or failure domain for a call.

mod group_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use group_support::{
    DOMAIN, DispatcherHarness, ME, PEER, call, domain_record, group, id, node_info, server,
    upstream, vm,
};
use shallottide::admission::RequestOutcome;
use shallottide::routing::{Route, RouteQuery, Router};
use shallottide_types::call::{CallHead, Target};
use shallottide_types::cases;
use shallottide_types::id::FencingToken;
use shallottide_types::peer::Slot;
use shallottide_types::record::{
    DomainState, Generation, Record, ServiceRecord, TrafficSplit, UpstreamState,
};
use shallottide_types::refusal::{Ran, RefusalKind};

fn tide() -> Target {
    Target::Model(id("tide"))
}

fn depot() -> Target {
    Target::Service(id("depot"))
}

/// Returns a harness with records of the plain service and of the other failure domain.
fn harness() -> DispatcherHarness {
    let mut harness = DispatcherHarness::new();
    harness.config.insert(Record::Service(ServiceRecord {
        id: id("depot"),
        repeatable: Vec::new(),
        other_domains: true,
        split: None,
    }));
    for domain in [DOMAIN, "vmo"] {
        let record = domain_record(domain, DomainState::Serving);
        harness.config.insert(Record::Domain(record));
    }
    let model = harness.config.models.get_mut(&id("tide")).expect("known");
    model.groups.insert(id("vmo"), 1);
    let mut other = upstream("u9", "depot");
    other.failure_domain = id("vmo");
    harness.config.insert(Record::Upstream(other));
    harness.publish();
    harness
}

/// Returns the slot's or the other domain's id for a route.
fn destination(route: &Route) -> String {
    let slot = |slot: &Slot| match slot {
        Slot::Group(id) => id.to_string(),
        Slot::Service(id) => id.to_string(),
    };
    match route {
        Route::Local { slot: s, .. } | Route::Peer { slot: s, .. } => slot(s),
        Route::Domain { node } => node.domain.to_string(),
    }
}

/// Routes calls and counts their destinations or refusal kinds.
fn destinations(
    harness: &mut DispatcherHarness,
    target: &Target,
    calls: u64,
) -> BTreeMap<String, u64> {
    let mut destinations = BTreeMap::new();
    for number in 0..calls {
        let word = match harness.route(&call(number, target.clone())) {
            Ok(route) => destination(&route),
            Err(refusal) => {
                assert_eq!(refusal.ran, Ran::No);
                refusal.kind.to_string()
            }
        };
        *destinations.entry(word).or_insert(0) += 1;
    }
    destinations
}

/// Injects a fault and checks the set of destinations of 200 calls.
fn calls_are_routed_to(fault: fn(&mut DispatcherHarness), target: &Target, expected: &[&str]) {
    let mut harness = harness();
    fault(&mut harness);
    let destinations = destinations(&mut harness, target, 200);
    let words: Vec<&str> = destinations.keys().map(String::as_str).collect();
    assert_eq!(words, expected);
}

fn no_fault(_: &mut DispatcherHarness) {}

fn dispatched_by_peer(harness: &mut DispatcherHarness) {
    harness.move_to_peer();
}

fn peer_reports_not_ready(harness: &mut DispatcherHarness) {
    harness.move_to_peer();
    harness.set_load(&group("g0"), PEER, 0, 0);
    harness.set_load(&server("u0"), PEER, 0, 0);
}

fn peer_reports_full(harness: &mut DispatcherHarness) {
    harness.move_to_peer();
    harness.set_load(&group("g0"), PEER, 16, 16);
    harness.set_load(&server("u0"), PEER, 16, 16);
    harness.set_load(&group("g1"), PEER, 3, 16);
    harness.set_load(&server("u1"), PEER, 3, 16);
}

fn all_report_not_ready(harness: &mut DispatcherHarness) {
    forbid_other_domains(harness);
    harness.move_to_peer();
    for slot in [group("g0"), group("g1")] {
        harness.set_load(&slot, PEER, 0, 0);
    }
}

fn old_dispatcher_reports_not_ready(harness: &mut DispatcherHarness) {
    all_report_not_ready(harness);
    for slot in [group("g0"), group("g1")] {
        harness.set_load(&slot, ME, 0, 0);
    }
}

fn peer_reported_not_ready_long_ago(harness: &mut DispatcherHarness) {
    all_report_not_ready(harness);
    harness.wait(Duration::from_secs(8));
}

fn peer_is_dead(harness: &mut DispatcherHarness) {
    harness.move_to_peer();
    let peer = harness.members.nodes.get_mut(&id(PEER));
    peer.expect("known").alive = false;
    harness.publish();
}

fn out(harness: &mut DispatcherHarness) {
    harness
        .config
        .insert(Record::Domain(domain_record(DOMAIN, DomainState::Out)));
    harness.publish();
}

fn both_out(harness: &mut DispatcherHarness) {
    out(harness);
    harness
        .config
        .insert(Record::Domain(domain_record("vmo", DomainState::Out)));
    harness.publish();
}

fn forbid_other_domains(harness: &mut DispatcherHarness) {
    harness
        .config
        .models
        .values_mut()
        .for_each(|m| m.other_domains = false);
    harness
        .config
        .services
        .values_mut()
        .for_each(|s| s.other_domains = false);
    harness.publish();
}

fn out_without_other_domains(harness: &mut DispatcherHarness) {
    forbid_other_domains(harness);
    out(harness);
}

fn server_leaves(harness: &mut DispatcherHarness) {
    let record = harness.config.upstreams.get_mut(&id("u0"));
    record.expect("known").state = UpstreamState::Leaving;
    harness.publish();
}

fn member_leaves(harness: &mut DispatcherHarness) {
    let member = harness.engines.vms.get_mut(&vm(1, "a").id);
    member.expect("known").leaving = true;
    harness.publish();
}

fn member_holds_old_assignment(harness: &mut DispatcherHarness) {
    harness.change_report(0, |report| {
        report.assignment.as_mut().expect("assigned").formed = FencingToken(0);
    });
}

fn reports_stop(harness: &mut DispatcherHarness) {
    harness.clock.advance(Duration::from_secs(10));
}

fn reports_stop_without_other_domains(harness: &mut DispatcherHarness) {
    forbid_other_domains(harness);
    reports_stop(harness);
}

fn no_such_record(harness: &mut DispatcherHarness) {
    harness.config.models.clear();
    harness.config.services.clear();
    harness.publish();
}

fn first_slots_fail(harness: &mut DispatcherHarness) {
    for slot in [group("g0"), server("u0")] {
        let address = ([127, 0, 0, 1], 1).into();
        let route = Route::Local { slot, address };
        record_call(harness, &route, false, 0);
    }
}

fn first_slots_straggle(harness: &mut DispatcherHarness) {
    for (slot, first_ms) in [
        (group("g0"), 900),
        (group("g1"), 100),
        (server("u0"), 900),
        (server("u1"), 100),
    ] {
        let address = ([127, 0, 0, 1], 1).into();
        record_call(harness, &Route::Local { slot, address }, true, first_ms);
    }
}

fn record_call(harness: &mut DispatcherHarness, route: &Route, complete: bool, first_ms: u64) {
    harness.router.record_start(route, &harness.cx);
    let finished = RequestOutcome {
        complete,
        started: harness.now(),
        first_byte: complete.then(|| Duration::from_millis(first_ms)),
    };
    harness.router.record_finish(route, &finished, &harness.cx);
}

cases! {
    calls_are_routed_to;
    calls_go_to_both_groups: no_fault, &tide(), &["g0", "g1"];
    calls_go_to_both_servers: no_fault, &depot(), &["u0", "u1"];
    calls_go_to_groups_of_peer: dispatched_by_peer, &tide(), &["g0", "g1"];
    group_that_is_not_ready_gets_no_calls: peer_reports_not_ready, &tide(), &["g1"];
    server_that_is_not_ready_gets_no_calls: peer_reports_not_ready, &depot(), &["u1"];
    full_group_gets_no_calls: peer_reports_full, &tide(), &["g1"];
    full_server_gets_no_calls: peer_reports_full, &depot(), &["u1"];
    no_group_is_ready: all_report_not_ready, &tide(), &["no_upstream"];
    load_of_old_dispatcher_is_ignored: old_dispatcher_reports_not_ready, &tide(), &["g0", "g1"];
    stale_load_is_ignored: peer_reported_not_ready_long_ago, &tide(), &["g0", "g1"];
    dead_dispatcher_sends_model_calls_to_other_domain: peer_is_dead, &tide(), &["vmo"];
    dead_dispatcher_sends_service_calls_to_other_domain: peer_is_dead, &depot(), &["vmo"];
    out_domain_sends_model_calls_to_other_domain: out, &tide(), &["vmo"];
    out_domain_sends_service_calls_to_other_domain: out, &depot(), &["vmo"];
    out_domain_gets_no_calls: both_out, &tide(), &["no_upstream"];
    record_keeps_model_calls_in_domain: out_without_other_domains, &tide(), &["no_upstream"];
    record_keeps_service_calls_in_domain: out_without_other_domains, &depot(), &["no_upstream"];
    leaving_server_gets_no_calls: server_leaves, &depot(), &["u1"];
    group_with_leaving_member_gets_no_requests: member_leaves, &tide(), &["g1"];
    group_with_old_assignment_gets_no_calls: member_holds_old_assignment, &tide(), &["g1"];
    stale_reports_send_calls_to_other_domain: reports_stop, &tide(), &["vmo"];
    stale_reports_refuse_calls_kept_in_domain: reports_stop_without_other_domains, &tide(), &["no_upstream"];
    unknown_model_is_refused: no_such_record, &tide(), &["not_found"];
    unknown_service_is_refused: no_such_record, &depot(), &["not_found"];
    failing_group_is_avoided: first_slots_fail, &tide(), &["g1"];
    failing_server_is_avoided: first_slots_fail, &depot(), &["u1"];
    straggling_group_is_avoided: first_slots_straggle, &tide(), &["g1"];
    straggling_server_is_avoided: first_slots_straggle, &depot(), &["u1"];
}

#[test]
fn failed_group_is_tried_again_later() {
    let mut harness = harness();
    first_slots_fail(&mut harness);
    harness.wait(Duration::from_secs(2));
    assert_eq!(destinations(&mut harness, &tide(), 200).len(), 2);
}

#[test]
fn own_calls_count_before_the_next_summary() {
    let mut harness = harness();
    harness.move_to_peer();
    harness.set_load(&group("g0"), PEER, 4, 16);
    harness.set_load(&group("g1"), PEER, 8, 16);
    harness.clock.advance(Duration::from_millis(10));
    let mut destinations = Vec::new();
    for number in 0..8 {
        let route = harness
            .route(&call(number, tide()))
            .expect("permits are free");
        harness.router.record_start(&route, &harness.cx);
        destinations.push(destination(&route));
    }
    let to_g0 = destinations
        .iter()
        .filter(|destination| *destination == "g0")
        .count();
    assert_eq!(to_g0, 6, "both slots end up with ten: {destinations:?}");
}

#[test]
fn call_is_refused_when_all_slots_are_full() {
    let mut harness = harness();
    forbid_other_domains(&mut harness);
    harness.move_to_peer();
    for slot in [group("g0"), group("g1")] {
        harness.set_load(&slot, PEER, 16, 16);
    }
    let head = call(1, tide());
    let first = harness
        .route(&head)
        .expect("one try, because the summary may be outdated");
    let Route::Peer { slot, .. } = first else {
        panic!("{first:?}");
    };
    let refusal = harness.route_after(&head, &BTreeSet::from([slot]), false);
    let refusal = refusal.expect_err("the other is full too");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::Overloaded, Ran::No)
    );
    assert!(refusal.retry_after.is_some());
}

#[test]
fn forwarded_call_stays_in_its_domain() {
    let mut harness = harness();
    out(&mut harness);
    let refusal = harness.route_after(&call(1, tide()), &BTreeSet::new(), true);
    assert_eq!(refusal.expect_err("out").kind, RefusalKind::NoUpstream);
}

#[test]
fn tried_slots_are_not_chosen_again() {
    let mut harness = harness();
    for number in 0..50 {
        let tried = BTreeSet::from([group("g0")]);
        let route = harness.route_after(&call(number, tide()), &tried, false);
        assert_eq!(destination(&route.expect("the other is free")), "g1");
    }
}

/// A forwarded call is accepted only if this node dispatches to the chosen slot and it is ready.
fn chosen_slot(fault: fn(&mut DispatcherHarness), accepted: bool) {
    let mut harness = harness();
    fault(&mut harness);
    let query = RouteQuery {
        head: &call(1, tide()),
        forwarded_slot: Some(&group("g0")),
        tried: &BTreeSet::new(),
        tried_domains: &BTreeSet::new(),
        own_domain_only: true,
    };
    let route = harness.router.route(&query, &harness.cx);
    match route {
        Ok(Route::Local { slot, .. }) => assert!(accepted && slot == group("g0")),
        Ok(other) => panic!("{other:?}"),
        Err(refusal) => assert!(!accepted && refusal.ran == Ran::No),
    }
}

cases! {
    chosen_slot;
    chosen_slot_is_taken: no_fault, true;
    chosen_slot_of_another_dispatcher_is_refused: dispatched_by_peer, false;
    chosen_slot_in_out_domain_is_refused: out, false;
    chosen_slot_with_leaving_member_is_refused: member_leaves, false;
    chosen_slot_with_old_member_is_refused: member_holds_old_assignment, false;
}

#[test]
fn prefix_keeps_its_slot_until_that_is_busy() {
    let mut harness = harness();
    let head = |number| CallHead {
        prefix: Some(7),
        ..call(number, tide())
    };
    for slot in [group("g0"), group("g1")] {
        harness.set_load(&slot, ME, 0, 16);
    }
    let preferred = harness.route(&head(0)).expect("free");
    for number in 1..50 {
        let route = harness.route(&head(number)).expect("free");
        assert_eq!(route, preferred, "one slot holds the prefix");
    }
    for _ in 0..4 {
        harness.router.record_start(&preferred, &harness.cx);
    }
    let route = harness.route(&head(98)).expect("free");
    assert_eq!(route, preferred, "within the slack");
    harness.router.record_start(&preferred, &harness.cx);
    let route = harness.route(&head(99)).expect("free");
    assert_ne!(route, preferred, "beyond the slack");
}

/// Adds an old upstream and a traffic split; checks that the number of calls in 1000 that go to
/// the old upstream lies in `range`.
fn split(target: &Target, percent: u8, range: std::ops::RangeInclusive<u64>) {
    let mut harness = harness();
    let name = match target {
        Target::Model(_) => "tide",
        Target::Service(_) => "depot",
    };
    let mut old = upstream("old", name);
    old.generation = Generation::Old;
    harness.config.insert(Record::Upstream(old));
    harness.placement.services.insert(id("old"), id(ME));
    let split = Some(TrafficSplit {
        old_percent: percent,
        teams: BTreeMap::from([(id("pilot"), 0)]),
    });
    harness
        .config
        .models
        .values_mut()
        .for_each(|m| m.split.clone_from(&split));
    harness
        .config
        .services
        .values_mut()
        .for_each(|s| s.split.clone_from(&split));
    harness.publish();
    let destinations = destinations(&mut harness, target, 1000);
    let count = destinations.get("old").copied().unwrap_or(0);
    assert!(range.contains(&count), "{destinations:?}");
    let pilot = CallHead {
        team: id("pilot"),
        ..call(1, target.clone())
    };
    assert_ne!(destination(&harness.route(&pilot).expect("free")), "old");
}

cases! {
    split;
    split_sends_no_model_call_to_old: &tide(), 0, 0..=0;
    split_sends_a_share_of_model_calls_to_old: &tide(), 30, 250..=350;
    split_sends_all_model_calls_to_old: &tide(), 100, 1000..=1000;
    split_sends_no_service_call_to_old: &depot(), 0, 0..=0;
    split_sends_a_share_of_service_calls_to_old: &depot(), 30, 250..=350;
    split_sends_all_service_calls_to_old: &depot(), 100, 1000..=1000;
}

/// When the new groups are not ready, calls fall back to the old system, except when operators
/// have set its share to zero.
fn new_groups_stale(percent: u8, expected: &str) {
    let mut harness = harness();
    forbid_other_domains(&mut harness);
    let mut old = upstream("old", "tide");
    old.generation = Generation::Old;
    harness.config.insert(Record::Upstream(old));
    harness.placement.services.insert(id("old"), id(ME));
    for model in harness.config.models.values_mut() {
        model.split = Some(TrafficSplit {
            old_percent: percent,
            teams: BTreeMap::new(),
        });
    }
    harness.publish();
    reports_stop(&mut harness);
    let destinations = destinations(&mut harness, &tide(), 200);
    assert_eq!(destinations, BTreeMap::from([(expected.into(), 200)]));
}

cases! {
    new_groups_stale;
    calls_fall_back_to_old_with_a_share: 30, "old";
    no_fallback_to_old_at_zero_percent: 0, "no_upstream";
}

#[test]
fn domain_without_the_target_gets_no_calls() {
    let mut harness = harness();
    harness.add_node(node_info("entry-8", "hlm", 7_008));
    let hlm = domain_record("hlm", DomainState::Serving);
    harness.config.insert(Record::Domain(hlm));
    out(&mut harness);
    assert_eq!(
        destinations(&mut harness, &tide(), 100),
        BTreeMap::from([("vmo".into(), 100)])
    );
}
