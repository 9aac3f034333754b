//! Work in progress.

fn main() {}
