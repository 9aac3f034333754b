//! Times at which refused callers return, and how many of them are refused again.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::load_keys::Kind;
use shallottide_fleet::return_schedule::{Booking, MIN_RETRY_AFTER, ReturnSchedule};
use shallottide_types::cases;
use support::{id, ms};

fn kind() -> Kind {
    (id("answers"), id("small"))
}

/// A closed loop of callers that return once, and upstreams that admit `capacity` calls per second.
#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    capacity: f64,
    /// New callers per second, outside of the burst and in it.
    usual: f64,
    burst: f64,
    burst_length: Duration,
    /// Remaining time of each caller when it is refused.
    time_left: Duration,
}

#[derive(Debug, Default)]
struct Outcome {
    returns: u32,
    refused_twice: u32,
    /// Of these, those for whom the time that they would have waited held room later.
    avoidable: u32,
}

/// The policy that is replaced: uniform between 150 ms and the lower of 1.2 s and a quarter of the
/// remaining time.
fn earlier_policy(time_left: Duration, draw: f64) -> Duration {
    let max = ms(1_200).min(time_left / 4).max(MIN_RETRY_AFTER);
    MIN_RETRY_AFTER + max.saturating_sub(MIN_RETRY_AFTER).mul_f64(draw)
}

const TICK: Duration = Duration::from_millis(10);
/// Bursts start every 8 s, as waves do.
const CYCLE: u64 = 800;

fn play(load: &Load, is_scheduled: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut schedules = vec![ReturnSchedule::default(); load.nodes];
    // The time of the return, and the latest time at which the caller would have returned.
    let mut returns: BinaryHeap<Reverse<(Duration, Duration)>> = BinaryHeap::new();
    let mut lost = Vec::new();
    let mut idle: BTreeMap<Duration, f64> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut room = 0.0;
    for tick in 0..4 * CYCLE {
        let at = TICK * u32::try_from(tick).expect("few");
        let now = start + at;
        room += load.capacity * TICK.as_secs_f64();
        let in_cycle = TICK * u32::try_from(tick % CYCLE).expect("few");
        let is_burst = in_cycle >= ms(2_000) && in_cycle < ms(2_000) + load.burst_length;
        let rate = if is_burst { load.burst } else { load.usual };
        let mean = rate * TICK.as_secs_f64() / 8.0;
        let new = (0..8).filter(|_| rng.random_bool(mean)).count();
        let mut callers = vec![None; new];
        while returns.peek().is_some_and(|Reverse((due, _))| *due <= at) {
            let Reverse((_, latest)) = returns.pop().expect("one is due");
            let position = rng.random_range(0..=callers.len());
            callers.insert(position, Some(latest));
        }
        for returned in callers {
            let schedule = &mut schedules[rng.random_range(0..load.nodes)];
            if returned.is_some() {
                schedule.record_returned(&kind(), now);
                outcome.returns += 1;
            } else {
                schedule.record_arrival(&kind(), now);
            }
            if room >= 1.0 {
                room -= 1.0;
                schedule.record_admitted(&kind(), now);
                if returned.is_some() {
                    schedule.record_returned_admitted(&kind(), now);
                }
                continue;
            }
            schedule.record_refused(&kind(), now);
            if let Some(latest) = returned {
                outcome.refused_twice += 1;
                lost.push((at, latest));
                continue;
            }
            let draw = rng.random();
            let booking = schedule.book(&kind(), 0, load.time_left, draw, now);
            let earlier = earlier_policy(load.time_left, draw);
            let wait = if is_scheduled {
                booking.retry_after
            } else {
                earlier
            };
            assert!(wait >= MIN_RETRY_AFTER && wait <= load.time_left / 3);
            returns.push(Reverse((at + wait, at + load.time_left / 3)));
        }
        // Upstreams hold a few calls' worth of room; the rest passes unused.
        let left = (room - load.capacity * 0.03).max(0.0);
        room -= left;
        idle.insert(at, left);
    }
    // Gives each lost caller the earliest unused room between its return and its latest time.
    lost.sort_by_key(|(_, latest)| *latest);
    for (at, latest) in lost {
        let mut needed = 1.0;
        for (_, left) in idle.range_mut(at..=latest.max(at)) {
            let used = left.min(needed);
            *left -= used;
            needed -= used;
        }
        outcome.avoidable += u32::from(needed < 1e-9);
    }
    outcome
}

/// Guards against callers that are sent back into a full system while there is room later, and against
/// more second refusals than a part of those under the earlier policy, in percent.
fn callers_return_when_there_is_room(load: &Load, percent_of_earlier: u32) {
    for seed in 0..3 {
        let scheduled = play(load, true, seed);
        let earlier = play(load, false, seed);
        eprintln!("seed {seed}: scheduled {scheduled:?}, earlier policy {earlier:?}");
        let is_avoided = scheduled.avoidable * 10 <= scheduled.returns;
        let bound = earlier.refused_twice * percent_of_earlier / 100;
        let is_better = scheduled.refused_twice <= bound;
        assert!(is_avoided && is_better, "{scheduled:?}, {earlier:?}");
    }
}

const BURST: Load = Load {
    nodes: 8,
    capacity: 400.0,
    usual: 280.0,
    burst: 700.0,
    burst_length: Duration::from_secs(1),
    time_left: Duration::from_secs(6),
};

