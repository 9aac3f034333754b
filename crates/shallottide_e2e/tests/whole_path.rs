//! The whole path through separate processes.

use std::path::PathBuf;

use shallottide_e2e::{ClusterOptions, ProcessCluster, Signal};

fn options(name: &str) -> ClusterOptions {
    ClusterOptions::new(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name))
}

/// Tells whether any node has a call on an upstream; only the dispatcher's status counts it.
fn is_in_flight(cluster: &ProcessCluster) -> bool {
    cluster.nodes.iter().any(|node| {
        let status = cluster.status(node);
        status.is_some_and(|status| status["in_flight"].as_u64() > Some(0))
    })
}

fn tokens(body: &str) -> usize {
    body.matches("\"text\"").count()
}

#[test]
fn completion_streams_and_booking_runs_once_through_any_node() {
    let cluster = ProcessCluster::start(options("whole_path"));
    cluster.wait_until_serving();
    for node in &cluster.nodes {
        let answer = node.caller().complete("wash report", 8).expect("an answer");
        assert_eq!((answer.status, tokens(&answer.body)), (200, 8));
        assert!(answer.body.ends_with("data: [DONE]\n\n"));
    }
    let answers: Vec<_> = cluster
        .nodes
        .iter()
        .map(|node| {
            node.caller()
                .repeat_booking("pallets-7", 12)
                .expect("an answer")
        })
        .collect();
    assert_eq!(answers[0].body, answers[1].body);
    assert_eq!(cluster.runs_of("pallets-7"), 1);
}

#[test]
fn planned_stop_cuts_no_stream() {
    let mut cluster = ProcessCluster::start(options("planned_stop"));
    cluster.wait_until_serving();
    let caller = cluster.nodes[0].caller();
    // Long enough to be in flight when the signal comes, whatever the machine does.
    let stream = std::thread::spawn(move || caller.complete("long report", 400));
    cluster.wait_until("a call in flight", is_in_flight);
    cluster.nodes[0].program.signal(Signal::TERM);
    let exit = cluster.nodes[0].program.wait();
    let answer = stream.join().expect("the caller ends").expect("an answer");
    assert_eq!((answer.status, tokens(&answer.body)), (200, 400));
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(exit.code(), Some(0));
}

#[test]
fn killed_dispatcher_is_replaced_and_claims_survive() {
    let mut cluster = ProcessCluster::start(options("killed_node"));
    cluster.wait_until_serving();
    let booked = cluster.nodes[0]
        .caller()
        .book("pallets-8", 12)
        .expect("an answer");
    assert_eq!(booked.status, 200);
    drop(cluster.nodes.remove(0));
    let caller = cluster.nodes[0].caller();
    let again = caller.book("pallets-8", 12).expect("an answer");
    assert_ne!(
        again.status, 503,
        "a recorded outcome needs no dispatcher: {}",
        again.body
    );
    let served = caller.retry_until_served("completion", |caller| caller.complete("after", 4));
    assert_eq!(served.expect("an answer").status, 200);
    assert_eq!(cluster.runs_of("pallets-8"), 1);
}

#[test]
fn node_cut_off_from_the_platform_serves_models_and_refuses_claims() {
    let cluster = ProcessCluster::start(options("cut_off"));
    cluster.wait_until_serving();
    for node in &cluster.nodes {
        node.platform_wire.sever();
    }
    let caller = cluster.nodes[1].caller();
    let answer = caller.complete("in the dark", 4).expect("an answer");
    assert_eq!((answer.status, tokens(&answer.body)), (200, 4));
    let refused = caller.book("pallets-9", 12).expect("an answer");
    assert!(refused.status >= 400, "{}", refused.body);
    let says_no = refused.did_not_run();
    for node in &cluster.nodes {
        node.platform_wire.mend();
    }
    let served = caller.retry_until_served("booking", |caller| caller.book("pallets-9", 12));
    let served = served.expect("an answer");
    assert!(served.status == 200 || !says_no, "{}", served.body);
    assert!(cluster.runs_of("pallets-9") <= 1);
}

#[test]
fn second_signal_ends_the_wait_and_reports_what_is_left() {
    let mut cluster = ProcessCluster::start(options("second_signal"));
    cluster.wait_until_serving();
    let caller = cluster.nodes[0].caller();
    // Far longer than the test, so that it is in flight at the end.
    let stream = std::thread::spawn(move || caller.complete("endless report", 10_000));
    cluster.wait_until("a call in flight", is_in_flight);
    cluster.nodes[0].program.signal(Signal::TERM);
    cluster.wait_until("the first signal noticed", |cluster| {
        let status = cluster.status(&cluster.nodes[0]);
        status.is_some_and(|status| status["stopping"].as_bool() == Some(true))
    });
    cluster.nodes[0].program.signal(Signal::TERM);
    let exit = cluster.nodes[0].program.wait();
    assert_eq!(exit.code(), Some(4));
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("second_signal/node-0.log");
    let log = std::fs::read_to_string(log).expect("the node's log");
    assert!(log.contains("calls left running"), "{log}");
    assert!(
        stream.join().expect("the caller ends").is_err(),
        "cut without a word"
    );
}
