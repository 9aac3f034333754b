//! Which VMs form which group, and which node dispatches to what.

use std::collections::BTreeMap;

use crate::data;
use crate::id::{DomainId, FencingToken, GroupId, ModelId, NodeId, UpstreamId, VmId};

data! {
    /// The placement of one failure domain: one platform value changed by compare-and-swap.
    ///
    /// One value holds all groups of the domain, so no VM can be in two groups.
    pub struct Placement {
        /// The failure domain.
        pub domain: DomainId,
        /// The number of this write; each write raises it by one. Sent as the fencing number.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// All groups. Invariant: a VM is a member of at most one group.
        pub groups: BTreeMap<GroupId, Group>,
        /// The dispatcher of each plain-service upstream of the domain.
        pub services: BTreeMap<UpstreamId, NodeId>,
    }

    /// VMs that together serve one copy of a model.
    pub struct Group {
        /// The model served.
        pub model: ModelId,
        /// Members by rank; rank 0 takes the requests. Invariant: no VM twice, never empty.
        pub members: Vec<VmId>,
        /// The fence of the write that formed this group; engines report it back.
        pub formed: FencingToken,
        /// The only node that sends requests to this group.
        pub dispatcher: NodeId,
    }
}

impl Placement {
    /// Creates an empty placement that was never written.
    #[must_use]
    pub fn empty(domain: DomainId) -> Self {
        Self {
            domain,
            fencing_token: FencingToken(0),
            groups: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Returns the group that a VM belongs to.
    #[must_use]
    pub fn group_of(&self, vm: &VmId) -> Option<(&GroupId, &Group)> {
        self.groups
            .iter()
            .find(|(_, group)| group.members.contains(vm))
    }
}
