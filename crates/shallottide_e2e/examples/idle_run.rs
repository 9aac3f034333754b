//! Measures what entry nodes cost without load, as real processes on loopback:
//! `cargo build --release --workspace --bins`, then
//! `cargo run --release -p shallottide_e2e --example idle_run`.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::Value;
use shallottide_bench::{ProcessUsage, Spread, load_average};
use shallottide_e2e::{ClusterOptions, ProcessCluster, listening};

/// Measures entry nodes without load.
#[derive(FromArgs)]
struct Args {
    /// entry nodes of a cluster; may be given several times
    #[argh(option)]
    nodes: Vec<usize>,
    /// failure domains of a cluster; may be given several times
    #[argh(option)]
    domains: Vec<usize>,
    /// engine members
    #[argh(option, default = "8")]
    engines: usize,
    /// runs of each cluster
    #[argh(option, default = "5")]
    runs: usize,
    /// seconds of each run
    #[argh(option, default = "20")]
    seconds: u64,
    /// seconds for connections and first elections to settle before each run
    #[argh(option, default = "6")]
    settle: u64,
}

/// What one node used and sent in one run, for each second.
struct NodeRates {
    core_percent: f64,
    resident_mb: f64,
    threads: f64,
    bytes_sent: f64,
    message_bytes_sent: f64,
    messages_sent: f64,
}

/// A moment's counts.
struct Sample {
    at: Instant,
    usage: Vec<ProcessUsage>,
    traffic: Vec<Value>,
    calls: BTreeMap<String, u64>,
}

impl Sample {
    fn take(cluster: &ProcessCluster) -> Self {
        let usage = cluster.nodes.iter();
        let traffic = cluster.nodes.iter().map(|node| {
            let status = cluster.status(node).expect("the node answers");
            status["peer_traffic"].clone()
        });
        let counts = cluster.get(listening(&cluster.platform), "/control/counts");
        Self {
            usage: usage
                .map(|node| ProcessUsage::of(node.program.id()))
                .collect(),
            traffic: traffic.collect(),
            calls: serde_json::from_value(counts["by_kind"].clone()).expect("counts by kind"),
            at: Instant::now(),
        }
    }
}

fn rates(before: &Sample, after: &Sample) -> Vec<NodeRates> {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let rate = |number: usize| {
        let (used, was) = (after.usage[number], before.usage[number]);
        let processor = used.processor.saturating_sub(was.processor);
        let growth = |field: &str| {
            let count = |sample: &Sample| sample.traffic[number][field].as_f64().expect("a count");
            (count(after) - count(before)) / seconds
        };
        NodeRates {
            core_percent: processor.as_secs_f64() / seconds * 100.0,
            resident_mb: count(used.resident_bytes) / 1e6,
            threads: count(used.threads as u64),
            bytes_sent: growth("bytes_sent"),
            message_bytes_sent: growth("control_bytes_sent"),
            messages_sent: growth("control_sent"),
        }
    };
    (0..after.usage.len()).map(rate).collect()
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn count(value: u64) -> f64 {
    value as f64
}

fn mean(rates: &[NodeRates], value: impl Fn(&NodeRates) -> f64) -> f64 {
    rates.iter().map(value).sum::<f64>() / count(rates.len() as u64)
}

fn most(rates: &[NodeRates], value: impl Fn(&NodeRates) -> f64) -> f64 {
    rates.iter().map(value).fold(0.0, f64::max)
}

/// Runs of one kind of cluster.
#[derive(Default)]
struct Runs {
    columns: BTreeMap<&'static str, Vec<f64>>,
    /// Platform calls in a second, by kind.
    calls: BTreeMap<String, Vec<f64>>,
    /// Platform calls from the start until measuring began, by kind; the records' writes too.
    start_calls: BTreeMap<String, Vec<f64>>,
    loads: Vec<f64>,
}

impl Runs {
    fn add(&mut self, before: &Sample, after: &Sample) {
        let rates = rates(before, after);
        let mut add = |name, value| self.columns.entry(name).or_default().push(value);
        add("core_percent", mean(&rates, |r| r.core_percent));
        add("core_percent_most", most(&rates, |r| r.core_percent));
        add("resident_mb", most(&rates, |r| r.resident_mb));
        add("threads", most(&rates, |r| r.threads));
        add("bytes", mean(&rates, |r| r.bytes_sent));
        add("bytes_most", most(&rates, |r| r.bytes_sent));
        add("message_bytes", mean(&rates, |r| r.message_bytes_sent));
        add("messages", mean(&rates, |r| r.messages_sent));
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        for (kind, calls) in &after.calls {
            let was = before.calls.get(kind).copied().unwrap_or(0);
            let rate = count(calls - was) / seconds;
            self.calls.entry(kind.clone()).or_default().push(rate);
            let start = self.start_calls.entry(kind.clone()).or_default();
            start.push(count(was));
        }
        self.loads.push(load_average());
    }

    fn print(self, nodes: usize, domains: usize) {
        let column = |name| Spread::of(self.columns[name].clone());
        println!(
            "| {nodes} | {domains} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} |",
            column("core_percent"),
            column("core_percent_most"),
            column("resident_mb"),
            column("threads"),
            column("bytes"),
            column("bytes_most"),
            column("message_bytes"),
            column("messages"),
            Spread::of(self.loads),
        );
        for (kind, rates) in self.calls {
            let rates = Spread::of(rates);
            let start = Spread::of(self.start_calls[&kind].clone());
            println!("|  |  | platform {kind}/s: {rates:.2}; until measuring began: {start:.0} |");
        }
    }
}

/// Waits until every node answers for a completion.
fn wait_for_completions(cluster: &ProcessCluster) {
    for node in &cluster.nodes {
        let caller = node.caller();
        let served =
            caller.retry_until_served("completion", |caller| caller.complete("warm up", 2));
        assert_eq!(served.expect("an answer").status, 200);
    }
}

fn measure(args: &Args, nodes: usize, domains: usize) {
    let mut runs = Runs::default();
    for _ in 0..args.runs {
        let cluster = ProcessCluster::start(ClusterOptions {
            nodes,
            domains,
            engines: args.engines.max(domains * 4),
            services: domains,
            ..ClusterOptions::new(PathBuf::from("target/idle_run"))
        });
        wait_for_completions(&cluster);
        std::thread::sleep(Duration::from_secs(args.settle));
        let before = Sample::take(&cluster);
        std::thread::sleep(Duration::from_secs(args.seconds));
        let after = Sample::take(&cluster);
        runs.add(&before, &after);
    }
    runs.print(nodes, domains);
}

fn main() {
    let mut args: Args = argh::from_env();
    if args.nodes.is_empty() {
        args.nodes = vec![2, 4, 8, 16];
    }
    if args.domains.is_empty() {
        args.domains = vec![1, 2];
    }
    println!(
        "Median (lowest–highest) of {} runs of {} s each, for each node and second.",
        args.runs, args.seconds
    );
    println!(
        "| nodes | domains | % of a core, mean of nodes | % of a core, busiest | MB resident, largest | threads | bytes/s sent, mean | bytes/s sent, most | bytes/s of control messages sent | messages/s sent | load average |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for &domains in &args.domains {
        for &nodes in args.nodes.iter().filter(|nodes| **nodes >= domains) {
            measure(&args, nodes, domains);
        }
    }
}
