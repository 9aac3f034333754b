//! Spreads the dispatching of groups and upstreams over the nodes.

use std::collections::BTreeMap;

use shallottide_types::id::{NodeId, UpstreamId};
use shallottide_types::placement::Placement;

use super::PlanInput;
use crate::groups::rendezvous;

/// Gives each slot a dispatcher. One that is alive keeps its slots, but for at most one slot
/// per plan that moves away from the busiest node.
pub(super) fn assign_dispatchers(input: &PlanInput<'_>, next: &mut Placement) {
    if input.nodes.is_empty() {
        keep_services(input, next);
        return;
    }
    let mut loads = Loads::new(input.nodes);
    let mut orphans = Vec::new();
    let previous = input.previous;
    for (id, group) in &next.groups {
        let known = previous.groups.contains_key(id);
        if !(known && loads.add(&group.dispatcher)) {
            orphans.push(id.clone());
        }
    }
    let mut homeless: Vec<&UpstreamId> = Vec::new();
    for upstream in input.upstreams {
        let kept = previous.services.get(upstream);
        match kept.filter(|node| loads.add(node)) {
            Some(node) => drop(next.services.insert(upstream.clone(), node.clone())),
            None => homeless.push(upstream),
        }
    }
    for id in orphans {
        let node = loads.take_least(id.as_str());
        next.groups.entry(id).and_modify(|g| g.dispatcher = node);
    }
    for upstream in homeless {
        let node = loads.take_least(upstream.as_str());
        next.services.insert(upstream.clone(), node);
    }
    move_one(input, next, &loads);
}

fn keep_services(input: &PlanInput<'_>, next: &mut Placement) {
    let previous = input.previous.services.iter();
    let kept = previous.filter(|(upstream, _)| input.upstreams.contains(*upstream));
    next.services = kept.map(|(u, node)| (u.clone(), node.clone())).collect();
}

/// Moves one slot from the busiest to the least busy node when they differ too much.
fn move_one(input: &PlanInput<'_>, next: &mut Placement, loads: &Loads) {
    let (Some((busiest, most)), Some((idlest, least))) = (loads.most(), loads.least("")) else {
        return;
    };
    if most <= least + input.max_imbalance {
        return;
    }
    let mut groups = next.groups.values_mut();
    if let Some(group) = groups.find(|group| group.dispatcher == busiest) {
        group.dispatcher = idlest;
        return;
    }
    let mut services = next.services.values_mut();
    if let Some(node) = services.find(|node| **node == busiest) {
        *node = idlest;
    }
}

/// Slots of each node.
struct Loads(BTreeMap<NodeId, usize>);

impl Loads {
    fn new(nodes: &[NodeId]) -> Self {
        Self(nodes.iter().map(|node| (node.clone(), 0)).collect())
    }

    /// Counts one slot for a node; `false` when the node may not dispatch.
    fn add(&mut self, node: &NodeId) -> bool {
        self.0.get_mut(node).map(|count| *count += 1).is_some()
    }

    /// Returns the node with the fewest slots; a slot's name decides between equals.
    fn least(&self, name: &str) -> Option<(NodeId, usize)> {
        let key = rendezvous::hash(name);
        let order = |(node, count): &(&NodeId, &usize)| {
            (**count, u64::MAX - rendezvous::weight(key, node.as_str()))
        };
        let (node, count) = self.0.iter().min_by_key(order)?;
        Some((node.clone(), *count))
    }

    fn most(&self) -> Option<(NodeId, usize)> {
        let (node, count) = self.0.iter().max_by_key(|(_, count)| **count)?;
        Some((node.clone(), *count))
    }

    fn take_least(&mut self, name: &str) -> NodeId {
        let (node, _) = self.least(name).expect("nodes are not empty");
        self.add(&node);
        node
    }
}
