//! Measures the cost per node of controlling groups, up to the design size:
//! `cargo run --release -p shallottide --example groups_cost`.

#[path = "../tests/group_support/mod.rs"]
mod group_support;

use std::time::Duration;

use group_support::{DomainSim, model, upstream, vms};
use shallottide_types::record::Record;

/// Simulated time of one measurement.
const MEASURED_SECONDS: u32 = 40;

fn measure(nodes: usize, vms_per_fabric: u16, groups: u32) {
    let mut records = vec![Record::Model(model("tide", 4, groups, 1))];
    let servers = (0..12).map(|n| upstream(&format!("depot-{n}"), "depot"));
    records.extend(servers.map(Record::Upstream));
    let fabrics = ["a", "b", "c", "d"].map(|fabric| (fabric, vms_per_fabric));
    let mut simulation = DomainSim::new(0, vms(&fabrics), records);
    simulation.options.max_loading_groups = 40;
    for number in 0..nodes {
        simulation.add_node(&format!("entry-{number}"));
    }
    simulation.run(Duration::from_mins(1));
    let serving = simulation.serving();
    simulation.peer_bytes.clear();
    simulation.cpu_time.clear();
    simulation.platform_calls = 0;
    simulation.run(Duration::from_secs(u64::from(MEASURED_SECONDS)));
    let seconds = usize::try_from(MEASURED_SECONDS).expect("small");
    let mean_bytes = simulation.peer_bytes.values().sum::<usize>() / seconds / nodes;
    let max_bytes = simulation.peer_bytes.values().max().copied().unwrap_or(0) / seconds;
    let max_cpu_time = simulation
        .cpu_time
        .values()
        .max()
        .copied()
        .unwrap_or_default()
        / MEASURED_SECONDS;
    let mean_cpu_time = simulation.cpu_time.values().sum::<Duration>()
        / MEASURED_SECONDS
        / u32::try_from(nodes).expect("few");
    let calls = simulation.platform_calls * 60 / u64::from(MEASURED_SECONDS);
    let vms = 4 * vms_per_fabric;
    println!(
        "| {nodes} | {vms} | {serving} | {mean_bytes}, {max_bytes} | {}, {} | {calls} |",
        mean_cpu_time.as_micros(),
        max_cpu_time.as_micros()
    );
}

fn main() {
    println!(
        "| nodes | VMs | groups serving | bytes/s sent by a node: mean, most | processor us/s of a node: mean, most | platform calls/min |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    measure(8, 10, 8);
    measure(21, 10, 8);
    measure(42, 20, 19);
    measure(84, 40, 38);
}