cases! {
    callers_return_when_there_is_room;
    after_a_burst_of_one_second: &BURST, 50;
    after_a_burst_of_two_seconds: &Load { burst_length: ms(2_000), ..BURST }, 65;
    // Under the earlier policy, returns last about as long as the room that they need by chance. The
    // bound is 2 standard deviations of such a count, which is about 20, above it.
    after_a_short_burst: &Load { burst_length: ms(400), ..BURST }, 145;
    at_one_node: &Load { nodes: 1, ..BURST }, 50;
    at_eighty_nodes: &Load { nodes: 80, ..BURST }, 65;
    with_longer_deadlines: &Load { time_left: ms(8_000), ..BURST }, 30;
}

/// A node's schedule and its time.
struct Node {
    schedule: ReturnSchedule,
    now: Instant,
}

impl Node {
    fn new() -> Self {
        let (schedule, now) = (ReturnSchedule::default(), Instant::now());
        Self { schedule, now }
    }

    /// Records calls at a rate per second over a time, of which each `nth` is refused.
    fn record(&mut self, time: Duration, rate: u32, nth: u32) {
        let end = self.now + time;
        for call in (1..).take_while(|call| Duration::from_secs(1) / rate * *call <= time) {
            self.schedule.record_arrival(&kind(), self.now);
            if call % nth == 0 {
                self.schedule.record_refused(&kind(), self.now);
            } else {
                self.schedule.record_admitted(&kind(), self.now);
            }
            self.now += Duration::from_secs(1) / rate;
        }
        self.now = end;
    }

    /// Returns the bookings of many callers at one time.
    fn book(&mut self, count: u32, rank: u32, left: Duration) -> Vec<Booking> {
        let mut rng = StdRng::seed_from_u64(3);
        let mut book = |draw| self.schedule.book(&kind(), rank, left, draw, self.now);
        (0..count).map(|_| book(rng.random())).collect()
    }
}

fn times(bookings: &[Booking]) -> Vec<Duration> {
    bookings.iter().map(|booking| booking.retry_after).collect()
}

/// Guards against times outside of what callers wait, for the edges of the remaining time and the draw.
#[test]
fn times_stay_within_the_range() {
    let mut node = Node::new();
    node.record(ms(3_000), 50, 2);
    let mut book = |left, draw| node.schedule.book(&kind(), 1, left, draw, node.now);
    for left in [450, 451, 600, 2_000, 6_000, 60_000].map(ms) {
        for draw in [0.0, 0.5, 1.0, f64::NAN] {
            let wait = book(left, draw).retry_after;
            let is_within = wait >= MIN_RETRY_AFTER && wait <= left / 3;
            assert!(is_within, "{left:?}, {draw}: {wait:?}");
        }
    }
    // The caller does not wait for the shortest time.
    assert!(!book(ms(400), 0.5).is_expected_to_fit);
}

/// Guards against bookings above the rate at which capacity appears, and a promise where none fits.
#[test]
fn a_full_calendar_says_so_and_spreads_the_rest() {
    let mut node = Node::new();
    // 50 calls per second are admitted of 100, so little appears for returning callers.
    node.record(ms(3_000), 100, 2);
    let mut rest = node.book(200, 0, ms(6_000));
    let last = rest[199];
    assert!(!last.is_expected_to_fit && last.backlog == 200, "{last:?}");
    rest.retain(|booking| !booking.is_expected_to_fit);
    assert!(rest.len() >= 180, "{} of 200 do not fit", rest.len());
    let mut times = times(&rest);
    times.sort();
    assert!(times[0] >= ms(900), "near the end");
    let is_spread = times
        .windows(41)
        .all(|times| times[40] > times[0] + ms(100));
    assert!(is_spread, "more than 40 returns in a bucket: {times:?}");
}

/// Guards against urgent callers that return after others.
#[test]
fn more_urgent_callers_return_earlier() {
    let times = [0, 1, 2].map(|rank| {
        let mut node = Node::new();
        for (time, rate, nth) in [(8_000, 100, 101), (1_000, 150, 3), (200, 50, 4)] {
            node.record(ms(time), rate, nth);
        }
        times(&node.book(5, rank, ms(8_000)))
            .iter()
            .sum::<Duration>()
    });
    assert!(times.is_sorted() && times[0] < times[2], "{times:?}");
}

/// Guards against late returns while there is room, and after a pause of the node with a full calendar.
#[test]
fn plentiful_capacity_is_used_early() {
    let mut node = Node::new();
    let start = node.now;
    node.record(ms(2_000), 100, 2);
    node.book(200, 0, ms(6_000));
    node.now += Duration::from_secs(30);
    node.record(ms(500), 100, 1_000);
    node.schedule.record_refused(&kind(), node.now);
    let bookings = node.book(50, 2, ms(6_000));
    let mut times = times(&bookings);
    times.sort();
    assert!(
        times[49] <= ms(250) && times[49] > times[0] + ms(80),
        "{times:?}"
    );
    assert_eq!(bookings[49].backlog, 50, "old bookings are dropped");
    // The clock of another task may be read earlier.
    node.schedule.book(&kind(), 0, ms(6_000), 0.5, start);
}

/// Guards against callers of all nodes that return together while no node knows anything.
#[test]
fn nodes_without_knowledge_spread_returns() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut counts = [0; 20];
    for _ in 0..80 {
        let mut schedule = ReturnSchedule::default();
        for _ in 0..10 {
            schedule.record_arrival(&kind(), now);
            schedule.record_refused(&kind(), now);
            let booking = schedule.book(&kind(), 0, ms(6_000), rng.random(), now);
            let index = usize::try_from(booking.retry_after.as_millis() / 100);
            counts[index.expect("small").min(19)] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count <= 800 / 5), "{counts:?}");
}
