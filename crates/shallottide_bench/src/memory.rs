//! Resident memory by what a node holds, each measured in a process of its own.

use std::fmt;
use std::process::Command;
use std::str::FromStr;

use shallottide::admission::Admission;

use crate::claimed_keys::ClaimedKeys;
use crate::held_nodes::HeldNodes;
use crate::held_records::HeldRecords;
use crate::world::{World, WorldSize};
use crate::{ProcessUsage, RUNS, Spread};

/// Partitions that claims fall into.
const PARTITIONS: u64 = 32;

/// What a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// Records as stored and in their newest form.
    Records,
    /// Other nodes, each with a load.
    Nodes,
    /// Upstreams of plain services: record, dispatcher, load and limit.
    Upstreams,
    /// VMs with engines, four to a group: list entry, report, group, load and limit.
    Servers,
    /// Claims whose partitions this node writes; the stand-in's stored value counts, too.
    Claims,
}

impl Held {
    const ALL: [Self; 5] = [
        Self::Records,
        Self::Nodes,
        Self::Upstreams,
        Self::Servers,
        Self::Claims,
    ];

    /// The lower of the two counts that are compared.
    fn count(self) -> u32 {
        match self {
            Self::Records => 3_000,
            Self::Nodes => 420,
            Self::Upstreams | Self::Servers => 1_600,
            Self::Claims => 12_800,
        }
    }
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Records => "records",
            Self::Nodes => "nodes",
            Self::Upstreams => "upstreams",
            Self::Servers => "servers",
            Self::Claims => "claims",
        })
    }
}

impl FromStr for Held {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|held| held.to_string() == text);
        found.ok_or_else(|| format!("{text} is not held: name one of {:?}", Self::ALL))
    }
}

/// Holds so many and returns the resident bytes of this process.
///
/// # Panics
/// If not all are held.
#[must_use]
pub fn hold(held: Held, count: u32) -> u64 {
    match held {
        Held::Records => {
            let records = HeldRecords::new(count);
            let usage = resident();
            assert_eq!(records.in_force(), count as usize);
            usage
        }
        Held::Nodes => {
            let nodes = HeldNodes::new(count);
            let usage = resident();
            assert_eq!(nodes.alive(), count as usize + 1);
            usage
        }
        Held::Upstreams => hold_world(0, count),
        Held::Servers => hold_world(count, 0),
        Held::Claims => {
            let mut keys = ClaimedKeys::over(PARTITIONS);
            let claimed = keys.claim(count);
            let calls = claimed.len();
            drop(claimed);
            let usage = resident();
            keys.claim(1);
            assert_eq!(calls, count as usize);
            usage
        }
    }
}

fn hold_world(servers: u32, upstreams: u32) -> u64 {
    let world = World::new(WorldSize {
        nodes: 1,
        servers,
        upstreams,
    });
    let admission = world.admission();
    let usage = resident();
    let slots = servers / crate::world::VMS_PER_GROUP + upstreams;
    assert_eq!(admission.loads(&world.cx).len(), slots as usize);
    usage
}

fn resident() -> u64 {
    ProcessUsage::own().resident_bytes
}

/// Prints the memory of each as a table in Markdown; starts this program anew for each count.
pub fn print_all() {
    println!("| held | counts compared | bytes each: median (lowest–highest) |");
    println!("| --- | --- | --- |");
    for held in Held::ALL {
        let count = held.count();
        let runs = (0..RUNS).map(|_| {
            let (one, two) = (in_own_process(held, count), in_own_process(held, 2 * count));
            (two - one) / f64::from(count)
        });
        let spread = Spread::of(runs.collect());
        println!("| {held} | {count}, {} | {spread:.0} |", 2 * count);
    }
}

fn in_own_process(held: Held, count: u32) -> f64 {
    let program = std::env::current_exe().expect("a path");
    let output = Command::new(program)
        .args(["--hold", &held.to_string(), "--count", &count.to_string()])
        .output()
        .expect("this program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().unwrap_or_else(|_| {
        let errors = String::from_utf8_lossy(&output.stderr);
        panic!("{held}: no number of bytes: {errors}")
    })
}
