//! Heartbeats between the nodes of a failure domain.

use std::time::Duration;

use super::NODES;
use crate::gossip_domain::GossipDomain;
use crate::{RUNS, Slope, Spread};

/// Time for all nodes to know each other.
const SETTLE: Duration = Duration::from_secs(20);

/// Measured time, by the domain's own clock.
const SECONDS: u32 = 20;

/// Columns of the table.
const COLUMNS: [&str; 4] = [
    "microseconds a second of a node",
    "messages/s sent by a node",
    "bytes/s sent by a node, without framing",
    "microseconds to handle a message",
];

pub(super) fn print() {
    let mut points = [const { Vec::new() }; COLUMNS.len()];
    for nodes in NODES {
        let runs: Vec<[f64; 4]> = (0..RUNS).map(|run| measure(nodes, run as u64)).collect();
        for (column, name) in COLUMNS.iter().enumerate() {
            let spread = Spread::of(runs.iter().map(|run| run[column]).collect());
            println!("| members: {name} | {nodes} | {spread:.2} |");
            points[column].push((f64::from(nodes), spread.median));
        }
    }
    for (name, points) in COLUMNS.iter().zip(points) {
        let Slope { base, per_unit } = Slope::fit(&points);
        println!("| members: {name} | slope | {base:.2} + {per_unit:.4} for each |");
    }
}

fn measure(nodes: u32, seed: u64) -> [f64; 4] {
    let mut domain = GossipDomain::new(nodes, seed);
    domain.run(SETTLE);
    domain.reset();
    domain.run(Duration::from_secs(u64::from(SECONDS)));
    let totals = domain.totals();
    let each = f64::from(nodes) * f64::from(SECONDS);
    [
        totals.work.as_secs_f64() * 1e6 / each,
        f64::from(totals.messages) / each,
        f64::from(totals.bytes) / each,
        totals.handling.as_secs_f64() * 1e6 / f64::from(totals.messages),
    ]
}
