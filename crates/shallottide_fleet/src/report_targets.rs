//! Chooses the nodes that get a load report.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use shallottide_types::id::{NodeId, UpstreamId};

use crate::view::ClusterView;

/// Number of peers, chosen at random, that receive each report.
pub const REPORT_FANOUT: usize = 8;

/// Nodes up to which each hears nearly all others within the time for which a report counts, so that their
/// counts of requests are complete.
pub const MAX_DIRECT_NODES: usize = 3 * REPORT_FANOUT;

/// Returns the peer interfaces of random nodes, and of the controllers that must act on `suspects`.
///
/// With hundreds of nodes, a controller would hear of a suspected group head by chance only.
pub fn report_targets<'a>(
    view: &ClusterView,
    own: &NodeId,
    suspects: impl Iterator<Item = &'a UpstreamId>,
    rng: &mut impl Rng,
) -> BTreeSet<SocketAddr> {
    let suspected = suspects.filter_map(|id| view.upstreams.get(id));
    let domains: BTreeSet<_> = suspected.map(|known| &known.upstream.domain).collect();
    let claims = domains
        .iter()
        .filter_map(|domain| view.controllers.get(*domain));
    let controllers = claims.map(|claim| &claim.holder);
    let others = view.nodes.keys().filter(|id| *id != own);
    let random = others.sample(rng, REPORT_FANOUT);
    let targets = random
        .into_iter()
        .chain(controllers.filter(|id| *id != own));
    let entries = targets.filter_map(|id| view.nodes.get(id));
    entries.map(|entry| entry.peers).collect()
}
