//! VMs that a plan may still use.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::id::{FabricId, VmId};

/// Free VMs by fabric domain.
#[derive(Debug, Default)]
pub(super) struct FreeVms {
    fabrics: BTreeMap<FabricId, BTreeSet<VmId>>,
}

impl FreeVms {
    pub(super) fn add(&mut self, fabric: &FabricId, vm: &VmId) {
        let vms = self.fabrics.entry(fabric.clone()).or_default();
        vms.insert(vm.clone());
    }

    /// Takes VMs of one fabric domain, the preferred ones first; `None` when there are too few.
    pub(super) fn take(
        &mut self,
        fabric: &FabricId,
        count: usize,
        preferred: &[VmId],
    ) -> Option<Vec<VmId>> {
        let vms = self.fabrics.get_mut(fabric)?;
        if vms.len() < count {
            return None;
        }
        let first = preferred.iter().filter(|vm| vms.contains(*vm));
        let others = vms.iter().filter(|vm| !preferred.contains(vm));
        let taken: Vec<VmId> = first.chain(others).take(count).cloned().collect();
        vms.retain(|vm| !taken.contains(vm));
        Some(taken)
    }

    /// Takes VMs of the preferred fabric domain, else of the one where the fewest stay over.
    pub(super) fn take_best(
        &mut self,
        fabric: Option<&FabricId>,
        count: usize,
        preferred: &[VmId],
    ) -> Option<Vec<VmId>> {
        if let Some(vms) = fabric.and_then(|fabric| self.take(fabric, count, preferred)) {
            return Some(vms);
        }
        let fitting = self.fabrics.iter().filter(|(_, vms)| vms.len() >= count);
        let best = fitting.min_by_key(|(_, vms)| vms.len())?.0.clone();
        self.take(&best, count, preferred)
    }
}
