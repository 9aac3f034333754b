//! The VMs of the failure domain that this node knows, and which of them it polls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{DomainId, NodeId, VmId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::Vm;

use super::member_index::MemberIndex;
use super::rendezvous;

/// How long a VM is kept that no message has named since.
const KEEP_UNNAMED: Duration = Duration::from_mins(2);

/// Known VMs. A controller candidate knows all, any other node those that it polls.
#[derive(Debug, Default)]
pub(super) struct VmDirectory {
    vms: BTreeMap<VmId, Vm>,
    named_at: BTreeMap<VmId, Instant>,
    /// VMs that a candidate asked this node to poll.
    asked: BTreeSet<VmId>,
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

    /// Takes the platform's list; tells whether anything changed.
    pub(super) fn take_list(&mut self, domain: &DomainId, list: Vec<Vm>, now: Instant) -> bool {
        self.read_at = Some(now);
        let own = list.into_iter().filter(|vm| vm.domain == *domain);
        let vms: BTreeMap<VmId, Vm> = own.map(|vm| (vm.id.clone(), vm)).collect();
        self.named_at = vms.keys().map(|id| (id.clone(), now)).collect();
        let changed = vms != self.vms;
        self.vms = vms;
        changed
    }

    /// Takes the part of the list that a candidate sent.
    pub(super) fn take_part(&mut self, domain: &DomainId, part: Vec<Vm>, now: Instant) {
        self.asked.clear();
        for vm in part.into_iter().filter(|vm| vm.domain == *domain) {
            self.asked.insert(vm.id.clone());
            self.named_at.insert(vm.id.clone(), now);
            self.vms.insert(vm.id.clone(), vm);
        }
    }

    /// Drops VMs that no message has named for long, but for those in use.
    pub(super) fn expire(&mut self, placement: Option<&Placement>, now: Instant) {
        let members = MemberIndex::of(placement);
        let in_use = |vm: &VmId| members.get(vm).is_some();
        let old = |at: &Instant| now.saturating_duration_since(*at) > KEEP_UNNAMED;
        self.named_at.retain(|vm, at| in_use(vm) || !old(at));
        self.vms.retain(|vm, _| self.named_at.contains_key(vm));
    }

    /// Returns who polls which VMs: a group's dispatcher its members, and the nodes by
    /// rendezvous the VMs without a group.
    pub(super) fn by_poller(
        &self,
        nodes: &[NodeId],
        placement: Option<&Placement>,
    ) -> BTreeMap<NodeId, Vec<Vm>> {
        let members = MemberIndex::of(placement);
        let mut parts: BTreeMap<NodeId, Vec<Vm>> = BTreeMap::new();
        for vm in self.vms.values() {
            let poller = match members.get(&vm.id) {
                Some(member) => Some(&member.group.dispatcher),
                None => poller_of(&vm.id, nodes),
            };
            if let Some(poller) = poller {
                parts.entry(poller.clone()).or_default().push(vm.clone());
            }
        }
        parts
    }

    /// Returns the VMs that this node polls when it is no candidate.
    pub(super) fn polled_here(&self, me: &NodeId, placement: Option<&Placement>) -> Vec<Vm> {
        let members = MemberIndex::of(placement);
        let is_mine = |vm: &&Vm| match members.get(&vm.id) {
            Some(member) => member.group.dispatcher == *me,
            None => self.asked.contains(&vm.id),
        };
        self.vms.values().filter(is_mine).cloned().collect()
    }
}

fn poller_of<'a>(vm: &VmId, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    let key = rendezvous::hash(vm.as_str());
    let weight = |node: &&NodeId| rendezvous::weight(key, node.as_str());
    nodes.iter().max_by_key(weight)
}
