//! Tree over which the nodes of a failure domain get the changes of the store.
//!
//! Answers the load of many nodes that all need each change: one node reads the store, and none
//! serves more than [`FAN_OUT`] others. All nodes work out the same tree from their views.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::rendezvous;

use crate::node_entry::NodeEntry;
use crate::view::ClusterView;

/// Nodes that follow one node at most, as long as all views agree.
pub const FAN_OUT: usize = 8;
/// Time for which a node that did not answer is not followed.
const AVOIDANCE: Duration = Duration::from_secs(3);
/// Age of the store's data at which a node that follows the root reads the store itself, as a
/// fraction of the time in which changes must take effect.
const MAX_AGE_FRACTION: f64 = 0.5;
/// What each further level adds to that fraction, so that the upper levels read first.
const MAX_AGE_PER_LEVEL: f64 = 0.12;
/// Levels that add to the fraction.
const MAX_AGE_LEVELS: u32 = 3;

/// Orders nodes for a duty of a domain: those with the most capacity first, then by rendezvous hash.
#[must_use]
pub fn duty_rank(domain: &DomainId, node: &NodeId, capacity: u32) -> (Reverse<u32>, Reverse<u64>) {
    let key = rendezvous::hash(domain.as_str());
    (
        Reverse(capacity),
        Reverse(rendezvous::weight(key, node.as_str())),
    )
}

/// A node's place below the node that it follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// The node to follow.
    pub node: NodeId,
    /// Number of nodes from there to the root, which has level 1.
    pub level: u32,
}

/// Returns the node that `own` follows in the tree of a domain whose controller is the root.
///
/// `None` if the domain has no controller, or if `own` is the controller.
#[must_use]
pub fn parent(view: &ClusterView, domain: &DomainId, own: &NodeId) -> Option<Parent> {
    let root = &view.controllers.get(domain)?.holder;
    if root == own || !view.nodes.contains_key(root) {
        return None;
    }
    let is_below = |(id, entry): &(&NodeId, &NodeEntry)| entry.domain == *domain && *id != root;
    let mut order: Vec<_> = view.nodes.iter().filter(is_below).collect();
    order.sort_by_key(|(id, entry)| duty_rank(domain, id, entry.capacity));
    // A node that has lost its entry follows the root; few do at a time.
    let position = order.iter().position(|(id, _)| *id == own);
    // Index in the tree, in which the root is 0 and the others follow in their order.
    let mut ancestor = position.map_or(0, |position| position / FAN_OUT);
    let node = match ancestor {
        0 => root.clone(),
        index => order[index - 1].0.clone(),
    };
    let mut level = 1;
    while ancestor > 0 {
        ancestor = (ancestor - 1) / FAN_OUT;
        level += 1;
    }
    Some(Parent { node, level })
}

/// Decides which node to follow, and when to read the store instead.
#[derive(Debug, Clone, Default)]
pub struct FollowPolicy {
    avoided: BTreeMap<NodeId, Instant>,
}

impl FollowPolicy {
    /// Returns the node to follow, or `None` if this node reads the store itself.
    ///
    /// A node whose parent failed follows the root. A controller of any domain reads the store, as
    /// the tree leaves out the heartbeats of its engines.
    #[must_use]
    pub fn source(
        &self,
        view: &ClusterView,
        domain: &DomainId,
        own: &NodeId,
        now: Instant,
    ) -> Option<Parent> {
        if view.is_controller(own) {
            return None;
        }
        let is_avoided = |node: &NodeId| self.avoided.get(node).is_some_and(|until| now < *until);
        let parent = parent(view, domain, own)?;
        if !is_avoided(&parent.node) {
            return Some(parent);
        }
        let root = view.controllers.get(domain)?.holder.clone();
        (!is_avoided(&root)).then_some(Parent {
            node: root,
            level: 1,
        })
    }

    /// Records that a node did not answer or had old data; `jitter` is a factor near 1.
    pub fn record_failure(&mut self, node: NodeId, jitter: f64, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(node, now + AVOIDANCE.mul_f64(jitter));
    }
}

/// Returns the age of the store's data at which a follower of a node at `level` reads the store.
#[must_use]
pub fn max_store_age(apply_bound: Duration, level: u32) -> Duration {
    let extra = f64::from(level.saturating_sub(1).min(MAX_AGE_LEVELS)) * MAX_AGE_PER_LEVEL;
    apply_bound.mul_f64(MAX_AGE_FRACTION + extra)
}
