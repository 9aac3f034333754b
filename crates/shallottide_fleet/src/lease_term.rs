//! How long a node's lease runs: short for nodes with a duty, long for all others.
//!
//! Answers the load of hundreds of nodes that renew leases: a duty must move within two seconds of
//! its holder's death, but the entry of any other node may stay longer.

use std::time::Duration;

use crate::adapter::Lease;
use crate::feed_tree::duty_rank;
use crate::options::NodeOptions;
use crate::view::ClusterView;

/// Lease time of nodes that have a duty or come next for one.
pub const DUTY_TTL: Duration = Duration::from_millis(1_800);
/// Lease time of all other nodes.
pub const PLAIN_TTL: Duration = Duration::from_secs(6);
/// Nodes of a failure domain that come next for its duty.
pub const DUTY_CANDIDATES: usize = 4;
/// Renewals in the time for which the holder relies on its lease.
const RENEWALS_PER_TERM: u32 = 4;
/// Shortest time between two renewals, whatever the store grants.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

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

/// Returns whether a lease that is asked for this time is one under which to claim a duty.
///
/// The time that was granted does not matter: a longer lease delays the takeover of a dead node's duties, but
/// without any claim a domain has no controller.
#[must_use]
pub fn is_duty_term(asked: Duration, options: &NodeOptions) -> bool {
    asked <= longest_claim_term(options)
}

/// Returns the longest time for which a node acts on a claim after a renewal of its lease, whatever the
/// store granted.
#[must_use]
pub fn longest_claim_term(options: &NodeOptions) -> Duration {
    DUTY_TTL.max(options.min_lease)
}

/// Returns whether a lease serves where one is needed for `needed`.
///
/// Compares what was asked for: a store that grants another time would do so again.
#[must_use]
pub fn fits(lease: &Lease, needed: Duration, options: &NodeOptions) -> bool {
    is_duty_term(lease.asked, options) == is_duty_term(needed, options)
}

/// Returns the time between two renewals of a lease.
#[must_use]
pub fn renewal_interval(lease: &Lease) -> Duration {
    (lease.term() / RENEWALS_PER_TERM).max(MIN_RENEWAL_INTERVAL)
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
