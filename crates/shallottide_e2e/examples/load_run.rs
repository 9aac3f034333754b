//! Starts a cluster of processes, runs `shallottide-load` against it and prints its report.
//!
//! `cargo build --release --workspace --bins`, then
//! `cargo run --release -p shallottide_e2e --example load_run -- --rate 200 --seconds 30`

use std::path::PathBuf;
use std::process::{Command, ExitCode};

use argh::FromArgs;
use shallottide_e2e::{ClusterOptions, ProcessCluster};

/// Runs load against a cluster of processes.
#[derive(FromArgs)]
struct Args {
    /// arriving calls per second
    #[argh(option, default = "200")]
    rate: u32,
    /// seconds for which calls arrive
    #[argh(option, default = "30")]
    seconds: u32,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// entry nodes
    #[argh(option, default = "2")]
    nodes: usize,
    /// number of engines
    #[argh(option, default = "8")]
    engines: usize,
    /// tokens of each completion
    #[argh(option, default = "16")]
    max_tokens: u32,
    /// seconds of the same load before the one that is reported; 0 starts cold
    #[argh(option, default = "10")]
    warm_up: u32,
    /// print each node's view of loads and limits at the end
    #[argh(switch)]
    status: bool,
    /// report as JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let dir = PathBuf::from("target/load_run");
    let cluster = ProcessCluster::start(ClusterOptions {
        nodes: args.nodes,
        engines: args.engines,
        ..ClusterOptions::new(dir)
    });
    cluster.wait_until_serving();
    if args.warm_up > 0 {
        let warm_up = load_command(&args, &cluster, args.seed + 1, args.warm_up).output();
        warm_up.expect("shallottide-load is built");
    }
    let status = load_command(&args, &cluster, args.seed, args.seconds).status();
    let status = status.expect("shallottide-load is built");
    if args.status {
        for node in &cluster.nodes {
            let status = cluster.status(node).unwrap_or_default();
            println!("{}: {}", status["node"], status["loads"]);
        }
    }
    ExitCode::from(u8::try_from(status.code().unwrap_or(1)).unwrap_or(1))
}

fn load_command(args: &Args, cluster: &ProcessCluster, seed: u64, seconds: u32) -> Command {
    let mut command = cluster.load_command();
    let mut add = |name: &str, value: String| {
        command.arg(format!("--{name}")).arg(value);
    };
    add("rate", args.rate.to_string());
    add("seconds", seconds.to_string());
    add("seed", seed.to_string());
    add("max-tokens", args.max_tokens.to_string());
    if args.json {
        command.arg("--json");
    }
    command
}
