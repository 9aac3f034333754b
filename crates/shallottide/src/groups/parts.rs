//! The parts of the VM list that the first candidate sends to the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::NodeId;
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::Vm;

/// What each node was last sent, and when.
#[derive(Debug, Default)]
pub(super) struct Parts {
    sent: BTreeMap<NodeId, (Vec<Vm>, Instant)>,
}

impl Parts {
    /// Returns the part to send to a node now, if it changed or was sent long ago.
    pub(super) fn due(
        &mut self,
        to: &NodeInfo,
        part: Vec<Vm>,
        repeat_every: Duration,
        now: Instant,
    ) -> Option<Vec<Vm>> {
        let unchanged = self.sent.get(&to.node).is_some_and(|(sent, at)| {
            *sent == part && now.saturating_duration_since(*at) < repeat_every
        });
        if unchanged {
            return None;
        }
        self.sent.insert(to.node.clone(), (part.clone(), now));
        Some(part)
    }

    /// Forgets nodes that are gone: on their return they are sent everything again.
    pub(super) fn retain(&mut self, nodes: &[NodeId]) {
        self.sent.retain(|node, _| nodes.contains(node));
    }
}
