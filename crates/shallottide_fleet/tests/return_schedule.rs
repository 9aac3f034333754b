//! Times at which refused callers return, and how many of them are refused again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shallottide_fleet::load_keys::Kind;
use shallottide_fleet::return_schedule::{MIN_RETRY_AFTER, ReturnSchedule};
use shallottide_types::cases;

fn kind() -> Kind {
    (
        "answers".parse().expect("an id"),
        "small".parse().expect("an id"),
    )
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
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
    MIN_RETRY_AFTER + (max - MIN_RETRY_AFTER).mul_f64(draw)
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
        let mut callers: Vec<_> = (0..8)
            .filter(|_| rng.random_bool(mean))
            .map(|_| None)
            .collect();
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
            let wait = if is_scheduled {
                let booking = schedule.book(&kind(), 0, load.time_left, draw, now);
                booking.retry_after
            } else {
                earlier_policy(load.time_left, draw)
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
        let later = idle.range_mut(at..=latest.max(at));
        let mut needed = 1.0;
        for (_, left) in later {
            let used = left.min(needed);
            *left -= used;
            needed -= used;
        }
        outcome.avoidable += u32::from(needed < 1e-9);
    }
    outcome
}

/// Guards against callers that are sent back into a full system while there is room later.
fn callers_return_when_there_is_room(load: &Load) {
    for seed in 0..3 {
        let scheduled = play(load, true, seed);
        let earlier = play(load, false, seed);
        eprintln!("seed {seed}: scheduled {scheduled:?}, earlier policy {earlier:?}");
        assert!(
            scheduled.avoidable * 10 <= scheduled.returns,
            "{scheduled:?}"
        );
        assert!(
            scheduled.refused_twice <= earlier.refused_twice,
            "{scheduled:?}, {earlier:?}"
        );
    }
}

const BURST: Load = Load {
    nodes: 8,
    capacity: 400.0,
    usual: 280.0,
    burst: 700.0,
    burst_length: Duration::from_millis(1_000),
    time_left: Duration::from_secs(6),
};

cases! {
    callers_return_when_there_is_room;
    after_a_burst_of_one_second: &BURST;
    after_a_burst_of_two_seconds: &Load { burst_length: ms(2_000), ..BURST };
    after_a_short_burst: &Load { burst_length: ms(400), ..BURST };
    at_one_node: &Load { nodes: 1, ..BURST };
    at_eighty_nodes: &Load { nodes: 80, ..BURST };
    with_longer_deadlines: &Load { time_left: ms(8_000), ..BURST };
}
