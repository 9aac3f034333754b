//! The node's retry budgets, which prevent retry storms.

use std::collections::BTreeMap;

use shallottide_types::peer::Slot;

use super::CallOptions;

/// Most slots with a budget of their own; past it, all begin anew.
const MAX_SLOTS: usize = 4_096;

/// Grants retries as a share of first attempts, in all and for each slot.
#[derive(Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    burst: f64,
    slot_burst: f64,
    /// Retries left in all. Invariant: between 0 and `burst`.
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

    /// Counts a first attempt, at a slot if one is known.
    pub(super) fn first_attempt(&mut self, slot: Option<&Slot>) {
        self.node = (self.node + self.ratio).min(self.burst);
        let left = slot.and_then(|slot| self.slots.get_mut(slot));
        if let Some(left) = left {
            *left = (*left + self.ratio).min(self.slot_burst);
        }
    }

    /// Takes one retry; `false` when none is left.
    pub(super) fn take(&mut self) -> bool {
        take_one(&mut self.node)
    }

    /// Takes one retry at a slot; `false` when none is left.
    pub(super) fn take_at(&mut self, slot: &Slot) -> bool {
        if self.slots.len() >= MAX_SLOTS && !self.slots.contains_key(slot) {
            self.slots.clear();
        }
        let left = self.slots.entry(slot.clone());
        take_one(left.or_insert(self.slot_burst))
    }
}

fn take_one(left: &mut f64) -> bool {
    let enough = *left >= 1.0;
    if enough {
        *left -= 1.0;
    }
    enough
}
