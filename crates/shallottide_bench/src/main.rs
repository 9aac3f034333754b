//! Measures what decisions and state cost as a fleet grows, and prints tables in Markdown:
//! `cargo run --release -p shallottide_bench`.

use argh::FromArgs;
use shallottide_bench::memory::{self, Held};
use shallottide_bench::{decisions, load_average};

/// Measures what decisions and state cost as a fleet grows.
#[derive(FromArgs)]
struct Args {
    /// only hold this and print the resident bytes: records, nodes, upstreams, servers or claims
    #[argh(option)]
    hold: Option<Held>,
    /// how many to hold
    #[argh(option, default = "1000")]
    count: u32,
}

fn main() {
    let args: Args = argh::from_env();
    if let Some(held) = args.hold {
        println!("{}", memory::hold(held, args.count));
        return;
    }
    println!("Load average {:.1}.\n", load_average());
    decisions::print_all();
    println!();
    memory::print_all();
    println!("\nLoad average {:.1}.", load_average());
}
