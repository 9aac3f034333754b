//! Counting of double runs, false "not run" answers and seconds without service.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide_load::{CallKind, CallPlan, Outcome, Recorder, Timing};
use shallottide_types::cases;
use shallottide_types::refusal::{Ran, RefusalKind};

const KEY: &str = "load-1-0";

fn plan() -> CallPlan {
    CallPlan {
        number: 0,
        arrival: Duration::ZERO,
        target: "127.0.0.1:9".parse().unwrap(),
        kind: CallKind::Service {
            key: KEY.into(),
            repeat_through: None,
        },
    }
}

fn ran(run: u32, request_id: &str) -> Outcome {
    let body = format!(r#"{{"key":"{KEY}","run":{run},"request_id":"{request_id}"}}"#);
    Outcome::Whole { body }
}

fn refused(ran: Ran) -> Outcome {
    Outcome::Refused {
        kind: RefusalKind::Overloaded,
        ran,
        in_stream: false,
    }
}

/// Records a call, its repeat and the number of runs that the service counted, and checks the two
/// counters.
fn check(first: &Outcome, repeated: Option<&Outcome>, runs: u64, double: u64, false_not_run: u64) {
    let mut recorder = Recorder::default();
    let plan = plan();
    recorder.record_arrival(&plan, false);
    recorder.record_outcome(&plan, first, &Timing::default());
    if let Some(repeated) = repeated {
        recorder.record_repeat(KEY, first, repeated);
    }
    recorder.compare_runs(&BTreeMap::from([(KEY.to_owned(), runs)]));
    let report = recorder.report();
    let counted = (report.double_runs, report.false_not_run);
    assert_eq!(counted, (double, false_not_run));
    assert_eq!(report.is_clean(), double + false_not_run == 0);
}

cases! {
    check;
    ran_once: &ran(1, "a"), None, 1, 0, 0;
    repeat_gets_the_recorded_answer: &ran(1, "a"), Some(&ran(1, "a")), 1, 0, 0;
    repeat_is_refused: &ran(1, "a"), Some(&refused(Ran::Unknown)), 1, 0, 0;
    repeat_runs_again: &ran(1, "a"), Some(&ran(2, "b")), 2, 1, 0;
    repeat_runs_on_another_server: &ran(1, "a"), Some(&ran(1, "b")), 1, 1, 0;
    second_run_is_found_in_run_counts: &refused(Ran::Unknown), None, 2, 1, 0;
    not_run_is_true: &refused(Ran::No), None, 0, 0, 0;
    not_run_is_false: &refused(Ran::No), None, 1, 0, 1;
    unknown_may_have_run: &refused(Ran::Unknown), None, 1, 0, 0;
    not_run_then_ran: &refused(Ran::No), Some(&ran(1, "a")), 1, 0, 0;
    not_run_twice_is_false: &refused(Ran::No), Some(&refused(Ran::No)), 1, 0, 1;
    no_answer_then_not_run_is_false: &Outcome::NoAnswer("x".into()), Some(&refused(Ran::No)), 1, 0, 1;
}

#[test]
fn seconds_without_service_are_those_without_a_whole_answer() {
    let mut recorder = Recorder::default();
    let outcomes = [
        (0, ran(1, "a")),
        (0, refused(Ran::No)),
        (2, refused(Ran::No)),
    ];
    for (second, outcome) in outcomes {
        let plan = CallPlan {
            arrival: Duration::from_secs(second),
            ..plan()
        };
        recorder.record_arrival(&plan, false);
        recorder.record_outcome(&plan, &outcome, &Timing::default());
    }
    assert_eq!(recorder.report().seconds_without_service, 1);
}
