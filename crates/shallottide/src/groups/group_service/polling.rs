//! Polls engines and tells candidates and readers of the fleet what they report.

use std::time::{Duration, Instant};

use shallottide_types::peer::PeerMsg;
use shallottide_types::platform::Vm;

use super::{AliveNodes, Purpose, State, send_peer};
use crate::kernel::names::ENGINES;
use crate::kernel::{Context, Outbox};
use crate::message::{EnginePoll, EnginePollResult};
use crate::view::EngineView;

/// Time between two looks at which node polls which VM.
const PARTS_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks at which polls and reports are due.
const POLLS_EVERY: Duration = Duration::from_millis(200);

impl State {
    /// Polls engines, and tells candidates what they report.
    pub(super) fn poll(&mut self, nodes: &AliveNodes, now: Instant, out: &mut Outbox) {
        if !self.is_due(Purpose::Poll, POLLS_EVERY, now) {
            return;
        }
        let placement = self.copy.get();
        let mine = if self.is_candidate() {
            let mut by_poller = self.directory.by_poller(&nodes.ids, placement);
            by_poller.remove(&self.me).unwrap_or_default()
        } else {
            self.directory.polled_here(&self.me, placement)
        };
        let copies = self.reports.take_due_copies(&mine, placement, now);
        let mut polled = mine;
        if self.controller.is_held(now) {
            polled.extend(self.suspects(&polled, now));
        }
        for vm in self.reports.due(&polled, now) {
            let (vm, address) = (vm.id.clone(), vm.address);
            out.send(ENGINES, EnginePoll { vm, address });
        }
        let others = self.candidates.iter().filter(|node| **node != self.me);
        for info in others.filter_map(|node| nodes.info(node)) {
            if !copies.is_empty() {
                send_peer(info, PeerMsg::Reports(copies.clone()), out);
            }
        }
    }

    /// Returns VMs that their pollers are silent about, or say are silent.
    pub(super) fn suspects(&self, mine: &[Vm], now: Instant) -> Vec<Vm> {
        let vms = self.directory.vms().values();
        let others = vms.filter(|vm| !mine.contains(vm));
        let suspects = others.filter(|vm| self.reports.is_suspect(&vm.id, now));
        suspects.cloned().collect()
    }

    /// Sends each node the VMs that it polls, and the second candidate all.
    pub(super) fn send_parts(&mut self, nodes: &AliveNodes, now: Instant, out: &mut Outbox) {
        if !self.is_first() || !self.is_due(Purpose::Parts, PARTS_EVERY, now) {
            return;
        }
        self.parts.retain(&nodes.ids);
        let mut by_poller = self.directory.by_poller(&nodes.ids, self.copy.get());
        for info in nodes.infos.iter().filter(|info| info.node != self.me) {
            let part = if self.candidates.contains(&info.node) {
                self.directory.vms().values().cloned().collect()
            } else {
                by_poller.remove(&info.node).unwrap_or_default()
            };
            let repeat_every = self.options.repeat_every;
            if let Some(part) = self.parts.due(info, part, repeat_every, now) {
                send_peer(info, PeerMsg::Vms(part), out);
            }
        }
    }

    pub(super) fn engine_reported(&mut self, reported: EnginePollResult, cx: &Context) {
        self.reports.polled(&reported.vm, reported.result, cx.now());
        self.fleet_changed = true;
        self.publish_engines(cx);
    }

    pub(super) fn publish_engines(&mut self, cx: &Context) {
        if std::mem::take(&mut self.fleet_changed) {
            cx.publish_engines(EngineView {
                vms: self.directory.vms().clone(),
                reports: self.reports.reports().clone(),
            });
        }
    }
}
