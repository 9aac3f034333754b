//! Measures how the cost of decisions and state grows with a fleet, and prints Markdown tables. Run
//! with `cargo run --release -p shallottide_bench`.

use argh::FromArgs;
use shallottide_bench::memory::{self, StateKind};
use shallottide_bench::{decisions, load_average};

/// Measures how the cost of decisions and state grows with a fleet.
#[derive(FromArgs)]
struct Args {
    /// create only this state and print the resident bytes of the process: records, nodes,
    /// upstreams, servers or claims
    #[argh(option)]
    hold: Option<StateKind>,
    /// number of items to create with --hold
    #[argh(option, default = "1000")]
    count: u32,
}

fn main() {
    let args: Args = argh::from_env();
    if let Some(kind) = args.hold {
        println!("{}", memory::resident_bytes_of(kind, args.count));
        return;
    }
    println!("Load average {:.1}.\n", load_average());
    decisions::print_all();
    println!();
    memory::print_all();
    println!("\nLoad average {:.1}.", load_average());
}
