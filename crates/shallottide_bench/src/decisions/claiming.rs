//! Claiming keys of one partition, platform calls included but not their way.

use crate::Stopwatch;
use crate::claimed_keys::ClaimedKeys;

/// Claims that the partition holds already.
const CLAIMS: [u32; 4] = [100, 400, 800, 1_600];

/// Claims that share one write.
const BATCH: u32 = 16;

pub(super) fn print() {
    for batch in [1, BATCH] {
        let what = format!("claim {batch} keys in one write, by claims held");
        let mut watch = Stopwatch::default();
        for claims in CLAIMS {
            let mut keys = ClaimedKeys::new();
            keys.claim(claims);
            watch.time(&what, claims, || keys.claim_and_free(batch));
        }
        watch.finish(&what);
    }
}
