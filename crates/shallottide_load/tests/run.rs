//! Complete load runs against stand-ins.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use serde_json::json;
use shallottide_load::{LoadOptions, Report, ServiceTarget, run};
use shallottide_types::cases;
use shallottide_types::engine::{Assignment, Order, OrderAction};
use shallottide_types::id::FencingToken;
use standin::engine::{EngineFaults, EngineOptions, EngineServer};
use standin::service::{ServiceFaults, ServiceOptions, ServiceServer};

fn engine(faults: EngineFaults) -> EngineServer {
    let engine = EngineServer::start(EngineOptions {
        token_time: Duration::ZERO,
        load_time: Duration::ZERO,
        warm_up_tokens: 0,
        faults,
        ..EngineOptions::default()
    });
    let engine = engine.unwrap();
    let order = Order {
        fencing_token: FencingToken(1),
        action: OrderAction::Join(Assignment {
            group: "g1".parse().unwrap(),
            model: "demo".parse().unwrap(),
            formed: FencingToken(1),
            rank: 0,
            members: vec![engine.address()],
        }),
    };
    let url = format!("http://{}/orders", engine.address());
    ureq::post(url).send_json(order).unwrap();
    engine
}

fn options(target: SocketAddr, service_percent: u8) -> LoadOptions {
    LoadOptions {
        targets: vec![target],
        rate: 400.0,
        duration: Duration::from_millis(250),
        max_in_flight: 16,
        max_tokens: 3,
        timeout: Duration::from_secs(20),
        service: Some(ServiceTarget {
            path: "/services/s/bookings".into(),
            percent: service_percent,
            repeat_percent: 0,
        }),
        ..LoadOptions::default()
    }
}

fn check_completions(stream: bool) {
    let engine = engine(EngineFaults::default());
    let report = run(&LoadOptions {
        stream,
        ..options(engine.address(), 0)
    });
    let report = report.unwrap();
    assert!(report.whole > 50 && report.is_clean(), "{report}");
    assert_eq!((report.arrived, report.sent), (report.whole, report.whole));
    let (first, between) = (report.first_token.count, report.between_tokens.count);
    let streamed = if stream { report.whole } else { 0 };
    assert_eq!((first, between), (streamed, 2 * streamed));
}

cases! {
    check_completions;
    streamed_completions_are_whole: true;
    unstreamed_completions_are_whole: false;
}

fn check_engine_fault(faults: EngineFaults, count: fn(&Report) -> u64) {
    let engine = engine(faults);
    let report = run(&options(engine.address(), 0)).unwrap();
    assert_eq!(count(&report), 3, "{report}");
    assert_eq!(report.whole + 3, report.arrived, "{report}");
}

cases! {
    check_engine_fault;
    cut_streams_are_counted: EngineFaults { cut_streams: 3, cut_after: 1, ..EngineFaults::default() }, |r| r.cut;
    cut_just_before_the_end_is_counted: EngineFaults { cut_streams: 3, cut_after: 3, ..EngineFaults::default() }, |r| r.cut;
}

#[test]
fn lost_answers_are_counted() {
    let service = ServiceServer::start(ServiceOptions {
        faults: ServiceFaults {
            lose_answers: 2,
            ..ServiceFaults::default()
        },
        ..ServiceOptions::default()
    });
    let service = service.unwrap();
    let report = run(&options(service.address(), 100)).unwrap();
    assert_eq!(report.no_answer, 2, "{report}");
    assert_eq!(report.whole + 2, report.arrived, "{report}");
}

#[test]
fn second_runs_are_counted() {
    let service = ServiceServer::start(ServiceOptions::default()).unwrap();
    let mut options = options(service.address(), 100);
    options.service.as_mut().unwrap().repeat_percent = 100;
    options.check_runs = vec![service.address()];
    let report = run(&options).unwrap();
    assert_eq!(report.repeated, report.arrived, "{report}");
    // Without an entry node in between, the stand-in runs each repeated call again.
    assert_eq!(report.double_runs, report.arrived, "{report}");
}

#[test]
fn calls_above_max_in_flight_wait_and_are_counted() {
    let service = ServiceServer::start(ServiceOptions {
        service_time: Duration::from_millis(10),
        ..ServiceOptions::default()
    });
    let service = service.unwrap();
    let report = run(&LoadOptions {
        max_in_flight: 1,
        ..options(service.address(), 100)
    });
    let report = report.unwrap();
    assert!(report.waited > 0, "{report}");
    assert_eq!(report.whole, report.arrived, "{report}");
    // The wait counts as latency: calls run one after another, so the last one ends late.
    let calls = report.arrived;
    assert!(
        report.whole_answer.max_us > 10_000 * (calls / 2),
        "{report}"
    );
}

#[test]
fn program_prints_json_and_sets_exit_code() {
    let engine = engine(EngineFaults {
        cut_streams: 1,
        ..EngineFaults::default()
    });
    let target = engine.address().to_string();
    let arguments = [
        "--target",
        &target,
        "--rate",
        "50",
        "--seconds",
        "1",
        "--json",
    ];
    let program = || Command::new(env!("CARGO_BIN_EXE_shallottide-load"));
    let first = program().args(arguments).output().unwrap();
    assert_eq!(first.status.code(), Some(1), "one answer was cut");
    let second = program().args(arguments).output().unwrap();
    assert_eq!(second.status.code(), Some(0));
    let report: serde_json::Value = serde_json::from_slice(&second.stdout).unwrap();
    assert_eq!(report["cut"], json!(0));
    assert_eq!(report["whole"], report["arrived"]);
    assert_eq!(program().output().unwrap().status.code(), Some(2));
}
