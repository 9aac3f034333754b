//! Controllers know the requested work of each model over all nodes, and act only on a sufficient
//! sample.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_fleet::groups::{Demand, DemandReport};
use shallottide_types::id::{ModelId, NodeId};

const WORK: Duration = Duration::from_millis(20);

fn model(name: &str) -> ModelId {
    name.parse().expect("a valid id")
}

fn node(name: &str) -> NodeId {
    name.parse().expect("a valid id")
}

fn report(requests: u32, large: u32, small: u32) -> DemandReport {
    DemandReport {
        requests,
        work: BTreeMap::from([
            (model("large"), WORK * large),
            (model("small"), WORK * small),
        ]),
    }
}

#[test]
fn too_few_requests_give_no_demand() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for _ in 0..30 {
        demand.record_request(&model("large"), WORK, now);
    }
    assert_eq!(demand.by_model(now), None);
}

/// A controller restarts while there is traffic, when only its peers know the demand.
#[test]
fn node_without_requests_knows_the_demand_from_its_peers() {
    let now = Instant::now();
    let mut demand = Demand::default();
    demand.record_peer_report(node("a"), report(80, 20, 60), now);
    demand.record_peer_report(node("b"), report(80, 60, 20), now);
    let work = demand.by_model(now).expect("enough requests");
    assert_eq!(work[&model("large")], WORK * 80);
    assert_eq!(work[&model("small")], WORK * 80);
}

#[test]
fn own_requests_and_the_newest_report_of_each_peer_count() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for _ in 0..100 {
        demand.record_request(&model("large"), WORK, now);
    }
    demand.record_peer_report(node("a"), report(400, 0, 400), now);
    demand.record_peer_report(node("a"), report(50, 50, 0), now);
    let work = demand.by_model(now).expect("enough requests");
    assert_eq!(work[&model("large")], WORK * 150);
    assert_eq!(demand.report(now).requests, 100);
}

#[test]
fn old_requests_and_old_peer_reports_do_not_count() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for _ in 0..200 {
        demand.record_request(&model("large"), WORK, now);
    }
    demand.record_peer_report(node("a"), report(400, 0, 400), now);
    let later = now + Duration::from_secs(4);
    let work = demand.by_model(later).expect("its own requests");
    assert_eq!(work.get(&model("small")), None);
    assert_eq!(demand.by_model(now + Duration::from_secs(30)), None);
}
