//! Plans groups for a small rack, as a controller does: `cargo run -p shallottide_fleet --example
//! plan_groups`

use shallottide_fleet::groups::{Candidate, Standing, choose_groups};

fn main() {
    let id = |text: &str| text.parse().expect("a valid id");
    let mut free: Vec<Candidate> = (0..10)
        .map(|number| Candidate {
            upstream: format!("vm-{number}").parse().expect("a valid id"),
            fabric: "rack-1".parse().expect("a valid id"),
            loaded: None,
            staged: vec![id("large"), id("small")],
        })
        .collect();
    let standing = |model: &str, size, weight| Standing {
        model: id(model),
        size,
        weight,
        has: 0,
    };
    let standings = [standing("large", 4, 0.5), standing("small", 2, 0.5)];
    for group in choose_groups(&standings, &free, false) {
        let members: Vec<_> = group.members.iter().map(ToString::to_string).collect();
        println!("{}: {}", group.model, members.join(", "));
        free.retain(|candidate| !group.members.contains(&candidate.upstream));
    }
    println!("left over: {}", free.len());
}
