//! Balances the dispatching of groups and upstreams over the nodes.

use std::collections::BTreeMap;

use shallottide_types::id::{NodeId, UpstreamId};
use shallottide_types::placement::Placement;

use super::PlanInput;
use crate::groups::rendezvous;

/// Assigns a dispatcher to each slot.
///
/// An alive dispatcher keeps its slots, except that each plan may move one slot away from the
/// node with the most slots.
pub(super) fn assign_dispatchers(input: &PlanInput<'_>, next: &mut Placement) {
    if input.nodes.is_empty() {
        keep_services(input, next);
        return;
    }
    let mut slot_counts = SlotCounts::new(input.nodes);
    let mut unassigned_groups = Vec::new();
    let previous = input.previous;
    for (id, group) in &next.groups {
        let known = previous.groups.contains_key(id);
        if !(known && slot_counts.add(&group.dispatcher)) {
            unassigned_groups.push(id.clone());
        }
    }
    let mut unassigned_upstreams: Vec<&UpstreamId> = Vec::new();
    for upstream in input.upstreams {
        let kept = previous.services.get(upstream);
        match kept.filter(|node| slot_counts.add(node)) {
            Some(node) => drop(next.services.insert(upstream.clone(), node.clone())),
            None => unassigned_upstreams.push(upstream),
        }
    }
    for id in unassigned_groups {
        let node = slot_counts.assign_least_loaded(id.as_str());
        next.groups.entry(id).and_modify(|g| g.dispatcher = node);
    }
    for upstream in unassigned_upstreams {
        let node = slot_counts.assign_least_loaded(upstream.as_str());
        next.services.insert(upstream.clone(), node);
    }
    rebalance_one(input, next, &slot_counts);
}

fn keep_services(input: &PlanInput<'_>, next: &mut Placement) {
    let previous = input.previous.services.iter();
    let kept = previous.filter(|(upstream, _)| input.upstreams.contains(*upstream));
    next.services = kept.map(|(u, node)| (u.clone(), node.clone())).collect();
}

/// Moves one slot from the node with the most slots to the one with the fewest, if the difference
/// exceeds `max_imbalance`.
fn rebalance_one(input: &PlanInput<'_>, next: &mut Placement, slot_counts: &SlotCounts) {
    let (Some((busiest, most)), Some((least_busy, fewest))) =
        (slot_counts.most_loaded(), slot_counts.least_loaded(""))
    else {
        return;
    };
    if most <= fewest + input.max_imbalance {
        return;
    }
    let mut groups = next.groups.values_mut();
    if let Some(group) = groups.find(|group| group.dispatcher == busiest) {
        group.dispatcher = least_busy;
        return;
    }
    let mut services = next.services.values_mut();
    if let Some(node) = services.find(|node| **node == busiest) {
        *node = least_busy;
    }
}

/// Number of slots of each node.
struct SlotCounts(BTreeMap<NodeId, usize>);

impl SlotCounts {
    fn new(nodes: &[NodeId]) -> Self {
        Self(nodes.iter().map(|node| (node.clone(), 0)).collect())
    }

    /// Counts one slot for a node; returns `false` if the node may not dispatch.
    fn add(&mut self, node: &NodeId) -> bool {
        self.0.get_mut(node).map(|count| *count += 1).is_some()
    }

    /// Returns the node with the fewest slots; ties are broken by a hash of the slot's name.
    fn least_loaded(&self, name: &str) -> Option<(NodeId, usize)> {
        let key = rendezvous::hash(name);
        let order = |(node, count): &(&NodeId, &usize)| {
            (**count, u64::MAX - rendezvous::weight(key, node.as_str()))
        };
        let (node, count) = self.0.iter().min_by_key(order)?;
        Some((node.clone(), *count))
    }

    fn most_loaded(&self) -> Option<(NodeId, usize)> {
        let (node, count) = self.0.iter().max_by_key(|(_, count)| **count)?;
        Some((node.clone(), *count))
    }

    fn assign_least_loaded(&mut self, name: &str) -> NodeId {
        let (node, _) = self
            .least_loaded(name)
            .expect("the list of nodes is not empty");
        self.add(&node);
        node
    }
}
