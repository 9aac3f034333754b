//! How long a node's lease runs: short for nodes with a duty, long for all others.
//!
//! Answers the load of hundreds of nodes that renew leases: a duty must move within two seconds of
//! its holder's death, but the entry of any other node may stay longer.

use std::time::Duration;

use crate::feed_tree::duty_rank;
use crate::options::NodeOptions;
use crate::view::ClusterView;

/// Lease time of nodes that have a duty or come next for one.
pub const DUTY_TTL: Duration = Duration::from_millis(1_800);
/// Lease time of all other nodes.
pub const PLAIN_TTL: Duration = Duration::from_secs(6);
/// Nodes of a failure domain that come next for its duty.
pub const DUTY_CANDIDATES: usize = 4;

/// Returns the lease time that a node needs now.
#[must_use]
pub fn lease_ttl(view: &ClusterView, options: &NodeOptions) -> Duration {
    let ttl = if has_duty(view, options) {
        DUTY_TTL
    } else {
        PLAIN_TTL
    };
    ttl.max(options.min_lease)
}

/// Returns whether a lease is short enough to claim a duty under it.
#[must_use]
pub fn may_claim_under(ttl: Duration, options: &NodeOptions) -> bool {
    ttl <= longest_claim_ttl(options)
}

/// Returns the longest lease under which a node claims a duty.
#[must_use]
pub fn longest_claim_ttl(options: &NodeOptions) -> Duration {
    DUTY_TTL.max(options.min_lease)
}

/// Returns whether a lease that was granted for `granted` serves where `needed` is asked for.
#[must_use]
pub fn fits(granted: Duration, needed: Duration, options: &NodeOptions) -> bool {
    may_claim_under(granted, options) == may_claim_under(needed, options)
}

fn has_duty(view: &ClusterView, options: &NodeOptions) -> bool {
    let domain = &options.domain;
    let own = duty_rank(domain, &options.node, options.capacity);
    let ahead = view
        .nodes
        .iter()
        .filter(|(_, entry)| entry.domain == *domain)
        .filter(|(id, entry)| duty_rank(domain, id, entry.capacity) < own);
    view.is_controller(&options.node) || ahead.count() < DUTY_CANDIDATES
}
