//! Resident memory of the state of a node, each kind measured in a process of its own.

use std::fmt;
use std::process::Command;
use std::str::FromStr;

use shallottide::admission::Admission;

use crate::claims_fixture::ClaimsFixture;
use crate::config_fixture::ConfigFixture;
use crate::domain_fixture::{DomainFixture, DomainSize};
use crate::members_fixture::MembersFixture;
use crate::{ProcessUsage, RUNS, Spread};

/// Number of partitions that the claims are spread over.
const PARTITIONS: u64 = 32;

/// Kind of state that a node holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateKind {
    /// Records, each as the stored document and as the parsed record.
    Records,
    /// Other nodes, each with the load of one slot.
    Nodes,
    /// Upstreams of plain services, each with record, dispatcher, load and limit.
    Upstreams,
    /// VMs with engines in groups of four, with list entry, report, group, load and limit.
    Servers,
    /// Claims in partitions that this node writes. Includes the values stored by the platform
    /// stand-in, which runs in the same process.
    Claims,
}

impl StateKind {
    const ALL: [Self; 5] = [
        Self::Records,
        Self::Nodes,
        Self::Upstreams,
        Self::Servers,
        Self::Claims,
    ];

    /// Returns the lower of the two numbers of items that are compared.
    fn lower_count(self) -> u32 {
        match self {
            Self::Records => 3_000,
            Self::Nodes => 420,
            Self::Upstreams | Self::Servers => 1_600,
            Self::Claims => 12_800,
        }
    }
}

impl fmt::Display for StateKind {
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

impl FromStr for StateKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or_else(|| {
            format!(
                "unknown kind of state {text:?}: must be one of {:?}",
                Self::ALL
            )
        })
    }
}

/// Creates `count` items of this kind and returns the resident bytes of this process.
///
/// # Panics
/// If fewer or more are in memory afterwards.
#[must_use]
pub fn resident_bytes_of(kind: StateKind, count: u32) -> u64 {
    match kind {
        StateKind::Records => {
            let records = ConfigFixture::new(count);
            let usage = resident_bytes();
            assert_eq!(records.in_force(), count as usize);
            usage
        }
        StateKind::Nodes => {
            let nodes = MembersFixture::new(count);
            let usage = resident_bytes();
            assert_eq!(nodes.alive_count(), count as usize + 1);
            usage
        }
        StateKind::Upstreams => resident_bytes_of_slots(0, count),
        StateKind::Servers => resident_bytes_of_slots(count, 0),
        StateKind::Claims => {
            let mut keys = ClaimsFixture::with_partitions(PARTITIONS);
            let claimed = keys.claim(count);
            let calls = claimed.len();
            drop(claimed);
            let usage = resident_bytes();
            keys.claim(1);
            assert_eq!(calls, count as usize);
            usage
        }
    }
}

fn resident_bytes_of_slots(servers: u32, upstreams: u32) -> u64 {
    let fixture = DomainFixture::new(DomainSize {
        nodes: 1,
        servers,
        upstreams,
    });
    let admission = fixture.admission();
    let usage = resident_bytes();
    let slots = servers / crate::domain_fixture::VMS_PER_GROUP + upstreams;
    assert_eq!(admission.loads(&fixture.cx).len(), slots as usize);
    usage
}

fn resident_bytes() -> u64 {
    ProcessUsage::own().resident_bytes
}

/// Prints the memory per item of each kind as a Markdown table. Starts this program as a new process
/// for each measurement.
pub fn print_all() {
    println!("| held | counts compared | bytes each: median (lowest–highest) |");
    println!("| --- | --- | --- |");
    for kind in StateKind::ALL {
        let count = kind.lower_count();
        let runs = (0..RUNS).map(|_| {
            let (lower, higher) = (
                measure_in_new_process(kind, count),
                measure_in_new_process(kind, 2 * count),
            );
            (higher - lower) / f64::from(count)
        });
        let spread = Spread::of(runs.collect());
        println!("| {kind} | {count}, {} | {spread:.0} |", 2 * count);
    }
}

fn measure_in_new_process(kind: StateKind, count: u32) -> f64 {
    let program = std::env::current_exe().expect("a path");
    let output = Command::new(program)
        .args(["--hold", &kind.to_string(), "--count", &count.to_string()])
        .output()
        .expect("this program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim().parse().unwrap_or_else(|_| {
        let errors = String::from_utf8_lossy(&output.stderr);
        panic!("{kind}: output is not a number of bytes: {errors}")
    })
}
