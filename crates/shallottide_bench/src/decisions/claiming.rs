//! Time to claim keys of one partition, including the platform's work but not the network.

use crate::TimingTable;
use crate::claims_fixture::ClaimsFixture;

/// Measured numbers of claims that the partition holds before.
const CLAIMS: [u32; 4] = [100, 400, 800, 1_600];

/// Number of claims that share one write.
const BATCH: u32 = 16;

pub(super) fn print() {
    for batch in [1, BATCH] {
        let label = format!("claim {batch} keys in one write, by claims held");
        let mut table = TimingTable::default();
        for claims in CLAIMS {
            let mut fixture = ClaimsFixture::new();
            fixture.claim(claims);
            table.measure(&label, claims, || fixture.claim_and_release(batch));
        }
        table.print_slope(&label);
    }
}
