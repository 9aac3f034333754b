//! Putting a changed record in force.

use crate::Stopwatch;
use crate::held_records::HeldRecords;

/// Records in force.
const RECORDS: [u32; 5] = [100, 400, 1_000, 2_000, 3_000];

pub(super) fn print() {
    let mut watch = Stopwatch::default();
    for records in RECORDS {
        let mut records_held = HeldRecords::new(records);
        watch.time("apply one change, by records", records, || {
            records_held.change()
        });
    }
    watch.finish("apply one change, by records");
}
