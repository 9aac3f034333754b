//! Choice of the upstream generation for a call while two systems run side by side.

use shallottide_types::call::CallHead;
use shallottide_types::record::{Generation, TrafficSplit};

use crate::groups::rendezvous;

/// Percentage at which all calls go to the old system.
const ALL_PERCENT: u8 = 100;

/// The preferred generation for a call, and whether the other one may serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Generations {
    pub(super) preferred: Generation,
    /// Whether the other generation may serve if the preferred one can't.
    pub(super) allows_other: bool,
}

/// Splits calls by a hash of their id, so that all nodes and all retries choose equally.
pub(super) fn choose(split: Option<&TrafficSplit>, head: &CallHead) -> Generations {
    let Some(split) = split else {
        return Generations {
            preferred: Generation::New,
            allows_other: true,
        };
    };
    let percent = split.old_percent_for(&head.team);
    let share = rendezvous::hash(head.id.as_str()) % u64::from(ALL_PERCENT);
    let preferred = if share < u64::from(percent) {
        Generation::Old
    } else {
        Generation::New
    };
    Generations {
        preferred,
        // With 0 or 100 percent, operators exclude the other generation; any other share is a
        // preference.
        allows_other: percent > 0 && percent < ALL_PERCENT,
    }
}
