//! How often a node asks the store for changes.

use std::time::Duration;

/// Pause of a steward, and of every node of a small deployment; gathers the upstreams' heartbeats.
const SHORTEST: Duration = Duration::from_millis(350);
/// Longest pause; well inside the two seconds in which changes have to be in force.
const LONGEST: Duration = Duration::from_millis(900);
/// Nodes up to which all pause as shortly as a steward.
const FEW_NODES: f64 = 8.0;
/// Part of the store's reads that following it may take, over all nodes.
const READ_PART: f64 = 0.25;

/// Returns the pause between two calls for changes.
///
/// `reads` are the calls per second that the store allows all nodes together.
#[must_use]
pub fn watch_pause(nodes: usize, reads: u32, is_controller: bool) -> Duration {
    let nodes = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
    let allowed = nodes / (f64::from(reads.max(1)) * READ_PART);
    let calm = if is_controller {
        SHORTEST
    } else {
        SHORTEST.mul_f64((nodes / FEW_NODES).max(1.0)).min(LONGEST)
    };
    calm.max(Duration::from_secs_f64(allowed))
}
