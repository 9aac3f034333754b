//! Which slot, node or failure domain a call is sent to.

mod group_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use group_support::{
    DOMAIN, Desk, ME, PEER, call, domain_record, group, id, node_info, server, upstream, vm,
};
use shallottide::admission::Finished;
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

/// The desk with a record of the plain service and of the other failure domain.
fn desk() -> Desk {
    let mut desk = Desk::new();
    desk.config.insert(Record::Service(ServiceRecord {
        id: id("depot"),
        repeatable: Vec::new(),
        other_domains: true,
        split: None,
    }));
    for domain in [DOMAIN, "vmo"] {
        let record = domain_record(domain, DomainState::Serving);
        desk.config.insert(Record::Domain(record));
    }
    let model = desk.config.models.get_mut(&id("tide")).expect("known");
    model.groups.insert(id("vmo"), 1);
    let mut other = upstream("u9", "depot");
    other.failure_domain = id("vmo");
    desk.config.insert(Record::Upstream(other));
    desk.publish();
    desk
}

/// Where a route leads, as one word.
fn end(route: &Route) -> String {
    let slot = |slot: &Slot| match slot {
        Slot::Group(id) => id.to_string(),
        Slot::Service(id) => id.to_string(),
    };
    match route {
        Route::Local { slot: s, .. } | Route::Peer { slot: s, .. } => slot(s),
        Route::Domain { node } => node.domain.to_string(),
    }
}

/// Counts where calls go, as routed or refused.
fn ends(desk: &mut Desk, target: &Target, calls: u64) -> BTreeMap<String, u64> {
    let mut ends = BTreeMap::new();
    for number in 0..calls {
        let word = match desk.route(&call(number, target.clone())) {
            Ok(route) => end(&route),
            Err(refusal) => {
                assert_eq!(refusal.ran, Ran::No);
                refusal.kind.to_string()
            }
        };
        *ends.entry(word).or_insert(0) += 1;
    }
    ends
}

/// Brings something about and checks to which ends 200 calls go.
fn goes_to(fault: fn(&mut Desk), target: &Target, expected: &[&str]) {
    let mut desk = desk();
    fault(&mut desk);
    let ends = ends(&mut desk, target, 200);
    let words: Vec<&str> = ends.keys().map(String::as_str).collect();
    assert_eq!(words, expected);
}

fn nothing(_: &mut Desk) {}

fn dispatched_by_peer(desk: &mut Desk) {
    desk.move_to_peer();
}

fn peer_says_not_ready(desk: &mut Desk) {
    desk.move_to_peer();
    desk.load(&group("g0"), PEER, 0, 0);
    desk.load(&server("u0"), PEER, 0, 0);
}

fn peer_says_full(desk: &mut Desk) {
    desk.move_to_peer();
    desk.load(&group("g0"), PEER, 16, 16);
    desk.load(&server("u0"), PEER, 16, 16);
    desk.load(&group("g1"), PEER, 3, 16);
    desk.load(&server("u1"), PEER, 3, 16);
}

fn all_say_not_ready(desk: &mut Desk) {
    stay_home(desk);
    desk.move_to_peer();
    for slot in [group("g0"), group("g1")] {
        desk.load(&slot, PEER, 0, 0);
    }
}

fn old_dispatcher_says_not_ready(desk: &mut Desk) {
    all_say_not_ready(desk);
    for slot in [group("g0"), group("g1")] {
        desk.load(&slot, ME, 0, 0);
    }
}

fn peer_said_not_ready_long_ago(desk: &mut Desk) {
    all_say_not_ready(desk);
    desk.wait(Duration::from_secs(8));
}

fn peer_is_dead(desk: &mut Desk) {
    desk.move_to_peer();
    let peer = desk.members.nodes.get_mut(&id(PEER));
    peer.expect("known").alive = false;
    desk.publish();
}

fn out(desk: &mut Desk) {
    desk.config
        .insert(Record::Domain(domain_record(DOMAIN, DomainState::Out)));
    desk.publish();
}

