//! Runs `shallottide-load` against a cluster of processes while faults are injected, and
//! prints one row for each fault.
//!
//! `cargo build --release --workspace --bins`, then
//! `cargo run --release -p shallottide_e2e --example fault_run -- --rate 100 --seconds 20`

mod fault_run_support;

use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use argh::FromArgs;
use fault_run_support::{FAULTS, Fault, FaultContext, Row, choose_faults, heading};
use serde_json::Value;
use shallottide_e2e::{ClusterOptions, ProcessCluster, listen_address};

/// Longest wait for a node to serve again after a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of bookings through each node after a fault.
const BOOKINGS_AFTER: u32 = 16;

/// Runs load against a cluster of processes while faults are injected.
#[derive(FromArgs)]
struct Args {
    /// arriving calls per second
    #[argh(option, default = "100")]
    rate: u32,
    /// seconds of load around each fault
    #[argh(option, default = "20")]
    seconds: u32,
    /// seconds of load before the fault
    #[argh(option, default = "3")]
    before: u64,
    /// seconds that the fault lasts
    #[argh(option, default = "8")]
    lasts: u64,
    /// seed of the load and of the choice of processes
    #[argh(option, default = "1")]
    seed: u64,
    /// only faults whose name contains this
    #[argh(option, default = "String::new()")]
    only: String,
    /// number of rounds with several simultaneous faults
    #[argh(option, default = "2")]
    together: u64,
    /// entry nodes
    #[argh(option, default = "6")]
    nodes: usize,
    /// failure domains
    #[argh(option, default = "3")]
    domains: usize,
    /// print which nodes each node counts as alive after each fault
    #[argh(switch)]
    views: bool,
    /// seconds to keep the cluster running afterwards
    #[argh(option, default = "0")]
    keep: u64,
    /// print the load tool's reports as JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let cluster = ProcessCluster::start(options(&args));
    cluster.wait_until_serving();
    let mut context = FaultContext::new(cluster, args.seed);
    let warm_up = load_command(&args, &context.cluster, 0, 10).output();
    warm_up.expect("shallottide-load is built");
    println!("{}", heading());
    let mut clean = true;
    let mut number = 0;
    let single = FAULTS.iter().map(|fault| vec![*fault]);
    let seed = args.seed;
    let concurrent = (0..args.together).map(|round| choose_faults(seed + round));
    for faults in single.chain(concurrent) {
        number += 1;
        let names: Vec<_> = faults.iter().map(|fault| fault.name).collect();
        let name = names.join(" + ");
        if name.contains(&args.only) {
            clean &= run(&args, &mut context, number, &name, &faults);
        }
    }
    if args.keep > 0 {
        for node in &context.cluster.nodes {
            println!(
                "kept: callers {} operators {}",
                node.callers, node.operators
            );
        }
        println!("platform {}", listen_address(&context.cluster.platform));
        sleep(Duration::from_secs(args.keep));
    }
    println!("seed {seed}, {} calls a second", args.rate);
    ExitCode::from(u8::from(!clean))
}

fn options(args: &Args) -> ClusterOptions {
    ClusterOptions {
        domains: args.domains,
        nodes: args.nodes,
        engines: args.domains * 6,
        vms_per_group: 2,
        groups_per_domain: 2,
        services: args.domains,
        ..ClusterOptions::new(PathBuf::from("target/fault_run"))
    }
}

/// Runs load while injecting faults, prints the row of results and returns whether it is clean.
fn run(args: &Args, context: &mut FaultContext, number: u64, name: &str, faults: &[Fault]) -> bool {
    context.unavailable_nodes.clear();
    let seed = args.seed * 1000 + number;
    let child = load_command(args, &context.cluster, seed, args.seconds);
    let child = spawn_load(child);
    sleep(Duration::from_secs(args.before));
    for fault in faults {
        (fault.begin)(context);
    }
    sleep(Duration::from_secs(args.lasts));
    for fault in faults {
        (fault.end)(context);
    }
    let report = report(child);
    if args.json {
        println!("{report}");
    }
    let mut row = Row::new(name, &report, &context.unavailable_addresses());
    row.notes.append(&mut context.notes);
    row.notes.extend(check_recovery(context));
    row.notes.extend(check_bookings(context, number));
    println!("{row}");
    if args.views {
        print_views(context);
    }
    row.is_clean()
}

fn spawn_load(mut command: Command) -> Child {
    command
        .stdout(Stdio::piped())
        .spawn()
        .expect("shallottide-load is built")
}

fn report(child: Child) -> Value {
    let output = child.wait_with_output().expect("a child");
    serde_json::from_slice(&output.stdout).expect("a report")
}

/// Returns the nodes that have exited or don't serve again after a fault has ended.
fn check_recovery(context: &mut FaultContext) -> Vec<String> {
    let mut notes = Vec::new();
    for (number, node) in context.cluster.nodes.iter_mut().enumerate() {
        if node.program.has_ended() {
            notes.push(format!("node-{number} has exited"));
            continue;
        }
        let start = Instant::now();
        let serves = || {
            let answer = node.caller().complete("after a fault", 2);
            answer.is_ok_and(|answer| answer.status == 200)
        };
        while !serves() {
            if start.elapsed() > RECOVERY_TIMEOUT {
                notes.push(format!("node-{number} does not serve"));
                break;
            }
            sleep(Duration::from_millis(100));
        }
    }
    notes
}

/// Makes bookings through each node after a fault and returns the nodes that refused some.
fn check_bookings(context: &FaultContext, number: u64) -> Vec<String> {
    let count_refused = |node: usize| {
        let caller = context.cluster.nodes[node].caller();
        let refused = (0..BOOKINGS_AFTER).filter(|booking| {
            let key = format!("after-{number}-{node}-{booking}");
            let answer = caller.book(&key, 1);
            !answer.is_ok_and(|answer| answer.status == 200)
        });
        refused.count()
    };
    thread::scope(|scope| {
        let nodes = 0..context.cluster.nodes.len();
        let threads: Vec<_> = nodes
            .map(|n| (n, scope.spawn(move || count_refused(n))))
            .collect();
        let counts = threads
            .into_iter()
            .map(|(n, t)| (n, t.join().expect("no panic")));
        counts
            .filter(|(_, refused)| *refused > 0)
            .map(|(n, refused)| {
                format!("node-{n} refused {refused} of {BOOKINGS_AFTER} bookings afterwards")
            })
            .collect()
    })
}

fn print_views(context: &FaultContext) {
    for (number, node) in context.cluster.nodes.iter().enumerate() {
        let status = context.cluster.status(node).unwrap_or_default();
        let nodes = status["nodes"].as_array().into_iter().flatten();
        let view: Vec<_> = nodes
            .map(|node| format!("{}:{}", node["node"], node["alive"]))
            .collect();
        println!("    node-{number} ({}): {}", node.domain, view.join(" "));
    }
}

fn load_command(args: &Args, cluster: &ProcessCluster, seed: u64, seconds: u32) -> Command {
    let mut command = cluster.load_command();
    let mut add = |name: &str, value: String| {
        command.arg(format!("--{name}")).arg(value);
    };
    add("mix", "40".into());
    add("repeat", "30".into());
    add("timeout", "20s".into());
    add("deadline", "15s".into());
    add("rate", args.rate.to_string());
    add("seconds", seconds.to_string());
    add("seed", seed.to_string());
    command.arg("--health-checks").arg("--json");
    command
}
