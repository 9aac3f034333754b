//! Whether a node finds that it has lost its links to upstreams, and only then.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use shallottide_fleet::crash_evidence::Lifetime;
use shallottide_fleet::upstream_links::{LinkState, LinkVerdict, UpstreamLinks};
use shallottide_types::cases;
use shallottide_types::id::{ServiceId, UpstreamId};
use support::{
    CutScenario, LinkFailure, SimConnectionFailure, SimService, id, large_service, ms, play_cut,
    small_service,
};

const SEEDS: Range<u64> = 0..30;
/// When the links are cut, with a part of a second that differs by seed.
const CUT_AT: Duration = ms(4_000);
const CUT_LENGTH: Duration = Duration::from_secs(12);
/// Time after the begin of a cut from which callers of the node are to be served as usual.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time in which a small service gets its first two calls after a cut: without a call nothing is known,
/// and no caller waits.
const FIRST_CALLS: Duration = ms(1_000);

fn cut_at(seed: u64) -> Duration {
    CUT_AT + ms(seed * 37 % 1_000)
}

fn one_upstream() -> SimService {
    SimService {
        upstreams: 1,
        ..small_service()
    }
}

/// A service to each of whose upstreams a node may open one connection.
fn one_connection_each() -> SimService {
    SimService {
        max_connections: 1,
        ..small_service()
    }
}

/// A service whose answers take seconds.
fn slow_service() -> SimService {
    SimService {
        upstreams: 10,
        first_byte: 500..2_500,
        ..small_service()
    }
}

/// Guards against a node that refuses its callers, or lets them wait, while it can't reach any upstream.
fn a_cut_is_found(kind: LinkFailure, services: &[SimService], bound: Duration) {
    for seed in SEEDS {
        let from = cut_at(seed);
        let scenario = CutScenario::new(1, services.to_vec(), from + CUT_LENGTH);
        let scenario = scenario.cut(kind, [0], from, from + CUT_LENGTH);
        let outcome = play_cut(&scenario, seed);
        for service in 0..services.len() {
            let times = &outcome.links[&(0, service)];
            let lost = times.lost.first();
            let is_in_time = lost.is_some_and(|at| *at >= from && *at <= from + bound);
            assert!(
                is_in_time && times.lost.len() == 1,
                "seed {seed}, service {service}, cut at {from:?}: {times:?}"
            );
        }
        assert!(
            outcome.faults().is_empty(),
            "seed {seed}: held the upstreams at fault"
        );
    }
}

cases! {
    a_cut_is_found;
    hanging_links_of_a_large_service: LinkFailure::Hang, &[large_service()], ms(1_000);
    reset_links_of_a_large_service: LinkFailure::Reset, &[large_service()], ms(1_000);
    half_cut_links_of_a_large_service: LinkFailure::HalfCut, &[large_service()], STABILITY_WINDOW;
    hanging_links_of_a_small_service: LinkFailure::Hang, &[small_service()], STABILITY_WINDOW;
    reset_links_of_a_small_service: LinkFailure::Reset, &[small_service()], STABILITY_WINDOW;
    hanging_links_of_a_slow_service: LinkFailure::Hang, &[slow_service()], STABILITY_WINDOW;
    hanging_links_with_one_connection_each: LinkFailure::Hang, &[one_connection_each()], STABILITY_WINDOW + FIRST_CALLS;
    hanging_links_with_one_connection_each_beside_others: LinkFailure::Hang, &[one_connection_each(), large_service()], STABILITY_WINDOW;
    hanging_links_of_both: LinkFailure::Hang, &[large_service(), small_service()], ms(2_000);
    reset_links_of_both: LinkFailure::Reset, &[large_service(), small_service()], ms(2_000);
    half_cut_links_of_both: LinkFailure::HalfCut, &[large_service(), small_service()], STABILITY_WINDOW;
    hanging_links_of_one_upstream: LinkFailure::Hang, &[one_upstream()], STABILITY_WINDOW;
    hanging_links_of_one_upstream_beside_others: LinkFailure::Hang, &[one_upstream(), large_service()], STABILITY_WINDOW;
    reset_links_of_one_upstream_beside_others: LinkFailure::Reset, &[one_upstream(), large_service()], STABILITY_WINDOW;
}

