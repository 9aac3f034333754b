//! Measures the cost per node of controlling groups, up to the design size:
//! `cargo run --release -p shallottide --example groups_cost`.

#[path = "../tests/group_support/mod.rs"]
mod group_support;

use std::time::Duration;

use group_support::{Bench, model, upstream, vms};
use shallottide_types::record::Record;

/// Simulated time of one measurement.
const MEASURED_SECONDS: u32 = 40;

fn measure(nodes: usize, vms_per_fabric: u16, groups: u32) {
    let mut records = vec![Record::Model(model("tide", 4, groups, 1))];
    let servers = (0..12).map(|n| upstream(&format!("depot-{n}"), "depot"));
    records.extend(servers.map(Record::Upstream));
    let fabrics = ["a", "b", "c", "d"].map(|fabric| (fabric, vms_per_fabric));
    let mut bench = Bench::new(0, vms(&fabrics), records);
    bench.options.max_loading = 40;
    for number in 0..nodes {
        bench.add_node(&format!("entry-{number}"));
    }
    bench.run(Duration::from_mins(1));
    let serving = bench.serving();
    bench.peer_bytes.clear();
    bench.work.clear();
    bench.platform_calls = 0;
    bench.run(Duration::from_secs(u64::from(MEASURED_SECONDS)));
    let seconds = usize::try_from(MEASURED_SECONDS).expect("small");
    let mean_bytes = bench.peer_bytes.values().sum::<usize>() / seconds / nodes;
    let max_bytes = bench.peer_bytes.values().max().copied().unwrap_or(0) / seconds;
    let max_work = bench.work.values().max().copied().unwrap_or_default() / MEASURED_SECONDS;
    let mean_work = bench.work.values().sum::<Duration>()
        / MEASURED_SECONDS
        / u32::try_from(nodes).expect("few");
    let calls = bench.platform_calls * 60 / u64::from(MEASURED_SECONDS);
    let vms = 4 * vms_per_fabric;
    println!(
        "| {nodes} | {vms} | {serving} | {mean_bytes}, {max_bytes} | {}, {} | {calls} |",
        mean_work.as_micros(),
        max_work.as_micros()
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
