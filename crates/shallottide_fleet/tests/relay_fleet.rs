//! Callers of nodes that are cut off from all upstreams, served through other nodes.

mod support;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_types::cases;
use support::{
    CutOutcome, CutScenario, LinkFailure, SimService, large_service, ms, play_cut, small_service,
};

const CUT_AT: Duration = ms(3_000);
const CUT_END: Duration = ms(15_000);
/// Time after the begin of a cut from which the rule holds.
const STABILITY_WINDOW: Duration = ms(3_000);
/// Time after the end of a cut by which calls are sent over own links again.
const RETURN_TIME: Duration = ms(5_000);
/// The same when links were lost several times.
const LONGEST_RETURN: Duration = ms(16_000);
const CAPACITIES: [usize; 4] = [250, 120, 250, 500];

fn seeds(nodes: usize) -> Range<u64> {
    match nodes {
        ..=10 => 0..10,
        11..=100 => 0..2,
        _ => 0..1,
    }
}

/// The nodes of the first of three failure domains.
fn one_domain(nodes: usize) -> Vec<usize> {
    (0..nodes).step_by(3).collect()
}

fn first(cut: usize) -> Vec<usize> {
    (0..cut).collect()
}

/// Guards against callers of cut-off nodes that are refused or wait in vain, helpers that get most of
/// the calls, and nodes that do not use their links again.
fn callers_of_cut_off_nodes_are_served(nodes: usize, cut: &[usize], kind: LinkFailure) {
    let services = [large_service(), small_service()];
    callers_of_services_are_served(&services, nodes, cut, kind);
}

fn callers_of_services_are_served(
    services: &[SimService],
    nodes: usize,
    cut: &[usize],
    kind: LinkFailure,
) {
    for seed in seeds(nodes) {
        let scenario =
            CutScenario::new(nodes, services.to_vec(), CUT_END + RETURN_TIME + ms(2_000));
        let scenario = scenario.cut(kind, cut.iter().copied(), CUT_AT, CUT_END);
        let outcome = play_cut(&scenario, seed);
        check_served(&outcome, cut, seed);
        check_helpers(&outcome, nodes, cut, seed);
        assert!(outcome.faults().is_empty(), "seed {seed}: held at fault");
        for (link, times) in &outcome.links {
            let last = times.last_not_up.map_or(Duration::ZERO, |(at, _)| at);
            assert!(
                last <= CUT_END + RETURN_TIME,
                "seed {seed}, {link:?}: {times:?}"
            );
            let is_cut = cut.contains(&link.0);
            assert!(
                is_cut || times.lost.is_empty(),
                "seed {seed}, {link:?}: {times:?}"
            );
        }
    }
}

fn check_served(outcome: &CutOutcome, cut: &[usize], seed: u64) {
    let time = CUT_AT + STABILITY_WINDOW..CUT_END;
    let (tries, served) = outcome.served(|node| cut.contains(&node), &time);
    let (other_tries, other_served) = outcome.served(|node| !cut.contains(&node), &time);
    let what = format!(
        "seed {seed}: {served} of {tries} at cut-off nodes, {other_served} of {other_tries} at others"
    );
    // Served at least two thirds as often, and no more failures than 10 and one in 50.
    assert!(
        served * other_tries * 3 >= other_served * tries * 2,
        "{what}"
    );
    assert!(tries - served <= 10 + tries / 50, "{what}");
    assert!(
        other_tries - other_served <= 10 + other_tries / 50,
        "{what}"
    );
}

/// No helper gets more than twice its part by capacity, and 10 calls for chance.
fn check_helpers(outcome: &CutOutcome, nodes: usize, cut: &[usize], seed: u64) {
    let mut accepted: BTreeMap<usize, usize> = BTreeMap::new();
    for try_ in &outcome.tries {
        assert!(try_.helpers.len() <= 1, "seed {seed}: run by two helpers");
        for helper in &try_.helpers {
            *accepted.entry(*helper).or_default() += 1;
        }
    }
    let capacity = |node: usize| CAPACITIES[node % 4];
    let helpers = (0..nodes).filter(|node| !cut.contains(node));
    let sum: usize = helpers.map(capacity).sum();
    let all: usize = accepted.values().sum();
    for (helper, count) in accepted {
        let even = all * capacity(helper) / sum;
        assert!(
            count <= 2 * even + 10,
            "seed {seed}: {count} of {all} at node {helper}, an even part is {even}"
        );
    }
}