/// Guards against a loss of the links to one service that is held against the others, or not found.
fn links_of_one_service_are_lost_alone(kind: LinkFailure, upstreams: usize, bound: Duration) {
    for seed in SEEDS {
        let from = cut_at(seed);
        let service = SimService {
            upstreams,
            ..large_service()
        };
        let services = vec![service, large_service(), small_service()];
        let scenario = CutScenario::new(1, services, from + CUT_LENGTH);
        let scenario = scenario.fail_upstreams(kind, 0, 0..upstreams, from, from + CUT_LENGTH);
        let outcome = play_cut(&scenario, seed);
        let lost = |service| {
            let times = outcome.links.get(&(0, service));
            times.and_then(|times| times.lost.first().copied())
        };
        let is_in_time = lost(0).is_some_and(|at| at <= from + bound);
        assert!(is_in_time, "seed {seed}, {from:?}: {:?}", lost(0));
        assert_eq!((lost(1), lost(2)), (None, None), "seed {seed}, {from:?}");
        assert!(outcome.faults().is_empty(), "seed {seed}");
    }
}

cases! {
    links_of_one_service_are_lost_alone;
    hanging_links_of_one_of_three_services: LinkFailure::Hang, 30, STABILITY_WINDOW;
    reset_links_of_one_of_three_services: LinkFailure::Reset, 30, STABILITY_WINDOW;
    hanging_links_of_two_upstreams_only: LinkFailure::Hang, 2, STABILITY_WINDOW;
}

/// Guards against calls that are relayed although upstreams can be reached, since some of them failed.
fn links_to_upstreams_that_fail_are_not_lost(
    kind: LinkFailure,
    services: &[SimService],
    failed: Range<usize>,
    length: Duration,
) {
    for seed in SEEDS {
        let from = cut_at(seed);
        let scenario = CutScenario::new(1, services.to_vec(), from + CUT_LENGTH);
        let scenario = scenario.fail_upstreams(kind, 0, failed.clone(), from, from + length);
        let outcome = play_cut(&scenario, seed);
        let is_lost = outcome.links.values().any(|times| !times.lost.is_empty());
        assert!(!is_lost, "seed {seed}, {from:?}: {:?}", outcome.links);
    }
}

cases! {
    links_to_upstreams_that_fail_are_not_lost;
    one_upstream_dies: LinkFailure::Reset, &[large_service()], 0..1, CUT_LENGTH;
    two_upstreams_die: LinkFailure::Reset, &[large_service()], 0..2, CUT_LENGTH;
    two_upstreams_hang: LinkFailure::Hang, &[large_service()], 0..2, CUT_LENGTH;
    two_of_three_upstreams_die: LinkFailure::Reset, &[small_service()], 0..2, CUT_LENGTH;
    two_of_three_upstreams_hang: LinkFailure::Hang, &[small_service()], 0..2, CUT_LENGTH;
    rack_of_upstreams_dies: LinkFailure::Reset, &[large_service()], 0..10, CUT_LENGTH;
    rack_of_upstreams_hangs: LinkFailure::Hang, &[large_service()], 0..10, CUT_LENGTH;
    rack_of_upstreams_refuses: LinkFailure::HalfCut, &[large_service()], 0..10, CUT_LENGTH;
    half_of_all_upstreams_die: LinkFailure::Reset, &[large_service()], 0..15, CUT_LENGTH;
    half_of_all_upstreams_hang: LinkFailure::Hang, &[large_service()], 0..15, CUT_LENGTH;
    upstream_is_silent_for_a_second: LinkFailure::Silence, &[large_service()], 0..1, ms(1_000);
    all_upstreams_are_silent_for_a_second: LinkFailure::Silence, &[large_service()], 0..30, ms(1_000);
    only_upstream_is_silent: LinkFailure::Silence, &[one_upstream()], 0..1, ms(3_000);
    only_upstream_dies_beside_others: LinkFailure::Reset, &[one_upstream(), large_service()], 0..1, CUT_LENGTH;
    only_upstream_hangs_beside_others: LinkFailure::Hang, &[one_upstream(), large_service()], 0..1, CUT_LENGTH;
    only_upstream_dies_beside_a_small_service: LinkFailure::Reset, &[one_upstream(), small_service()], 0..1, CUT_LENGTH;
    sound_upstreams_that_answer_slowly: LinkFailure::Silence, &[slow_service()], 0..0, CUT_LENGTH;
}

