//! Index from VMs to their groups.

use std::collections::BTreeMap;

use shallottide_types::id::{GroupId, VmId};
use shallottide_types::placement::{Group, Placement};

/// A VM's group and rank in a placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member<'a> {
    pub(super) id: &'a GroupId,
    pub(super) group: &'a Group,
    pub(super) rank: usize,
}

/// The members of all groups of a placement, by VM.
#[derive(Debug, Default)]
pub(super) struct MemberIndex<'a>(BTreeMap<&'a VmId, Member<'a>>);

impl<'a> MemberIndex<'a> {
    pub(super) fn new(placement: Option<&'a Placement>) -> Self {
        let groups = placement.into_iter().flat_map(|p| &p.groups);
        let members = groups.flat_map(|(id, group)| {
            let members = group.members.iter().enumerate();
            members.map(move |(rank, vm)| (vm, Member { id, group, rank }))
        });
        Self(members.collect())
    }

    pub(super) fn get(&self, vm: &VmId) -> Option<Member<'a>> {
        self.0.get(vm).copied()
    }
}
