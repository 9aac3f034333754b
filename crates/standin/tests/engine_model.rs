//! Tests the engine's state machine with times that the test passes in.

use std::time::{Duration, Instant};

use shallottide_types::engine::{Assignment, EngineState, Order, OrderAction};
use shallottide_types::id::FencingToken;
use standin::engine::{ColdOverload, EngineModel, EngineOptions, RefusalReason};

const LOAD_TIME: Duration = Duration::from_secs(5);
const TOKEN_TIME: Duration = Duration::from_millis(10);

fn options() -> EngineOptions {
    EngineOptions {
        load_time: LOAD_TIME,
        token_time: TOKEN_TIME,
        warm_up_tokens: 2,
        cold_capacity: 1,
        capacity: 2,
        ..EngineOptions::default()
    }
}

fn assignment(members: usize, rank: u8) -> Assignment {
    Assignment {
        group: "g1".parse().unwrap(),
        model: "m1".parse().unwrap(),
        formed: FencingToken(1),
        rank,
        members: vec!["127.0.0.1:9".parse().unwrap(); members],
    }
}

fn join(fencing_token: u64, assignment: Assignment) -> Order {
    Order {
        fencing_token: FencingToken(fencing_token),
        action: OrderAction::Join(assignment),
    }
}

/// Returns a loaded, cold engine that is the only member of its group, and the time at which it is.
fn loaded(options: EngineOptions) -> (EngineModel, Instant) {
    let now = Instant::now();
    let mut engine = EngineModel::new(options);
    engine.order(&join(1, assignment(1, 0)), now).unwrap();
    (engine, now + LOAD_TIME)
}

#[test]
fn engine_loads_and_warms_up() {
    let now = Instant::now();
    let mut engine = EngineModel::new(options());
    assert_eq!(engine.state(now), EngineState::Idle);
    engine.order(&join(1, assignment(1, 0)), now).unwrap();
    assert_eq!(engine.state(now), EngineState::Loading);
    assert_eq!(engine.queue(now), Err(RefusalReason::NotReady));
    let now = now + LOAD_TIME;
    assert_eq!(engine.state(now), EngineState::Cold);
    assert_eq!(engine.token_time(now), TOKEN_TIME * 3);
    engine.record_token();
    engine.record_token();
    assert_eq!(engine.state(now), EngineState::Warm);
    assert_eq!(engine.token_time(now), TOKEN_TIME);
    engine.turn_cold();
    assert_eq!(engine.state(now), EngineState::Cold);
}

#[test]
fn engine_refuses_orders_with_an_older_fencing_token() {
    let (mut engine, now) = loaded(options());
    engine.order(&join(7, assignment(1, 0)), now).unwrap();
    assert_eq!(engine.state(now), EngineState::Cold, "same assignment");
    let release = Order {
        fencing_token: FencingToken(6),
        action: OrderAction::Release,
    };
    assert_eq!(engine.order(&release, now), Err(FencingToken(7)));
    assert!(engine.report(now).assignment.is_some());
}

#[test]
fn engine_without_fencing_accepts_older_orders() {
    let (mut engine, now) = loaded(EngineOptions {
        fences_orders: false,
        ..options()
    });
    engine.order(&join(7, assignment(1, 0)), now).unwrap();
    let release = Order {
        fencing_token: FencingToken(6),
        action: OrderAction::Release,
    };
    assert_eq!(engine.order(&release, now), Ok(()));
    assert_eq!(engine.report(now).assignment, None);
    assert_eq!(engine.report(now).fencing_token, FencingToken(0));
}

#[test]
fn ranks_other_than_zero_refuse_requests() {
    let now = Instant::now();
    let mut engine = EngineModel::new(options());
    engine.order(&join(1, assignment(2, 1)), now).unwrap();
    let now = now + LOAD_TIME;
    assert_eq!(engine.state(now), EngineState::Cold);
    assert_eq!(engine.queue(now), Err(RefusalReason::NotReady));
}

#[test]
fn lost_member_interrupts_runs_and_requires_a_reload() {
    let now = Instant::now();
    let group = assignment(2, 0);
    let mut engine = EngineModel::new(options());
    engine.order(&join(1, group.clone()), now).unwrap();
    let now = now + LOAD_TIME;
    assert_eq!(
        engine.state(now),
        EngineState::Loading,
        "member not checked yet"
    );
    engine.update_members_ready(&group, true, now);
    let run = engine.queue(now).unwrap();
    assert!(engine.start(now) && engine.is_run_active(run));
    engine.update_members_ready(&group, false, now);
    assert!(!engine.is_run_active(run));
    assert_eq!(engine.queue(now), Err(RefusalReason::NotReady));
    engine.update_members_ready(&group, true, now);
    assert_eq!(engine.state(now), EngineState::Loading);
    assert_eq!(engine.state(now + LOAD_TIME), EngineState::Cold);
}

#[test]
fn cold_engine_fails_above_its_cold_capacity() {
    let (mut engine, now) = loaded(options());
    assert!(engine.queue(now).is_ok());
    assert_eq!(engine.queue(now), Err(RefusalReason::ColdOverload));
    assert_eq!(engine.overloads(), 1);
}

#[test]
fn cold_engine_slows_above_its_cold_capacity() {
    let (mut engine, now) = loaded(EngineOptions {
        cold_overload: ColdOverload::Slow(10),
        batch_percent: 0,
        ..options()
    });
    for _ in 0..2 {
        engine.queue(now).unwrap();
        assert!(engine.start(now));
    }
    assert_eq!(engine.token_time(now), TOKEN_TIME * 30);
}

#[test]
fn cached_prefix_skips_prefill() {
    let prefill_time = Duration::from_millis(100);
    let (mut engine, _) = loaded(EngineOptions {
        prefill_time,
        cached_prefixes: 2,
        prefix_length: 1,
        ..options()
    });
    let prompts = ["a", "a again", "b", "a", "c", "b", "c"];
    let cached: Vec<_> = prompts.map(|p| engine.prefill(p).is_zero()).into();
    assert_eq!(cached, [false, true, false, true, false, false, true]);
    assert_eq!(engine.prefill("c"), Duration::ZERO);
    engine.restart();
    assert_eq!(engine.prefill("c"), prefill_time);
    assert_eq!(
        (engine.cache_counts().hits, engine.cache_counts().misses),
        (4, 5)
    );
}

#[test]
fn report_lags_and_full_batch_queues_requests() {
    let lag = Duration::from_secs(2);
    let (mut engine, now) = loaded(EngineOptions {
        report_lag: lag,
        cold_capacity: 9,
        ..options()
    });
    for _ in 0..3 {
        engine.queue(now).unwrap();
    }
    let started = (0..3).filter(|_| engine.start(now)).count();
    assert_eq!(started, 2);
    let figures = |at| {
        let report = engine.report(at);
        (report.running, report.queued)
    };
    assert_eq!(figures(now), (0, 0));
    assert_eq!(figures(now + lag), (2, 1));
}
