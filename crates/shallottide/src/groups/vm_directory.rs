//! The VMs of the failure domain known to this node, and which of them it polls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, VmId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::Vm;

use super::member_index::MemberIndex;
use super::rendezvous;

/// How long a VM is kept after the last list that contained it.
const VM_RETENTION: Duration = Duration::from_mins(2);

/// Known VMs: all VMs on a controller candidate, on any other node the VMs that it polls.
#[derive(Debug, Default)]
pub(super) struct VmDirectory {
    vms: BTreeMap<VmId, Vm>,
    listed_at: BTreeMap<VmId, Instant>,
    /// VMs that a controller candidate requested this node to poll.
    requested_polls: BTreeSet<VmId>,
    /// When the whole list was last read from the platform.
    read_at: Option<Instant>,
}

impl VmDirectory {
    pub(super) fn vms(&self) -> &BTreeMap<VmId, Vm> {
        &self.vms
    }

    /// Returns when the whole list was last read from the platform.
    pub(super) fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Replaces all VMs with the platform's list; returns whether anything changed.
    pub(super) fn apply_platform_list(
        &mut self,
        domain: &DomainId,
        list: Vec<Vm>,
        now: Instant,
    ) -> bool {
        self.read_at = Some(now);
        let own = list.into_iter().filter(|vm| vm.domain == *domain);
        let vms: BTreeMap<VmId, Vm> = own.map(|vm| (vm.id.clone(), vm)).collect();
        self.listed_at = vms.keys().map(|id| (id.clone(), now)).collect();
        let changed = vms != self.vms;
        self.vms = vms;
        changed
    }

    /// Applies the list that a controller candidate sent, and polls the VMs in it.
    pub(super) fn apply_peer_list(&mut self, domain: &DomainId, list: Vec<Vm>, now: Instant) {
        self.requested_polls.clear();
        for vm in list.into_iter().filter(|vm| vm.domain == *domain) {
            self.requested_polls.insert(vm.id.clone());
            self.listed_at.insert(vm.id.clone(), now);
            self.vms.insert(vm.id.clone(), vm);
        }
    }

    /// Drops VMs that no list has contained for [`VM_RETENTION`], except members of a group.
    pub(super) fn expire(&mut self, placement: Option<&Placement>, now: Instant) {
        let members = MemberIndex::new(placement);
        let in_use = |vm: &VmId| members.get(vm).is_some();
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) > VM_RETENTION;
        self.listed_at
            .retain(|vm, at| in_use(vm) || !is_expired(at));
        self.vms.retain(|vm, _| self.listed_at.contains_key(vm));
    }

    /// Returns the VMs that each node polls.
    ///
    /// A group's dispatcher polls its members. VMs without a group are distributed over the
    /// nodes by rendezvous hashing.
    pub(super) fn by_poller(
        &self,
        nodes: &[NodeId],
        placement: Option<&Placement>,
    ) -> BTreeMap<NodeId, Vec<Vm>> {
        let members = MemberIndex::new(placement);
        let mut by_poller: BTreeMap<NodeId, Vec<Vm>> = BTreeMap::new();
        for vm in self.vms.values() {
            let poller = match members.get(&vm.id) {
                Some(member) => Some(&member.group.dispatcher),
                None => poller_of(&vm.id, nodes),
            };
            if let Some(poller) = poller {
                by_poller
                    .entry(poller.clone())
                    .or_default()
                    .push(vm.clone());
            }
        }
        by_poller
    }

    /// Returns the VMs that this node polls when it is not a controller candidate.
    pub(super) fn polled_by(&self, me: &NodeId, placement: Option<&Placement>) -> Vec<Vm> {
        let members = MemberIndex::new(placement);
        let is_mine = |vm: &&Vm| match members.get(&vm.id) {
            Some(member) => member.group.dispatcher == *me,
            None => self.requested_polls.contains(&vm.id),
        };
        self.vms.values().filter(is_mine).cloned().collect()
    }
}

fn poller_of<'a>(vm: &VmId, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    let key = rendezvous::hash(vm.as_str());
    let weight = |node: &&NodeId| rendezvous::weight(key, node.as_str());
    nodes.iter().max_by_key(weight)
}
