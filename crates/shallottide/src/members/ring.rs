//! Orders of nodes that all nodes agree on without talking.

use sha2::{Digest, Sha256};
use shallottide_types::id::NodeId;
use shallottide_types::peer::{NodeInfo, NodeTag, Slot, SlotTag};

/// Returns a node's rank for a purpose: whoever ranks lowest has the role (rendezvous hashing).
#[must_use]
pub fn rank(purpose: &str, node: &NodeId) -> u64 {
    hash(&[purpose, node.as_str()])
}

/// Returns the nodes that rank first for a purpose, at most `count`.
#[must_use]
pub fn first_ranked<'a>(
    purpose: &str,
    nodes: impl IntoIterator<Item = &'a NodeId>,
    count: usize,
) -> Vec<&'a NodeId> {
    let mut ranked: Vec<_> = nodes
        .into_iter()
        .map(|node| (rank(purpose, node), node))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, node)| node)
        .collect()
}

/// Returns the other nodes in ring order, beginning behind `me`.
#[must_use]
pub fn ring_after<'a>(
    me: &NodeId,
    nodes: impl IntoIterator<Item = &'a NodeInfo>,
) -> Vec<&'a NodeInfo> {
    const PURPOSE: &str = "ring";
    let mine = (rank(PURPOSE, me), me);
    let mut ring: Vec<_> = nodes
        .into_iter()
        .filter(|info| info.node != *me)
        .map(|info| ((rank(PURPOSE, &info.node), &info.node), info))
        .collect();
    ring.sort_unstable_by_key(|(place, _)| (*place < mine, *place));
    ring.into_iter().map(|(_, info)| info).collect()
}

/// Returns the short hash of a node and its incarnation.
#[must_use]
pub fn node_tag(info: &NodeInfo) -> NodeTag {
    let incarnation = info.incarnation.to_string();
    NodeTag(short(hash(&["node", info.node.as_str(), &incarnation])))
}

/// Returns the short hash of a slot.
#[must_use]
pub fn slot_tag(slot: &Slot) -> SlotTag {
    SlotTag(short(match slot {
        Slot::Group(group) => hash(&["group", group.as_str()]),
        Slot::Service(upstream) => hash(&["service", upstream.as_str()]),
    }))
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        // Ids hold no zero byte, so that different parts never give the same input.
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    let first = digest.first_chunk().expect("a SHA-256 digest has 32 bytes");
    u64::from_be_bytes(*first)
}

fn short(hash: u64) -> u32 {
    u32::try_from(hash >> 32).expect("the upper half has 32 bits")
}