fn both_out(desk: &mut Desk) {
    out(desk);
    desk.config
        .insert(Record::Domain(domain_record("vmo", DomainState::Out)));
    desk.publish();
}

fn stay_home(desk: &mut Desk) {
    desk.config
        .models
        .values_mut()
        .for_each(|m| m.other_domains = false);
    desk.config
        .services
        .values_mut()
        .for_each(|s| s.other_domains = false);
    desk.publish();
}

fn out_and_stay_home(desk: &mut Desk) {
    stay_home(desk);
    out(desk);
}

fn server_leaves(desk: &mut Desk) {
    let record = desk.config.upstreams.get_mut(&id("u0"));
    record.expect("known").state = UpstreamState::Leaving;
    desk.publish();
}

fn member_leaves(desk: &mut Desk) {
    let member = desk.fleet.vms.get_mut(&vm(1, "a").id);
    member.expect("known").leaving = true;
    desk.publish();
}

fn member_holds_old_assignment(desk: &mut Desk) {
    desk.change_report(0, |report| {
        report.assignment.as_mut().expect("assigned").formed = FencingToken(0);
    });
}

fn reports_stop(desk: &mut Desk) {
    desk.clock.advance(Duration::from_secs(10));
}

fn reports_stop_and_stay_home(desk: &mut Desk) {
    stay_home(desk);
    reports_stop(desk);
}

fn no_such_record(desk: &mut Desk) {
    desk.config.models.clear();
    desk.config.services.clear();
    desk.publish();
}

fn fails_often(desk: &mut Desk) {
    for slot in [group("g0"), server("u0")] {
        let address = ([127, 0, 0, 1], 1).into();
        let route = Route::Local { slot, address };
        finish(desk, &route, false, 0);
    }
}

fn straggles(desk: &mut Desk) {
    for (slot, first_ms) in [
        (group("g0"), 900),
        (group("g1"), 100),
        (server("u0"), 900),
        (server("u1"), 100),
    ] {
        let address = ([127, 0, 0, 1], 1).into();
        finish(desk, &Route::Local { slot, address }, true, first_ms);
    }
}

fn finish(desk: &mut Desk, route: &Route, complete: bool, first_ms: u64) {
    desk.router.started(route, &desk.cx);
    let finished = Finished {
        complete,
        started: desk.now(),
        first_byte: complete.then(|| Duration::from_millis(first_ms)),
    };
    desk.router.finished(route, &finished, &desk.cx);
}

cases! {
    goes_to;
    calls_go_to_both_groups: nothing, &tide(), &["g0", "g1"];
    calls_go_to_both_servers: nothing, &depot(), &["u0", "u1"];
    calls_go_to_groups_of_peer: dispatched_by_peer, &tide(), &["g0", "g1"];
    group_that_is_not_ready_gets_nothing: peer_says_not_ready, &tide(), &["g1"];
    server_that_is_not_ready_gets_nothing: peer_says_not_ready, &depot(), &["u1"];
    full_group_gets_nothing: peer_says_full, &tide(), &["g1"];
    full_server_gets_nothing: peer_says_full, &depot(), &["u1"];
    no_group_is_ready: all_say_not_ready, &tide(), &["no_upstream"];
    load_of_old_dispatcher_counts_nothing: old_dispatcher_says_not_ready, &tide(), &["g0", "g1"];
    stale_load_counts_nothing: peer_said_not_ready_long_ago, &tide(), &["g0", "g1"];
    dead_dispatcher_sends_model_calls_away: peer_is_dead, &tide(), &["vmo"];
    dead_dispatcher_sends_service_calls_away: peer_is_dead, &depot(), &["vmo"];
    out_domain_sends_model_calls_away: out, &tide(), &["vmo"];
    out_domain_sends_service_calls_away: out, &depot(), &["vmo"];
    out_domain_is_not_asked: both_out, &tide(), &["no_upstream"];
    record_keeps_model_calls_home: out_and_stay_home, &tide(), &["no_upstream"];
    record_keeps_service_calls_home: out_and_stay_home, &depot(), &["no_upstream"];
    leaving_server_gets_nothing: server_leaves, &depot(), &["u1"];
    group_with_leaving_member_gets_nothing: member_leaves, &tide(), &["g1"];
    group_with_old_member_gets_nothing: member_holds_old_assignment, &tide(), &["g1"];
    silent_engines_send_calls_away: reports_stop, &tide(), &["vmo"];
    silent_engines_refuse_at_home: reports_stop_and_stay_home, &tide(), &["no_upstream"];
    unknown_model_is_refused: no_such_record, &tide(), &["not_found"];
    unknown_service_is_refused: no_such_record, &depot(), &["not_found"];
    failing_group_is_avoided: fails_often, &tide(), &["g1"];
    failing_server_is_avoided: fails_often, &depot(), &["u1"];
    straggling_group_is_avoided: straggles, &tide(), &["g1"];
    straggling_server_is_avoided: straggles, &depot(), &["u1"];
}

