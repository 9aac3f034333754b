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

    pub(super) fn count(&self, fabric: &FabricId) -> usize {
        self.fabrics.get(fabric).map_or(0, BTreeSet::len)
    }

    /// Tells whether another fabric domain has so many free VMs.
    pub(super) fn fits_elsewhere(&self, fabric: &FabricId, count: usize) -> bool {
        self.tightest(Some(fabric), count).is_some()
    }

    /// Takes VMs of another fabric domain.
    pub(super) fn take_elsewhere(&mut self, fabric: &FabricId, count: usize) -> Option<Vec<VmId>> {
        let other = self.tightest(Some(fabric), count)?;
        self.take(&other, count, &[])
    }

    /// Returns the fabric domain with enough free VMs where the fewest stay over.
    fn tightest(&self, but: Option<&FabricId>, count: usize) -> Option<FabricId> {
        let others = self.fabrics.iter().filter(|(id, _)| Some(*id) != but);
        let fitting = others.filter(|(_, vms)| vms.len() >= count);
        let (id, _) = fitting.min_by_key(|(_, vms)| vms.len())?;
        Some(id.clone())
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
        let best = self.tightest(None, count)?;
        self.take(&best, count, preferred)
    }
}
