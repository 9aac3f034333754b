//! Formation and recovery of groups under faults.

mod group_support;

use std::time::Duration;

use group_support::{Bench, model, vms};
use shallottide_types::record::Record;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Two groups of four VMs, with spares in the first fabric domain.
fn started() -> Bench {
    let records = vec![Record::Model(model("tide", 4, 2, 1))];
    let mut bench = Bench::new(3, vms(&[("rack-a", 6), ("rack-b", 4)]), records);
    bench.run(secs(10));
    bench
}

#[test]
fn groups_form_and_serve() {
    let bench = started();
    assert_eq!(bench.serving(), 2);
}
