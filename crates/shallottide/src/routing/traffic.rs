//! Which generation of upstreams a call goes to while two systems run side by side.

use shallottide_types::call::CallHead;
use shallottide_types::record::{Generation, TrafficSplit};

use crate::groups::rendezvous;

/// Percent at which all calls go to the old system.
const ALL: u8 = 100;

/// The generations that may serve a call, the wanted one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Generations {
    pub(super) wanted: Generation,
    /// Whether the other one may serve when the wanted one can't.
    pub(super) other: bool,
}

/// Splits calls by a hash of their id, so that all nodes and retries agree.
pub(super) fn choose(split: Option<&TrafficSplit>, head: &CallHead) -> Generations {
    let Some(split) = split else {
        return Generations {
            wanted: Generation::New,
            other: true,
        };
    };
    let percent = split.old_percent_for(&head.team);
    let share = rendezvous::hash(head.id.as_str()) % u64::from(ALL);
    let wanted = if share < u64::from(percent) {
        Generation::Old
    } else {
        Generation::New
    };
    Generations {
        wanted,
        // A share of nothing or of all is an order of the operators, not a preference.
        other: percent > 0 && percent < ALL,
    }
}
