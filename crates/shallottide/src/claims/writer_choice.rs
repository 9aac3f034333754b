//! Choice of a partition's preferred writer by rendezvous hashing.

use std::collections::BTreeMap;
use std::time::Instant;

use sha2::{Digest, Sha256};
use shallottide_types::id::NodeId;
use shallottide_types::peer::NodeInfo;

use crate::view::MemberView;

/// Returns the preferred writer of a partition among the nodes that are alive, not stopping and
/// not suspected. Nodes with the same view and suspects choose the same writer.
pub(super) fn preferred_writer<'a>(
    partition: u16,
    members: &'a MemberView,
    suspects: &BTreeMap<NodeId, Instant>,
) -> Option<&'a NodeInfo> {
    members
        .nodes
        .values()
        .filter(|node| node.alive && !node.info.stopping)
        .filter(|node| !suspects.contains_key(&node.info.node))
        .map(|node| &node.info)
        .max_by_key(|info| score(partition, &info.node))
}

fn score(partition: u16, node: &NodeId) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(partition.to_be_bytes());
    hasher.update(node.as_str().as_bytes());
    hasher.finalize().into()
}
