//! Time to apply a changed record.

use crate::TimingTable;
use crate::config_fixture::ConfigFixture;

/// Measured numbers of records in force.
const RECORDS: [u32; 5] = [100, 400, 1_000, 2_000, 3_000];

pub(super) fn print() {
    let mut table = TimingTable::default();
    for records in RECORDS {
        let mut fixture = ConfigFixture::new(records);
        table.measure("apply one change, by records", records, || {
            fixture.apply_change()
        });
    }
    table.print_slope("apply one change, by records");
}
