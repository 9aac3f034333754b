//! Admission and spread of calls over engines whose loads are known late.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use shallottide_fleet::ClusterView;
use shallottide_fleet::adapter::ReportedLoad;
use shallottide_fleet::admission::CallClass;
use shallottide_fleet::balance::{LoadTracker, Need, SampleInput, SendLimits};
use shallottide_fleet::call_classes::CallClasses;
use shallottide_fleet::cold_gate::ColdGate;
use shallottide_fleet::cooldowns::Cooldowns;
use shallottide_fleet::departures::Departures;
use shallottide_fleet::load_board::LoadBoard;
use shallottide_fleet::load_keys::Kind;
use shallottide_fleet::named_limits::NamedLimits;
use shallottide_fleet::spread::{self, Target};
use shallottide_fleet::upstream::GroupState;
use shallottide_types::id::UpstreamId;
use support::{catalog, id, member, ms, view_of};

const ENGINES: usize = 18;
const SLOTS: u32 = 34;
/// Load at which an engine answers four of five calls on time.
const ON_TIME: f64 = 24.0;
/// Load from which it answers none on time.
const TOO_LATE: f64 = 40.0;
/// Steps of the loop in a second.
const STEPS: u32 = 50;
/// Age of the loads by which nodes choose, in steps; at most.
const MAX_AGE: usize = 22;
/// Steps from a send to the first answer whose load includes it.
const MIN_AGE: usize = 5;

fn class(time_left: Option<Duration>) -> CallClass {
    CallClass {
        time_left,
        rank: 0,
        is_begun: false,
        is_over_share: false,
    }
}

#[derive(Debug, Default)]
struct Outcome {
    new: u32,
    on_time: u32,
    late: u32,
    highest: u32,
}

/// How a node chooses: by the loads that it knows with their age in steps, or not at all.
type Choose = fn(&[(u32, u32)], Option<Duration>, &mut StdRng) -> Option<usize>;

fn spread_over(
    known: &[(u32, u32)],
    time_left: Option<Duration>,
    rng: &mut StdRng,
) -> Option<usize> {
    let target = |(load, age): &(u32, u32)| Target {
        load: f64::from(*load),
        limit: class(time_left).limit(ON_TIME, SLOTS),
        age: f64::from(*age) / f64::from(STEPS),
        penalty: 0.0,
    };
    let targets: Vec<_> = known.iter().map(target).collect();
    spread::choose(&targets, 0.9, rng.random())
}

fn least_loaded(known: &[(u32, u32)], _: Option<Duration>, _: &mut StdRng) -> Option<usize> {
    let free = known
        .iter()
        .enumerate()
        .filter(|(_, (load, _))| *load < SLOTS);
    free.min_by_key(|(_, (load, _))| *load)
        .map(|(index, _)| index)
}

/// Plays calls of all nodes for 8 s; callers that are refused come back once, within 2 s, and are late.
fn play(arrivals: impl Fn(u32) -> f64, choose: Choose, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines = [0_u32; ENGINES];
    let mut past = VecDeque::from([engines]);
    let mut returning: Vec<u32> = Vec::new();
    let mut outcome = Outcome::default();
    for step in 0..8 * STEPS {
        let rate = arrivals(step);
        let fresh = poisson(rate / f64::from(STEPS), &mut rng);
        let back = returning.extract_if(.., |due| *due <= step).count();
        let back = u32::try_from(back).expect("few");
        outcome.new += fresh;
        for call in 0..fresh + back {
            let time_left = (call < fresh).then_some(ms(230));
            let known: Vec<_> = (0..ENGINES)
                .map(|engine| {
                    let age = rng.random_range(MIN_AGE..MAX_AGE).min(past.len() - 1);
                    (past[age][engine], u32::try_from(age).expect("small"))
                })
                .collect();
            match choose(&known, time_left, &mut rng) {
                Some(engine) => {
                    engines[engine] += 1;
                    outcome.highest = outcome.highest.max(engines[engine]);
                    let chance =
                        0.8 * (TOO_LATE - f64::from(engines[engine])) / (TOO_LATE - ON_TIME);
                    let is_on_time = time_left.is_some() && rng.random::<f64>() < chance;
                    outcome.on_time += u32::from(is_on_time);
                    outcome.late += u32::from(!is_on_time);
                }
                None if time_left.is_some() => {
                    returning.push(step + rng.random_range(STEPS / 4..2 * STEPS));
                }
                None => {}
            }
        }
        for load in &mut engines {
            let running = (*load).min(SLOTS);
            let residence = 0.35 + 0.025 * f64::from(running);
            let ended = f64::from(running) / residence / f64::from(STEPS);
            *load -= poisson(ended, &mut rng).min(*load);
        }
        past.push_front(engines);
        past.truncate(MAX_AGE);
    }
    outcome
}

