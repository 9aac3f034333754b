//! Cost of heartbeats between the nodes of a failure domain.

use std::time::Duration;

use super::NODES;
use crate::gossip_domain::GossipDomain;
use crate::{LinearFit, RUNS, Spread};

/// Simulated time after which all nodes know each other.
const SETTLE: Duration = Duration::from_secs(20);

/// Measured period in seconds of simulated time.
const SECONDS: u32 = 20;

/// Names of the measured values, each printed as a row.
const VALUES: [&str; 4] = [
    "microseconds a second of a node",
    "messages/s sent by a node",
    "bytes/s sent by a node, without framing",
    "microseconds to handle a message",
];

pub(super) fn print() {
    let mut points = [const { Vec::new() }; VALUES.len()];
    for nodes in NODES {
        let runs: Vec<[f64; 4]> = (0..RUNS).map(|run| measure(nodes, run as u64)).collect();
        for (value, name) in VALUES.iter().enumerate() {
            let spread = Spread::of(runs.iter().map(|run| run[value]).collect());
            println!("| members: {name} | {nodes} | {spread:.2} |");
            points[value].push((f64::from(nodes), spread.median));
        }
    }
    for (name, points) in VALUES.iter().zip(points) {
        let LinearFit { base, per_unit } = LinearFit::fit(&points);
        println!("| members: {name} | slope | {base:.2} + {per_unit:.4} for each |");
    }
}

/// Returns the values of one run, in the order of [`VALUES`].
fn measure(nodes: u32, seed: u64) -> [f64; 4] {
    let mut domain = GossipDomain::new(nodes, seed);
    domain.run(SETTLE);
    domain.reset_totals();
    domain.run(Duration::from_secs(u64::from(SECONDS)));
    let totals = domain.totals();
    let node_seconds = f64::from(nodes) * f64::from(SECONDS);
    [
        totals.work.as_secs_f64() * 1e6 / node_seconds,
        f64::from(totals.messages) / node_seconds,
        f64::from(totals.bytes) / node_seconds,
        totals.handling.as_secs_f64() * 1e6 / f64::from(totals.messages),
    ]
}
