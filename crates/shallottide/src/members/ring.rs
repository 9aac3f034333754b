//! Rankings of nodes that all nodes compute equally without communication.

use shallottide_types::id::NodeId;
use shallottide_types::peer::{NodeInfo, NodeTag, Slot, SlotTag};

/// Returns a node's rank for a purpose, by rendezvous hashing; the lowest rank has the role.
#[must_use]
pub fn rank(purpose: &str, node: &NodeId) -> u64 {
    hash(&[purpose, node.as_str()])
}

/// Returns the nodes with the lowest ranks for a purpose, at most `count`.
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

/// Returns the other nodes in ring order, starting after `me`.
#[must_use]
pub fn ring_after<'a>(
    me: &NodeId,
    nodes: impl IntoIterator<Item = &'a NodeInfo>,
) -> Vec<&'a NodeInfo> {
    const PURPOSE: &str = "ring";
    let own_position = (rank(PURPOSE, me), me);
    let mut ring: Vec<_> = nodes
        .into_iter()
        .filter(|info| info.node != *me)
        .map(|info| ((rank(PURPOSE, &info.node), &info.node), info))
        .collect();
    ring.sort_unstable_by_key(|(position, _)| (*position < own_position, *position));
    ring.into_iter().map(|(_, info)| info).collect()
}

/// Returns the short hash of a node and its incarnation.
#[must_use]
pub fn node_tag(info: &NodeInfo) -> NodeTag {
    let incarnation = info.incarnation.to_string();
    NodeTag(truncate(hash(&["node", info.node.as_str(), &incarnation])))
}

/// Returns the short hash of a slot.
#[must_use]
pub fn slot_tag(slot: &Slot) -> SlotTag {
    SlotTag(truncate(match slot {
        Slot::Group(group) => hash(&["group", group.as_str()]),
        Slot::Service(upstream) => hash(&["service", upstream.as_str()]),
    }))
}

/// Hashes texts equally on all nodes and in all releases: FNV-1a, then the finalizer of
/// `SplitMix64` to spread similar ids. Not cryptographic; nothing secret depends on it.
fn hash(parts: &[&str]) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = FNV_OFFSET;
    for part in parts {
        // Ids contain no zero byte, so different lists of parts never give the same input.
        for byte in part.bytes().chain([0]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

fn truncate(hash: u64) -> [u8; 3] {
    let [a, b, c, ..] = hash.to_be_bytes();
    [a, b, c]
}