#[test]
fn failed_group_is_tried_again_later() {
    let mut desk = desk();
    fails_often(&mut desk);
    desk.wait(Duration::from_secs(2));
    assert_eq!(ends(&mut desk, &tide(), 200).len(), 2);
}

#[test]
fn own_calls_count_before_the_next_summary() {
    let mut desk = desk();
    desk.move_to_peer();
    desk.load(&group("g0"), PEER, 4, 16);
    desk.load(&group("g1"), PEER, 8, 16);
    desk.clock.advance(Duration::from_millis(10));
    let mut ends = Vec::new();
    for number in 0..8 {
        let route = desk.route(&call(number, tide())).expect("places are free");
        desk.router.started(&route, &desk.cx);
        ends.push(end(&route));
    }
    let to_g0 = ends.iter().filter(|end| *end == "g0").count();
    assert_eq!(to_g0, 6, "both end up with ten: {ends:?}");
}

#[test]
fn full_everywhere_is_refused_early() {
    let mut desk = desk();
    stay_home(&mut desk);
    desk.move_to_peer();
    for slot in [group("g0"), group("g1")] {
        desk.load(&slot, PEER, 16, 16);
    }
    let head = call(1, tide());
    let first = desk.route(&head).expect("one try, the summary may be late");
    let Route::Peer { slot, .. } = first else {
        panic!("{first:?}");
    };
    let refusal = desk.route_after(&head, &BTreeSet::from([slot]), false);
    let refusal = refusal.expect_err("the other is full too");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (RefusalKind::Overloaded, Ran::No)
    );
    assert!(refusal.retry_after.is_some());
}

#[test]
fn forwarded_call_stays_in_its_domain() {
    let mut desk = desk();
    out(&mut desk);
    let refusal = desk.route_after(&call(1, tide()), &BTreeSet::new(), true);
    assert_eq!(refusal.expect_err("out").kind, RefusalKind::NoUpstream);
}

#[test]
fn tried_slots_are_not_chosen_again() {
    let mut desk = desk();
    for number in 0..50 {
        let tried = BTreeSet::from([group("g0")]);
        let route = desk.route_after(&call(number, tide()), &tried, false);
        assert_eq!(end(&route.expect("the other is free")), "g1");
    }
}

/// A peer's choice holds only where this node dispatches to it and it is ready.
fn chosen_slot(fault: fn(&mut Desk), accepted: bool) {
    let mut desk = desk();
    fault(&mut desk);
    let query = RouteQuery {
        head: &call(1, tide()),
        chosen: Some(&group("g0")),
        tried: &BTreeSet::new(),
        tried_domains: &BTreeSet::new(),
        own_domain_only: true,
    };
    let route = desk.router.route(&query, &desk.cx);
    match route {
        Ok(Route::Local { slot, .. }) => assert!(accepted && slot == group("g0")),
        Ok(other) => panic!("{other:?}"),
        Err(refusal) => assert!(!accepted && refusal.ran == Ran::No),
    }
}