/// Guards against evidence that is withheld from an upstream that did fail, and against a failure that
/// is held against others.
fn an_upstream_that_dies_is_held_at_fault(kind: LinkFailure, service: &SimService) {
    for seed in SEEDS {
        let from = cut_at(seed);
        let scenario = CutScenario::new(1, vec![service.clone()], from + CUT_LENGTH);
        let scenario = scenario.fail_upstreams(kind, 0, 0..1, from, from + CUT_LENGTH);
        let mut failures = play_cut(&scenario, seed).failures;
        // Later ones are not asked for any more.
        failures.retain(|failure| failure.at + ms(600) < from + CUT_LENGTH);
        assert!(!failures.is_empty(), "seed {seed}");
        let is_dead = |f: &SimConnectionFailure| f.upstream == 0 && f.is_upstreams;
        assert!(failures.iter().all(is_dead), "seed {seed}: {failures:?}");
    }
}

cases! {
    an_upstream_that_dies_is_held_at_fault;
    dead_among_many: LinkFailure::Reset, &large_service();
    hanging_among_many: LinkFailure::Hang, &large_service();
    refusing_among_many: LinkFailure::HalfCut, &large_service();
    dead_among_few: LinkFailure::Reset, &small_service();
    hanging_among_few: LinkFailure::Hang, &small_service();
    dead_among_slow: LinkFailure::Reset, &slow_service();
}

/// Guards against links that count as lost because this process stood still, when all upstreams look
/// silent and time limits have passed.
fn a_pause_of_the_process_loses_no_links(services: &[SimService], pause: Duration) {
    for seed in SEEDS {
        let mut scenario = CutScenario::new(1, services.to_vec(), ms(20_000));
        let mut from = cut_at(seed);
        while from + pause < ms(18_000) {
            scenario.pauses.push((0, from, from + pause));
            from += pause + ms(700 + seed * 50);
        }
        let outcome = play_cut(&scenario, seed);
        let is_lost = outcome.links.values().any(|times| !times.lost.is_empty());
        assert!(!is_lost, "seed {seed}: {:?}", outcome.links);
        assert!(outcome.faults().is_empty(), "seed {seed}");
    }
}

cases! {
    a_pause_of_the_process_loses_no_links;
    shorter_than_a_connection_attempt: &[large_service(), small_service()], ms(200);
    as_long_as_a_connection_attempt: &[large_service(), small_service()], ms(450);
    of_a_second: &[large_service(), small_service()], ms(1_000);
    of_five_seconds: &[large_service(), small_service()], ms(5_000);
    of_a_node_with_few_calls: &[small_service()], ms(600);
}

/// Guards against probes that load upstreams although nothing has failed.
#[test]
fn sound_links_are_rarely_probed() {
    for seed in SEEDS {
        for service in [large_service(), small_service(), slow_service()] {
            let length = Duration::from_secs(30);
            let outcome = play_cut(&CutScenario::new(1, vec![service], length), seed);
            let probes = outcome.probes.get(&0).copied().unwrap_or(0);
            let at_most = usize::try_from(length.as_secs()).expect("a short time");
            assert!(
                probes <= at_most,
                "seed {seed}: {probes} probes in {length:?}"
            );
        }
    }
}

