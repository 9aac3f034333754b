//! Time per decision.

mod admitting;
mod applying;
mod claiming;
mod heartbeats;
mod planning;
mod routing;

/// Measured numbers of nodes of a failure domain.
const NODES: [u32; 4] = [8, 21, 42, 84];

/// Measured numbers of servers of a failure domain.
const SERVERS: [u32; 4] = [20, 40, 80, 160];

/// Prints the times of all decisions as a Markdown table.
pub fn print_all() {
    println!("| decision | size | microseconds each: median (lowest–highest) |");
    println!("| --- | --- | --- |");
    routing::print();
    admitting::print();
    claiming::print();
    applying::print();
    heartbeats::print();
    planning::print();
}