cases! {
    callers_of_cut_off_nodes_are_served;
    one_of_two_hangs: 2, &first(1), LinkFailure::Hang;
    one_of_two_is_reset: 2, &first(1), LinkFailure::Reset;
    one_of_two_is_half_cut: 2, &first(1), LinkFailure::HalfCut;
    two_of_seven_hang: 7, &first(2), LinkFailure::Hang;
    two_of_seven_are_reset: 7, &first(2), LinkFailure::Reset;
    two_of_seven_are_half_cut: 7, &first(2), LinkFailure::HalfCut;
    six_of_seven_hang: 7, &first(6), LinkFailure::Hang;
    six_of_seven_are_reset: 7, &first(6), LinkFailure::Reset;
    six_of_seven_are_half_cut: 7, &first(6), LinkFailure::HalfCut;
    domain_of_seven_hangs: 7, &one_domain(7), LinkFailure::Hang;
    domain_of_seven_is_reset: 7, &one_domain(7), LinkFailure::Reset;
    domain_of_seven_is_half_cut: 7, &one_domain(7), LinkFailure::HalfCut;
    eight_of_thirty_hang: 30, &first(8), LinkFailure::Hang;
    eight_of_thirty_are_reset: 30, &first(8), LinkFailure::Reset;
    eight_of_thirty_are_half_cut: 30, &first(8), LinkFailure::HalfCut;
    domain_of_thirty_hangs: 30, &one_domain(30), LinkFailure::Hang;
    domain_of_thirty_is_reset: 30, &one_domain(30), LinkFailure::Reset;
    domain_of_thirty_is_half_cut: 30, &one_domain(30), LinkFailure::HalfCut;
    most_of_thirty_hang: 30, &first(24), LinkFailure::Hang;
    most_of_thirty_are_reset: 30, &first(24), LinkFailure::Reset;
    most_of_thirty_are_half_cut: 30, &first(24), LinkFailure::HalfCut;
    domain_of_ninety_five_hangs: 95, &one_domain(95), LinkFailure::Hang;
    domain_of_ninety_five_is_reset: 95, &one_domain(95), LinkFailure::Reset;
    domain_of_ninety_five_is_half_cut: 95, &one_domain(95), LinkFailure::HalfCut;
    most_of_ninety_five_hang: 95, &first(70), LinkFailure::Hang;
    most_of_ninety_five_are_reset: 95, &first(70), LinkFailure::Reset;
    most_of_ninety_five_are_half_cut: 95, &first(70), LinkFailure::HalfCut;
    domain_of_four_hundred_hangs: 400, &one_domain(400), LinkFailure::Hang;
    domain_of_four_hundred_is_reset: 400, &one_domain(400), LinkFailure::Reset;
    domain_of_four_hundred_is_half_cut: 400, &one_domain(400), LinkFailure::HalfCut;
    most_of_four_hundred_hang: 400, &first(300), LinkFailure::Hang;
    most_of_four_hundred_are_reset: 400, &first(300), LinkFailure::Reset;
    most_of_four_hundred_are_half_cut: 400, &first(300), LinkFailure::HalfCut;
}

/// A service to each of whose upstreams a node may open one connection.
fn few_connections() -> SimService {
    SimService {
        upstreams: 10,
        max_connections: 1,
        ..small_service()
    }
}

cases! {
    callers_of_services_are_served;
    few_connections_hang_at_two_of_seven: &[large_service(), few_connections()], 7, &first(2), LinkFailure::Hang;
    few_connections_are_reset_at_two_of_seven: &[large_service(), few_connections()], 7, &first(2), LinkFailure::Reset;
    few_connections_are_half_cut_at_two_of_seven: &[large_service(), few_connections()], 7, &first(2), LinkFailure::HalfCut;
    only_few_connections_hang: &[few_connections()], 7, &first(2), LinkFailure::Hang;
    only_few_calls_and_half_cut: &[small_service()], 7, &first(2), LinkFailure::HalfCut;
    only_few_calls_and_hang: &[small_service()], 7, &first(2), LinkFailure::Hang;
    only_few_calls_and_reset: &[small_service()], 7, &first(2), LinkFailure::Reset;
}

/// Guards against nodes that send calls over links which fail again and again: their callers are served
/// no worse than those of nodes whose links stay lost.
fn links_that_flap_do_no_more_harm_than_lost_ones(kind: LinkFailure, up: Duration, down: Duration) {
    for seed in 0..10 {
        let services = vec![large_service(), small_service()];
        let scenario = CutScenario::new(7, services, CUT_END + RETURN_TIME);
        let lost = scenario.clone().cut(kind, [0, 1], CUT_AT, CUT_END);
        let mut flapping = scenario;
        let mut at = CUT_AT;
        while at < CUT_END {
            flapping = flapping.cut(kind, [0, 1], at, (at + down).min(CUT_END));
            at += down + up;
        }
        let time = CUT_AT + STABILITY_WINDOW..CUT_END;
        let failed = |scenario: &CutScenario| {
            let (tries, served) = play_cut(scenario, seed).served(|node| node < 2, &time);
            (tries, tries - served)
        };
        let (_, lost) = failed(&lost);
        let (tries, flapping) = failed(&flapping);
        assert!(
            flapping <= lost + 10 + tries / 50,
            "seed {seed}: {flapping} of {tries} calls failed, {lost} with lost links"
        );
    }
}