fn poisson(mean: f64, rng: &mut impl Rng) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Nodes that all send to the engine that looks least loaded overfill it before they hear of it, though
/// there is room for every call.
#[test]
fn nodes_with_old_loads_do_not_overfill_engines() {
    for seed in 0..3 {
        let spread = play(|_| 300.0, spread_over, seed);
        let herd = play(|_| 300.0, least_loaded, seed);
        assert!(spread.on_time * 20 >= spread.new * 19, "{spread:?}");
        assert!(herd.on_time < spread.on_time, "{herd:?}");
        assert!(spread.highest <= SLOTS, "{spread:?}");
    }
}

/// Callers that compete for too little room: engines filled to their slots answer everyone late.
#[test]
fn overload_leaves_most_of_the_room_to_calls_on_time() {
    for seed in 0..3 {
        let admitted = play(|_| 600.0, spread_over, seed);
        let unlimited = play(|_| 600.0, least_loaded, seed);
        assert!(admitted.on_time > 2 * admitted.late, "{admitted:?}");
        assert!(admitted.on_time > 2 * unlimited.on_time, "{unlimited:?}");
    }
}

/// A burst of twice the room must not leave engines overfilled when it is over.
#[test]
fn calls_are_on_time_again_after_a_burst() {
    let rate = |step| if step < 3 * STEPS { 650.0 } else { 280.0 };
    for seed in 0..3 {
        let outcome = play(rate, spread_over, seed);
        let after = 5.0 * 280.0;
        assert!(
            f64::from(outcome.on_time) > 0.9 * after + 3.0 * 300.0,
            "{outcome:?}"
        );
    }
}

/// Late calls, less urgent routes and teams above their share leave room to others; calls that an engine
/// has begun are not given up for want of room.
#[test]
fn classes_leave_room_to_those_before_them() {
    let limit = |class: CallClass| class.limit(20.0, 34);
    let new = limit(class(Some(ms(200))));
    assert!((new - 20.0).abs() < 0.01);
    let late = limit(class(None));
    let less_urgent = limit(CallClass {
        rank: 1,
        ..class(Some(ms(200)))
    });
    let over_share = limit(class(Some(ms(200))).over_share(true));
    assert!(late < less_urgent && less_urgent < new && over_share < new);
    assert!(
        (limit(CallClass {
            is_begun: true,
            ..class(None)
        }) - 34.0)
            .abs()
            < 0.01
    );
    assert!(class(None).limit(0.5, 34) >= 1.0);
}

