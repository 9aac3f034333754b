//! Retry budgets of the node and its slots, which prevent retry storms.

use std::collections::BTreeMap;

use shallottide_types::peer::Slot;

use super::CallOptions;

/// Maximum number of slots tracked; when reached, the budgets of all slots are reset.
const MAX_TRACKED_SLOTS: usize = 4_096;

/// Limits retries to a ratio of first attempts, for the node and for each slot.
#[derive(Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    burst: f64,
    slot_burst: f64,
    /// Retries left for the node. Invariant: between 0 and `burst`.
    node: f64,
    /// Retries left for each slot. Invariant: between 0 and `slot_burst`.
    slots: BTreeMap<Slot, f64>,
}

impl RetryBudget {
    pub(super) fn new(options: &CallOptions) -> Self {
        Self {
            ratio: options.retry_ratio,
            burst: options.retry_burst,
            slot_burst: options.slot_retry_burst,
            node: options.retry_burst,
            slots: BTreeMap::new(),
        }
    }

    /// Refills the budgets of the node and, if known, the slot after a first attempt.
    pub(super) fn first_attempt(&mut self, slot: Option<&Slot>) {
        self.node = (self.node + self.ratio).min(self.burst);
        let left = slot.and_then(|slot| self.slots.get_mut(slot));
        if let Some(left) = left {
            *left = (*left + self.ratio).min(self.slot_burst);
        }
    }

    /// Takes one retry from the node's budget; `false` if none is left.
    pub(super) fn take(&mut self) -> bool {
        take_one(&mut self.node)
    }

    /// Takes one retry from the slot's budget; `false` if none is left.
    pub(super) fn take_at(&mut self, slot: &Slot) -> bool {
        if self.slots.len() >= MAX_TRACKED_SLOTS && !self.slots.contains_key(slot) {
            self.slots.clear();
        }
        let left = self.slots.entry(slot.clone());
        take_one(left.or_insert(self.slot_burst))
    }
}

fn take_one(left: &mut f64) -> bool {
    let has_retry = *left >= 1.0;
    if has_retry {
        *left -= 1.0;
    }
    has_retry
}
