//! The VM list, whose changes become visible after a delay.

use std::time::{Duration, Instant};

use shallottide_types::id::DomainId;
use shallottide_types::platform::Vm;

/// The visible list and the changes that are not visible yet.
#[derive(Debug, Default)]
pub(super) struct VmList {
    visible: Vec<Vm>,
    pending: Vec<(Instant, Vec<Vm>)>,
}

impl VmList {
    /// Replaces the list; readers see the change after `lag`.
    pub(super) fn set(&mut self, vms: Vec<Vm>, now: Instant, lag: Duration) {
        self.pending.push((now + lag, vms));
    }

    /// Returns the VMs of a failure domain that are visible at `now`.
    pub(super) fn of(&mut self, domain: &DomainId, now: Instant) -> Vec<Vm> {
        while self.pending.first().is_some_and(|(at, _)| *at <= now) {
            self.visible = self.pending.remove(0).1;
        }
        let vms = self.visible.iter();
        vms.filter(|vm| vm.domain == *domain).cloned().collect()
    }
}
