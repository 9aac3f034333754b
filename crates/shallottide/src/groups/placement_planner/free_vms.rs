//! VMs that a plan can still assign to groups.

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

    /// Takes VMs of one fabric domain, preferred VMs first; `None` if there are too few.
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

    pub(super) fn count(&self, fabric: &FabricId) -> usize {
        self.fabrics.get(fabric).map_or(0, BTreeSet::len)
    }

    /// Returns whether another fabric domain has at least `count` free VMs.
    pub(super) fn fits_in_other(&self, fabric: &FabricId, count: usize) -> bool {
        self.best_fit(Some(fabric), count).is_some()
    }

    /// Takes `count` VMs of another fabric domain.
    pub(super) fn take_from_other(&mut self, fabric: &FabricId, count: usize) -> Option<Vec<VmId>> {
        let other = self.best_fit(Some(fabric), count)?;
        self.take(&other, count, &[])
    }

    /// Returns the fabric domain with the fewest free VMs that has at least `count` (best fit),
    /// other than `excluded`.
    fn best_fit(&self, excluded: Option<&FabricId>, count: usize) -> Option<FabricId> {
        let others = self.fabrics.iter().filter(|(id, _)| Some(*id) != excluded);
        let fitting = others.filter(|(_, vms)| vms.len() >= count);
        let (id, _) = fitting.min_by_key(|(_, vms)| vms.len())?;
        Some(id.clone())
    }

    /// Takes VMs of the given fabric domain, or else of the best-fitting one.
    pub(super) fn take_best(
        &mut self,
        fabric: Option<&FabricId>,
        count: usize,
        preferred: &[VmId],
    ) -> Option<Vec<VmId>> {
        if let Some(vms) = fabric.and_then(|fabric| self.take(fabric, count, preferred)) {
            return Some(vms);
        }
        let best = self.best_fit(None, count)?;
        self.take(&best, count, preferred)
    }
}