cases! {
    links_that_flap_do_no_more_harm_than_lost_ones;
    hanging_links_that_return_for_half_a_second: LinkFailure::Hang, ms(500), ms(1_500);
    hanging_links_that_return_for_two_seconds: LinkFailure::Hang, ms(2_000), ms(1_500);
    reset_links_that_return_for_half_a_second: LinkFailure::Reset, ms(500), ms(500);
    reset_links_that_return_for_two_seconds: LinkFailure::Reset, ms(2_000), ms(1_000);
    half_cut_links_that_return_for_a_second: LinkFailure::HalfCut, ms(1_000), ms(1_000);
}

/// Guards against nodes that offer their calls to each other when all upstreams were away for all of
/// them, and are back.
fn calls_are_served_when_all_upstreams_are_back(nodes: usize, kind: LinkFailure) {
    for seed in seeds(nodes) {
        let services = vec![large_service(), small_service()];
        let scenario = CutScenario::new(nodes, services, CUT_END + RETURN_TIME + ms(4_000));
        let outcome = play_cut(&scenario.cut(kind, 0..nodes, CUT_AT, CUT_END), seed);
        for second in 1..5 {
            let from = CUT_END + Duration::from_secs(second);
            let (tries, served) = outcome.served(|_| true, &(from..from + ms(1_000)));
            assert!(
                tries - served <= 10 + tries / 50,
                "seed {seed}, {second} s after the end: {served} of {tries}"
            );
        }
    }
}

cases! {
    calls_are_served_when_all_upstreams_are_back;
    at_one_node_after_a_hang: 1, LinkFailure::Hang;
    at_seven_nodes_after_a_hang: 7, LinkFailure::Hang;
    at_seven_nodes_after_a_restart: 7, LinkFailure::Reset;
    at_thirty_nodes_after_a_restart: 30, LinkFailure::Reset;
    at_ninety_five_nodes_after_a_hang: 95, LinkFailure::Hang;
}

/// Guards against faults that only show when several disturbances meet: cuts of some nodes of any kind,
/// racks of upstreams that die, pauses of processes.
fn callers_are_served_on_random_days(nodes: usize, seeds: Range<u64>) {
    const LENGTH: Duration = Duration::from_secs(40);
    for seed in seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut scenario = CutScenario::new(nodes, vec![large_service(), small_service()], LENGTH);
        let mut cuts = Vec::new();
        for begin in [3_000, 20_000] {
            let kinds = [LinkFailure::Hang, LinkFailure::Reset, LinkFailure::HalfCut];
            let kind = kinds[rng.random_range(0..3)];
            let from = ms(begin + rng.random_range(0..1_000));
            let until = from + ms(rng.random_range(4_000..13_000));
            let share = rng.random_range(0.1..0.8);
            let mut cut: Vec<_> = (0..nodes).filter(|_| rng.random_bool(share)).collect();
            cut.truncate(nodes - 1);
            scenario = scenario.cut(kind, cut.iter().copied(), from, until);
            cuts.push((cut, from..until));
            let first = rng.random_range(0..20);
            let kind = kinds[rng.random_range(0..3)];
            let from = from + ms(rng.random_range(0..8_000));
            let rack = first..first + rng.random_range(1..10);
            scenario = scenario.fail_upstreams(kind, 0, rack, from, from + ms(5_000));
            let paused = rng.random_range(0..nodes);
            let from = ms(begin + rng.random_range(0..15_000));
            let until = from + ms(rng.random_range(100..2_000));
            scenario.pauses.push((paused, from, until));
        }
        let paused: Vec<_> = scenario.pauses.iter().map(|(node, ..)| *node).collect();
        let outcome = play_cut(&scenario, seed);
        for (cut, time) in &cuts {
            let time = time.start + STABILITY_WINDOW..time.end;
            let is_calm = |node: usize| !paused.contains(&node);
            let (tries, served) = outcome.served(|n| cut.contains(&n) && is_calm(n), &time);
            let (other_tries, other_served) =
                outcome.served(|n| !cut.contains(&n) && is_calm(n), &time);
            let what = format!(
                "seed {seed}, {time:?}: {served} of {tries}, {other_served} of {other_tries} at others"
            );
            // Without a calm node that has links no node can serve the calls; and the upstreams
            // that die fail calls of all nodes.
            if other_tries > 0 {
                let other_failed = other_tries - other_served;
                let at_most = 10 + tries / 50 + tries * other_failed / other_tries;
                assert!(
                    served * other_tries * 3 >= other_served * tries * 2,
                    "{what}"
                );
                assert!(tries - served <= at_most, "{what}");
            }
        }
        for ((node, service), times) in &outcome.links {
            let was_cut = |at: &Duration| {
                let mut cuts = cuts.iter();
                // A dead upstream may interrupt the return.
                cuts.any(|(cut, time)| {
                    cut.contains(node) && (time.start..time.end + LONGEST_RETURN).contains(at)
                })
            };
            let is_right = times.lost.iter().all(was_cut);
            assert!(
                is_right,
                "seed {seed}, node {node}, service {service}: {times:?}, {cuts:?}"
            );
        }
    }
}

cases! {
    callers_are_served_on_random_days;
    at_three_nodes: 3, 0..40;
    at_seven_nodes: 7, 0..40;
    at_thirty_nodes: 30, 0..6;
}
