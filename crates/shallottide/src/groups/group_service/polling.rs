//! Polls engines and shares their reports with the controller candidates and on this node.

use std::time::{Duration, Instant};

use shallottide_types::peer::PeerMsg;
use shallottide_types::platform::Vm;

use super::{AliveNodes, Purpose, State, send_peer};
use crate::kernel::names::ENGINES;
use crate::kernel::{Context, Outbox};
use crate::message::{EnginePoll, EnginePollResult};
use crate::view::EngineView;

/// Interval between checks of which VM lists must be sent to other nodes.
const VM_LIST_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks of which polls and reports are due.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl State {
    /// Polls the engines that are due and sends their reports to the controller candidates.
    pub(super) fn poll_engines(&mut self, nodes: &AliveNodes, now: Instant, out: &mut Outbox) {
        if !self.is_due(Purpose::Poll, POLL_CHECK_INTERVAL, now) {
            return;
        }
        let placement = self.placement_copy.get();
        let mine = if self.is_candidate() {
            let mut by_poller = self.directory.by_poller(&nodes.active_ids, placement);
            by_poller.remove(&self.me).unwrap_or_default()
        } else {
            self.directory.polled_by(&self.me, placement)
        };
        let copies = self.reports.take_due_copies(&mine, placement, now);
        let mut polled = mine;
        if self.controller.holds_lease(now) {
            polled.extend(self.suspect_vms(&polled, now));
        }
        for vm in self.reports.take_due_polls(&polled, now) {
            let (vm, address) = (vm.id.clone(), vm.address);
            out.send(ENGINES, EnginePoll { vm, address });
        }
        let others = self.candidates.iter().filter(|node| **node != self.me);
        for info in others.filter_map(|node| nodes.active_info(node)) {
            if !copies.is_empty() {
                send_peer(info, PeerMsg::Reports(copies.clone()), out);
            }
        }
    }

    /// Returns the VMs polled elsewhere without a recent report, which the controller must poll
    /// itself.
    pub(super) fn suspect_vms(&self, mine: &[Vm], now: Instant) -> Vec<Vm> {
        let vms = self.directory.vms().values();
        let others = vms.filter(|vm| !mine.contains(vm));
        let suspects = others.filter(|vm| self.reports.is_suspect(&vm.id, now));
        suspects.cloned().collect()
    }

    /// Sends each node the VMs that it polls; the second candidate receives all VMs.
    pub(super) fn send_vm_lists(&mut self, nodes: &AliveNodes, now: Instant, out: &mut Outbox) {
        if !self.is_first_candidate()
            || !self.is_due(Purpose::PeerVmLists, VM_LIST_SEND_INTERVAL, now)
        {
            return;
        }
        self.peer_vm_lists.retain(&nodes.active_ids);
        let mut by_poller = self
            .directory
            .by_poller(&nodes.active_ids, self.placement_copy.get());
        for info in nodes.active.iter().filter(|info| info.node != self.me) {
            let vms = if self.candidates.contains(&info.node) {
                self.directory.vms().values().cloned().collect()
            } else {
                by_poller.remove(&info.node).unwrap_or_default()
            };
            let resend_interval = self.options.resend_interval;
            if let Some(vms) = self.peer_vm_lists.take_due(info, vms, resend_interval, now) {
                send_peer(info, PeerMsg::Vms(vms), out);
            }
        }
    }

    pub(super) fn handle_engine_report(&mut self, reported: EnginePollResult, cx: &Context) {
        self.reports
            .record_poll_result(&reported.vm, reported.result, cx.now());
        self.engine_view_changed = true;
        self.publish_engine_view(cx);
    }

    pub(super) fn publish_engine_view(&mut self, cx: &Context) {
        if std::mem::take(&mut self.engine_view_changed) {
            cx.publish_engines(EngineView {
                vms: self.directory.vms().clone(),
                reports: self.reports.reports().clone(),
            });
        }
    }
}