/// One service's links, and the time.
struct OneService {
    links: UpstreamLinks,
    service: ServiceId,
    now: Instant,
}

impl OneService {
    /// Links that were lost since connections to all of five upstreams were refused.
    fn lost() -> Self {
        let mut links = Self {
            links: UpstreamLinks::default(),
            service: id("engines"),
            now: Instant::now(),
        };
        for number in 0..20 {
            links.refuse(number % 5);
            links.pass(ms(50));
        }
        assert_eq!(links.state(), LinkState::Lost);
        links
    }

    fn upstream(number: u64) -> UpstreamId {
        id(&format!("u{number}"))
    }

    /// Passes time, without an outcome of any probe.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + ms(50));
            self.links.due_probes(self.now, 0);
        }
    }

    fn connect(&mut self, number: u64) {
        let upstream = Self::upstream(number);
        self.links
            .record_waiting(&self.service, &upstream, self.now);
        self.links
            .record_connected(&self.service, &upstream, self.now);
    }

    fn refuse(&mut self, number: u64) {
        let upstream = Self::upstream(number);
        self.links
            .record_waiting(&self.service, &upstream, self.now);
        self.links
            .record_unreachable(&self.service, &upstream, self.now, self.now);
    }

    fn state(&self) -> LinkState {
        self.links.state(&self.service, self.now)
    }

    /// Passes time in which the store says that some upstreams, from number 0 on, have started again.
    fn observe_restarts(&mut self, count: u64) {
        for started_again in [0, count] {
            let lifetimes: BTreeMap<_, _> = (0..5)
                .map(|number| {
                    let id = Self::upstream(number);
                    let lifetime = Lifetime::new(&id, 1 + u64::from(number < started_again));
                    (id, lifetime)
                })
                .collect();
            self.pass(ms(50));
            let lifetime = |id: &UpstreamId| lifetimes.get(id).copied();
            self.links.observe_lifetimes(lifetime, self.now);
        }
    }

    /// The share of calls that are sent over the links, in percent.
    fn own_share(&self) -> usize {
        let draws = (0..100).map(|percent| u32::MAX / 100 * percent);
        draws
            .filter(|draw| self.links.allows_own(&self.service, self.now, *draw))
            .count()
    }
}

/// Guards against links that get all calls at once when the first connection succeeds.
#[test]
fn returning_links_get_an_increasing_share() {
    let mut links = OneService::lost();
    assert_eq!(links.own_share(), 0);
    links.connect(1);
    assert_eq!(links.state(), LinkState::Returning);
    let mut shares = vec![links.own_share()];
    for _ in 0..7 {
        links.pass(ms(500));
        shares.push(links.own_share());
    }
    assert!((5..=15).contains(&shares[0]), "{shares:?}");
    assert!((40..=70).contains(&shares[3]), "{shares:?}");
    assert!(shares.is_sorted(), "{shares:?}");
    assert_eq!((shares[7], links.state()), (100, LinkState::Up));
}

/// Guards against calls that are sent over links that were lost again while they returned.
#[test]
fn failure_loses_returning_links_at_once() {
    let mut links = OneService::lost();
    links.connect(1);
    links.pass(ms(1_000));
    links.refuse(2);
    assert_eq!((links.state(), links.own_share()), (LinkState::Lost, 0));
    let probes = links.links.due_probes(links.now, 0);
    assert_eq!(probes.len(), 1, "probed at once");
    for number in 2..2 + probes[0].count {
        links.refuse(number as u64);
    }
    links.pass(ms(1_000));
    links.connect(4);
    assert!(links.own_share() <= 15, "the ramp starts again");
    links.pass(ms(3_000));
    assert!(links.own_share() < 100, "and is slower");
}

