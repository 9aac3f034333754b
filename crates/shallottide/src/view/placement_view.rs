//! Snapshot of the placements known to this node.

use std::collections::BTreeMap;

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::Slot;
use shallottide_types::placement::Placement;

/// Latest placement of each failure domain.
///
/// Invariant: each placement is the one with the highest fencing token seen.
#[derive(Debug, Clone, Default)]
pub struct PlacementView {
    /// Placements by failure domain; a domain without a known placement is absent.
    pub domains: BTreeMap<DomainId, Placement>,
}

impl PlacementView {
    /// Returns the only node that may dispatch to a slot of a failure domain, if one is assigned.
    #[must_use]
    pub fn dispatcher(&self, domain: &DomainId, slot: &Slot) -> Option<&NodeId> {
        let placement = self.domains.get(domain)?;
        match slot {
            Slot::Group(group) => placement.groups.get(group).map(|group| &group.dispatcher),
            Slot::Service(upstream) => placement.services.get(upstream),
        }
    }
}
