//! Placement: which VMs form which group, and which node dispatches to each group and service
//! upstream.

use std::collections::BTreeMap;

use crate::data;
use crate::id::{DomainId, FencingToken, GroupId, ModelId, NodeId, UpstreamId, VmId};

data! {
    /// The placement of one failure domain, stored as one platform value and changed by
    /// compare-and-swap.
    ///
    /// All groups of the domain are in one value so that concurrent writes can't put a VM into
    /// two groups.
    pub struct Placement {
        /// The failure domain.
        pub domain: DomainId,
        /// Number of this write, sent with orders as their fencing token. Each write raises it by
        /// one.
        #[serde(rename = "fence")]
        pub fencing_token: FencingToken,
        /// All groups. Invariant: a VM is a member of at most one group.
        pub groups: BTreeMap<GroupId, Group>,
        /// The dispatcher of each of the domain's plain-service upstreams.
        pub services: BTreeMap<UpstreamId, NodeId>,
    }

    /// VMs that together serve one replica of a model.
    pub struct Group {
        /// The model that the group serves.
        pub model: ModelId,
        /// Members by rank; rank 0 receives the requests. Invariant: not empty, no VM twice.
        pub members: Vec<VmId>,
        /// Fencing token of the write that formed this group; engines return it in their reports.
        pub formed: FencingToken,
        /// The only node that sends requests to this group.
        pub dispatcher: NodeId,
    }
}

impl Placement {
    /// Creates a placement without groups; fencing token 0 marks it as never written.
    #[must_use]
    pub fn empty(domain: DomainId) -> Self {
        Self {
            domain,
            fencing_token: FencingToken(0),
            groups: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Returns the group that contains a VM.
    #[must_use]
    pub fn group_of(&self, vm: &VmId) -> Option<(&GroupId, &Group)> {
        self.groups
            .iter()
            .find(|(_, group)| group.members.contains(vm))
    }
}
