//! The VM lists that the first controller candidate sends to the other nodes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::Vm;

/// The VM list last sent to each node, and when.
#[derive(Debug, Default)]
pub(super) struct PeerVmLists {
    sent: BTreeMap<NodeId, (Vec<Vm>, Instant)>,
}

impl PeerVmLists {
    /// Returns the list to send to a node now, if it changed or `resend_interval` has passed.
    pub(super) fn take_due(
        &mut self,
        to: &NodeInfo,
        vms: Vec<Vm>,
        resend_interval: Duration,
        now: Instant,
    ) -> Option<Vec<Vm>> {
        let unchanged = self.sent.get(&to.node).is_some_and(|(sent, at)| {
            *sent == vms && now.saturating_duration_since(*at) < resend_interval
        });
        if unchanged {
            return None;
        }
        self.sent.insert(to.node.clone(), (vms.clone(), now));
        Some(vms)
    }

    /// Forgets nodes that are not in `nodes`, so that they receive their list again on return.
    pub(super) fn retain(&mut self, nodes: &[NodeId]) {
        self.sent.retain(|node, _| nodes.contains(node));
    }
}