/// A caller that comes back states what is left of its deadline. Callers with a shorter deadline are new
/// all the same.
#[test]
fn returning_calls_are_recognized_by_their_deadlines() {
    let now = Instant::now();
    let mut classes = CallClasses::default();
    let kind: Kind = (id("engines"), id("large"));
    let route = catalog(1).routes[0].clone();
    let mut elapsed = Duration::ZERO;
    for (number, time_left) in (0..40).zip([6_000, 2_500].into_iter().cycle()) {
        elapsed = classes.record_call(&kind, &route, ms(time_left), now + ms(number));
    }
    assert_eq!(elapsed, Duration::ZERO);
    let later = now + ms(100);
    assert_eq!(
        classes.record_call(&kind, &route, ms(5_200), later),
        ms(800)
    );
    assert_eq!(
        classes.record_call(&kind, &route, ms(2_100), later),
        ms(400)
    );
    assert!((classes.residence(&kind) - 1.0).abs() < 0.01);
    for _ in 0..100 {
        classes.record_residence(&kind, ms(400));
    }
    assert!((classes.residence(&kind) - 0.4).abs() < 0.02);
}

/// Two heads, `a` with a sample of `load` running requests that is `age` old, and `b` without any.
struct TwoEngines {
    loads: LoadTracker,
    board: LoadBoard,
    view: ClusterView,
    now: Instant,
}

impl TwoEngines {
    fn new(load: u32, age: Duration) -> Self {
        let heard_at = Instant::now();
        let heads = ["a", "b"].into_iter().zip(1..);
        let heads = heads.map(|(name, epoch)| member(name, epoch, 0, GroupState::Open, "small"));
        let view = view_of(heads, heard_at);
        let mut board = LoadBoard::default();
        let answered = ReportedLoad {
            running: load,
            waiting: 0,
        };
        let lifetime = view.upstreams[&id("a")].lifetime();
        board.record_answer(lifetime, answered, &id("node-1"), heard_at);
        Self {
            loads: LoadTracker::default(),
            board,
            view,
            now: heard_at + age,
        }
    }

    /// Returns which heads 40 calls may go to; `residence` is the time that one stays, in seconds.
    fn chosen(&self, residence: f64) -> BTreeSet<UpstreamId> {
        let (service, model) = (id("engines"), id("small"));
        let need = Need {
            service: &service,
            model: Some(&model),
            domains: None,
            tried: &[],
            queue: 0,
        };
        let limits = SendLimits {
            cold: &ColdGate::default(),
            named: &NamedLimits::default(),
            cooldowns: &Cooldowns::default(),
            departures: &Departures::new(Duration::from_secs(2)),
        };
        let own = (id("node-1"), id("zone-a"));
        let choose = |draw: u32| {
            let input = SampleInput {
                board: &self.board,
                class: class(Some(ms(200))),
                residence,
                draw: f64::from(draw) / 40.0,
                on_time_load: &|known| f64::from(known.upstream.slots),
            };
            let own = (&own.0, &own.1);
            let chosen = self
                .loads
                .choose_by_samples(&need, &self.view, limits, own, &input, self.now);
            chosen.map(|choice| choice.upstream).ok()
        };
        (0..40).filter_map(choose).collect()
    }
}

/// A head whose group has lost a member accepts calls and answers none; it must not look idle once its
/// last sample is old.
#[test]
fn busy_engine_that_stopped_answering_gets_no_calls() {
    let mut engines = TwoEngines::new(6, ms(1_300));
    assert_eq!(engines.chosen(1.0), BTreeSet::from([id("b")]));
    engines.now += ms(700);
    for _ in 0..6 {
        engines.loads.started(&id("a"));
    }
    assert_eq!(engines.chosen(1.0), BTreeSet::from([id("b")]));
}

/// Engines that run a few long calls answer rarely; that is no sign of a fault, and there is room.
#[test]
fn engines_with_long_calls_are_used_though_they_answer_rarely() {
    let mut engines = TwoEngines::new(3, ms(4_000));
    for _ in 0..3 {
        engines.loads.started(&id("a"));
        engines.loads.started(&id("b"));
    }
    assert_eq!(engines.chosen(30.0), BTreeSet::from([id("a"), id("b")]));
    engines.now = engines.now.checked_sub(ms(2_800)).expect("a time");
    assert_eq!(engines.chosen(30.0), BTreeSet::from([id("a"), id("b")]));
}
