//! Measures the overhead of entry nodes, compared to the same calls sent directly to the engine:
//! `cargo build --release --workspace --bins`, then
//! `cargo run --release -p shallottide_e2e --example overhead_run`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use argh::FromArgs;
use serde_json::Value;
use shallottide_bench::{ProcessUsage, Spread, load_average};
use shallottide_e2e::{ClusterOptions, ProcessCluster, TEAM_KEY, listen_address, program_path};

/// Paths that a call can take to the engine, named as in the printed table.
const CALL_PATHS: [&str; 4] = [STRAIGHT, NEW_CONNECTION, "one node", "two nodes"];

/// Directly to the engine over persistent connections.
const STRAIGHT: &str = "straight";

/// Directly to the engine over a new connection for each call, as entry nodes do.
const NEW_CONNECTION: &str = "straight, new connection";

/// Measured times of each call, by the load tool's names.
const TIMES: [&str; 3] = ["first_token", "between_tokens", "whole_answer"];

/// Percentiles, by the load tool's names.
const PERCENTILES: [&str; 2] = ["p50_us", "p99_us"];

/// Measures the overhead of entry nodes.
#[derive(FromArgs)]
struct Args {
    /// arriving calls per second
    #[argh(option, default = "50")]
    rate: u32,
    /// seconds of each run
    #[argh(option, default = "8")]
    seconds: u32,
    /// runs of each path
    #[argh(option, default = "5")]
    runs: u32,
    /// tokens of each completion
    #[argh(option, default = "16")]
    max_tokens: u32,
}

/// Target address of each path.
struct Targets {
    call_paths: Vec<(&'static str, SocketAddr)>,
}

impl Targets {
    /// Finds the engine of the only group, the group's dispatcher and another node.
    fn find(cluster: &ProcessCluster) -> Self {
        let status = cluster.status(&cluster.nodes[0]).expect("the node answers");
        let group = &status["groups"][0];
        let first = group["members"][0].as_str().expect("a group of VMs");
        let number = first.strip_prefix("vm-").and_then(|n| n.parse().ok());
        let number: usize = number.expect("a numbered VM");
        let dispatcher = group["dispatcher"].as_str().expect("a dispatcher");
        let number_of = |name: &str| name.strip_prefix("node-").and_then(|n| n.parse().ok());
        let dispatcher: usize = number_of(dispatcher).expect("a numbered node");
        let other = (dispatcher + 1) % cluster.nodes.len();
        let addresses = [
            listen_address(&cluster.engines[number]),
            listen_address(&cluster.engines[number]),
            cluster.nodes[dispatcher].callers,
            cluster.nodes[other].callers,
        ];
        Self {
            call_paths: CALL_PATHS.into_iter().zip(addresses).collect(),
        }
    }
}

fn run_load(args: &Args, call_path: &str, target: SocketAddr, seed: u32) -> Value {
    let mut command = Command::new(program_path("shallottide-load"));
    let mut add = |name: &str, value: String| {
        command.arg(format!("--{name}")).arg(value);
    };
    add("target", target.to_string());
    add("key", TEAM_KEY.into());
    add("model", "tide".into());
    add("rate", args.rate.to_string());
    add("seconds", args.seconds.to_string());
    add("seed", seed.to_string());
    add("max-tokens", args.max_tokens.to_string());
    if call_path == NEW_CONNECTION {
        command.arg("--new-connections");
    }
    let output = command.arg("--json").output();
    let output = output.expect("shallottide-load is built");
    serde_json::from_slice(&output.stdout).expect("a report")
}

/// Returns the processor time that all entry nodes have used.
fn processor_time(cluster: &ProcessCluster) -> Duration {
    let nodes = cluster.nodes.iter();
    nodes
        .map(|node| ProcessUsage::of(node.program.id()).processor)
        .sum()
}

type Key = (&'static str, &'static str, &'static str);

/// Results of all runs.
#[derive(Default)]
struct Results {
    by_key: BTreeMap<Key, Vec<f64>>,
    whole: BTreeMap<&'static str, (u64, u64)>,
    /// Processor time of all entry nodes for each call, in microseconds.
    processor_time: BTreeMap<&'static str, Vec<f64>>,
    loads: Vec<f64>,
}

impl Results {
    fn add(&mut self, call_path: &'static str, report: &Value, processor_time: Duration) {
        let calls = report["whole"].as_f64().expect("a count");
        let per_call = processor_time.as_secs_f64() * 1e6 / calls;
        self.processor_time
            .entry(call_path)
            .or_default()
            .push(per_call);
        for time in TIMES {
            for percentile in PERCENTILES {
                let value = report[time][percentile].as_f64().expect("a latency");
                let key = (call_path, time, percentile);
                self.by_key.entry(key).or_default().push(value);
            }
        }
        let whole = self.whole.entry(call_path).or_default();
        whole.0 += report["whole"].as_u64().expect("a count");
        whole.1 += report["arrived"].as_u64().expect("a count");
        self.loads.push(load_average());
    }

    fn print(&self) {
        for time in TIMES {
            for percentile in PERCENTILES {
                let straight = &self.by_key[&(STRAIGHT, time, percentile)];
                println!(
                    "| {time} {percentile} | straight | {:.0} |  |  |",
                    Spread::of(straight.clone())
                );
                for call_path in &CALL_PATHS[1..] {
                    let own = &self.by_key[&(*call_path, time, percentile)];
                    let pairs = || own.iter().zip(straight);
                    let added = pairs().map(|(own, straight)| own - straight);
                    let ratio = pairs().map(|(own, straight)| own / straight);
                    println!(
                        "| {time} {percentile} | {call_path} | {:.0} | {:.0} | {:.3} |",
                        Spread::of(own.clone()),
                        Spread::of(added.collect()),
                        Spread::of(ratio.collect())
                    );
                }
            }
        }
        for (call_path, (whole, arrived)) in &self.whole {
            let processor_time = Spread::of(self.processor_time[call_path].clone());
            println!(
                "{call_path}: {whole} of {arrived} answers whole; microseconds of the nodes' processor for each call: {processor_time:.0}"
            );
        }
        println!("load average: {:.1}", Spread::of(self.loads.clone()));
    }
}

fn main() {
    let args: Args = argh::from_env();
    let cluster = ProcessCluster::start(ClusterOptions {
        nodes: 2,
        engines: 4,
        engine_args: vec![
            "--load-time",
            "200ms",
            "--token-time",
            "10ms",
            "--batch-percent",
            "0",
        ],
        ..ClusterOptions::new(PathBuf::from("target/overhead_run"))
    });
    cluster.wait_until_serving();
    let targets = Targets::find(&cluster);
    for (call_path, target) in &targets.call_paths {
        let _warm_up = run_load(&args, call_path, *target, 1);
    }
    let mut results = Results::default();
    for run in 0..args.runs {
        for turn in 0..CALL_PATHS.len() {
            // Rotates the order, so that no path always follows the same other path.
            let (call_path, target) = targets.call_paths[(run as usize + turn) % CALL_PATHS.len()];
            let before = processor_time(&cluster);
            let report = run_load(&args, call_path, target, 100 + run);
            let used = processor_time(&cluster).saturating_sub(before);
            results.add(call_path, &report, used);
        }
    }
    println!(
        "Median (lowest–highest) of {} runs of {} s, {} calls/s, {} tokens each, in microseconds.",
        args.runs, args.seconds, args.rate, args.max_tokens
    );
    println!("| time | way | measured | added | ratio |");
    println!("| --- | --- | --- | --- | --- |");
    results.print();
}