/// Guards against a return that one dead upstream delays again and again.
#[test]
fn dead_upstream_interrupts_the_return_only() {
    let mut links = OneService::lost();
    links.connect(1);
    for _ in 0..6 {
        links.pass(ms(500));
        links.refuse(2);
        links.pass(ms(20));
        links.connect(3);
    }
    links.pass(ms(500));
    assert_eq!(links.own_share(), 100);
}

/// Guards against calls that are refused, or held back for seconds, while upstreams are up again that had all
/// ended; and against a cut that counts as over because some upstreams start again meanwhile.
fn links_are_sound_once_upstreams_start_again(restarts: u64, state: LinkState) {
    let mut links = OneService::lost();
    links.observe_restarts(restarts);
    // A node whose links are cut still reaches none.
    links.refuse(0);
    assert_eq!((links.state(), links.own_share()), (LinkState::Lost, 0));
    links.connect(0);
    assert_eq!(links.state(), state);
    assert_eq!(links.own_share() == 100, state == LinkState::Up);
}

cases! {
    links_are_sound_once_upstreams_start_again;
    no_upstream_has_started_again: 0, LinkState::Returning;
    two_of_five_have_started_again: 2, LinkState::Returning;
    three_of_five_have_started_again: 3, LinkState::Up;
    all_five_have_started_again: 5, LinkState::Up;
}

/// Guards against crashes that are not counted because the links were returning: another upstream shows
/// whose fault they are.
#[test]
fn failure_over_returning_links_is_the_upstreams_if_another_is_reached() {
    let mut links = OneService::lost();
    links.connect(1);
    links.pass(ms(1_000));
    let upstream = OneService::upstream(2);
    links
        .links
        .record_waiting(&links.service, &upstream, links.now);
    let failure = links
        .links
        .record_reset(&links.service, &upstream, links.now);
    let verdict = |links: &OneService| {
        let OneService {
            links,
            service,
            now,
        } = links;
        links.judge(service, &upstream, &failure, *now)
    };
    assert_eq!(verdict(&links), LinkVerdict::Pending);
    links.now += ms(40);
    links.connect(3);
    assert_eq!(verdict(&links), LinkVerdict::Upstream);
}

/// Guards against probes of lost links that go to the same upstream only, or come in step from all nodes.
#[test]
fn lost_links_are_probed_every_half_second() {
    let mut links = OneService::lost();
    let mut times = Vec::new();
    for step in 0..200_u32 {
        links.now += ms(50);
        let probes = links.links.due_probes(links.now, step * 21_000_000);
        for probe in probes {
            assert_eq!(probe.count, 1);
            let number = (0..5).find(|n| !probe.avoid.contains(&OneService::upstream(*n)));
            times.push((links.now, number));
            links.refuse(number.unwrap_or(0));
        }
    }
    assert!(
        (15..=30).contains(&times.len()),
        "{} probes in 10 s",
        times.len()
    );
    let probed: BTreeSet<_> = times.iter().map(|(_, n)| *n).collect();
    assert!(probed.len() >= 3, "{probed:?}");
    let pauses: BTreeSet<_> = times.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
    assert!(pauses.len() >= 2, "{pauses:?}");
}

/// Guards against a service without a recent call whose first call waits for links known to be lost.
#[test]
fn service_without_outcomes_is_lost_with_all_others() {
    let links = OneService::lost();
    let other: ServiceId = id("booking");
    assert_eq!(links.links.state(&other, links.now), LinkState::Suspected);
    assert!(!links.links.allows_own(&other, links.now, 0));
    let none = UpstreamLinks::default();
    assert_eq!(none.state(&other, links.now), LinkState::Up);
    assert!(none.allows_own(&other, links.now, u32::MAX));
}

/// Guards against state that grows with each upstream that ever existed.
#[test]
fn removed_upstreams_are_dropped() {
    let mut links = OneService::lost();
    links.links.retain(|_| false);
    assert_eq!(links.state(), LinkState::Up);
}
