//! The placements of all failure domains, as far as known here.

use std::collections::BTreeMap;

use shallottide_types::id::{DomainId, NodeId};
use shallottide_types::peer::Slot;
use shallottide_types::placement::Placement;

/// Placements by failure domain. Invariant: each is the one with the highest fence seen.
#[derive(Debug, Clone, Default)]
pub struct PlacementView {
    /// Placements by failure domain.
    pub domains: BTreeMap<DomainId, Placement>,
}

impl PlacementView {
    /// Returns the only node that may dispatch to a slot of a failure domain.
    #[must_use]
    pub fn dispatcher(&self, domain: &DomainId, slot: &Slot) -> Option<&NodeId> {
        let placement = self.domains.get(domain)?;
        match slot {
            Slot::Group(group) => placement.groups.get(group).map(|group| &group.dispatcher),
            Slot::Service(upstream) => placement.services.get(upstream),
        }
    }
}