cases! {
    chosen_slot;
    chosen_slot_is_taken: nothing, true;
    chosen_slot_of_another_dispatcher_is_refused: dispatched_by_peer, false;
    chosen_slot_in_out_domain_is_refused: out, false;
    chosen_slot_with_leaving_member_is_refused: member_leaves, false;
    chosen_slot_with_old_member_is_refused: member_holds_old_assignment, false;
}

#[test]
fn prefix_keeps_its_slot_until_that_is_busy() {
    let mut desk = desk();
    let head = |number| CallHead {
        prefix: Some(7),
        ..call(number, tide())
    };
    for slot in [group("g0"), group("g1")] {
        desk.load(&slot, ME, 0, 16);
    }
    let preferred = desk.route(&head(0)).expect("free");
    for number in 1..50 {
        let route = desk.route(&head(number)).expect("free");
        assert_eq!(route, preferred, "one slot holds the prefix");
    }
    for _ in 0..4 {
        desk.router.started(&preferred, &desk.cx);
    }
    let route = desk.route(&head(98)).expect("free");
    assert_eq!(route, preferred, "within the slack");
    desk.router.started(&preferred, &desk.cx);
    let route = desk.route(&head(99)).expect("free");
    assert_ne!(route, preferred, "beyond the slack");
}

/// Adds old upstreams and a split; `old` says of how many in 1000 calls go there.
fn split(target: &Target, percent: u8, range: std::ops::RangeInclusive<u64>) {
    let mut desk = desk();
    let name = match target {
        Target::Model(_) => "tide",
        Target::Service(_) => "depot",
    };
    let mut old = upstream("old", name);
    old.generation = Generation::Old;
    desk.config.insert(Record::Upstream(old));
    desk.placement.services.insert(id("old"), id(ME));
    let split = Some(TrafficSplit {
        old_percent: percent,
        teams: BTreeMap::from([(id("pilot"), 0)]),
    });
    desk.config
        .models
        .values_mut()
        .for_each(|m| m.split.clone_from(&split));
    desk.config
        .services
        .values_mut()
        .for_each(|s| s.split.clone_from(&split));
    desk.publish();
    let ends = ends(&mut desk, target, 1000);
    let count = ends.get("old").copied().unwrap_or(0);
    assert!(range.contains(&count), "{ends:?}");
    let pilot = CallHead {
        team: id("pilot"),
        ..call(1, target.clone())
    };
    assert_ne!(end(&desk.route(&pilot).expect("free")), "old");
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

/// With the new groups gone, a share falls back to the old system, but nothing moves there
/// that operators have taken off it.
fn new_groups_gone(percent: u8, expected: &str) {
    let mut desk = desk();
    stay_home(&mut desk);
    let mut old = upstream("old", "tide");
    old.generation = Generation::Old;
    desk.config.insert(Record::Upstream(old));
    desk.placement.services.insert(id("old"), id(ME));
    for model in desk.config.models.values_mut() {
        model.split = Some(TrafficSplit {
            old_percent: percent,
            teams: BTreeMap::new(),
        });
    }
    desk.publish();
    reports_stop(&mut desk);
    let ends = ends(&mut desk, &tide(), 200);
    assert_eq!(ends, BTreeMap::from([(expected.into(), 200)]));
}

cases! {
    new_groups_gone;
    share_falls_back_to_old: 30, "old";
    nothing_falls_back_to_old_at_zero_percent: 0, "no_upstream";
}

#[test]
fn domain_with_nothing_for_the_target_is_not_asked() {
    let mut desk = desk();
    desk.add_node(node_info("entry-8", "hlm", 7_008));
    let hlm = domain_record("hlm", DomainState::Serving);
    desk.config.insert(Record::Domain(hlm));
    out(&mut desk);
    assert_eq!(
        ends(&mut desk, &tide(), 100),
        BTreeMap::from([("vmo".into(), 100)])
    );
}
