//! Pause between two calls to the store for changes.

use std::time::Duration;

/// Pause of a controller, and of every node of a small deployment; batches the upstreams'
/// heartbeats.
const MIN_PAUSE: Duration = Duration::from_millis(350);
/// Longest pause; well within the two seconds in which changes must take effect.
const MAX_PAUSE: Duration = Duration::from_millis(900);
/// Number of nodes up to which all nodes use the pause of a controller.
const SMALL_DEPLOYMENT_NODES: f64 = 8.0;
/// Fraction of the store's allowed reads that calls for changes may use, over all nodes.
const READ_FRACTION: f64 = 0.25;

/// Returns the pause between two calls for changes.
/// `reads` are the calls per second that the store allows, over all nodes.
#[must_use]
pub fn watch_pause(nodes: usize, reads: u32, is_controller: bool) -> Duration {
    let nodes = f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
    let min_allowed = nodes / (f64::from(reads.max(1)) * READ_FRACTION);
    let unthrottled = if is_controller {
        MIN_PAUSE
    } else {
        MIN_PAUSE
            .mul_f64((nodes / SMALL_DEPLOYMENT_NODES).max(1.0))
            .min(MAX_PAUSE)
    };
    unthrottled.max(Duration::from_secs_f64(min_allowed))
}
