//! The controller's copy of the stored placement, changed by compare-and-swap.

use shallottide_types::id::{DomainId, StoreIndex};
use shallottide_types::placement::Placement;
use shallottide_types::platform::{Entry, PlatformError, Precondition, SwapOutcome};

use crate::message::{PlatformAnswer, PlatformOp};

/// Returns the platform key of a failure domain's placement.
pub(super) fn placement_key(domain: &DomainId) -> String {
    format!("placement/{domain}")
}

/// Parses a stored placement; `None` if it is malformed or belongs to another domain.
pub(super) fn parse_placement(domain: &DomainId, entry: &Entry) -> Option<Placement> {
    let placement: Placement = serde_json::from_slice(&entry.value).ok()?;
    (placement.domain == *domain).then_some(placement)
}

/// Reads the stored placement, then swaps it.
///
/// After a write with an unknown outcome, the placement is read again before the next swap.
#[derive(Debug)]
pub(super) struct PlacementStore {
    domain: DomainId,
    state: State,
}

#[derive(Debug)]
enum State {
    /// Must be read before the next swap.
    Unknown,
    Reading,
    Known(Placement, Precondition),
    Writing(Placement),
}

impl PlacementStore {
    pub(super) fn new(domain: DomainId) -> Self {
        Self {
            domain,
            state: State::Unknown,
        }
    }

    /// Returns the placement as last read, unless a call is pending.
    pub(super) fn known(&self) -> Option<&Placement> {
        match &self.state {
            State::Known(placement, _) => Some(placement),
            _ => None,
        }
    }

    /// Discards the placement that was read, unless a call is pending.
    pub(super) fn invalidate(&mut self) {
        if matches!(self.state, State::Known(..)) {
            self.state = State::Unknown;
        }
    }

    /// Returns the read call, if the stored placement must be read first.
    pub(super) fn read_op(&mut self) -> Option<PlatformOp> {
        matches!(self.state, State::Unknown).then(|| {
            self.state = State::Reading;
            PlatformOp::Get(placement_key(&self.domain))
        })
    }

    /// Returns the call that swaps the placement that was read for the next one.
    pub(super) fn swap_op(&mut self, next: Placement) -> Option<PlatformOp> {
        let State::Known(_, expect) = self.state else {
            return None;
        };
        let value = serde_json::to_vec(&next).expect("a placement has only text keys");
        self.state = State::Writing(next);
        Some(PlatformOp::Swap {
            key: placement_key(&self.domain),
            value,
            expect,
        })
    }

    /// Handles the answer to the last call.
    ///
    /// Returns the placement if the platform confirmed that it is stored.
    pub(super) fn handle_answer(
        &mut self,
        result: Result<PlatformAnswer, PlatformError>,
    ) -> Option<Placement> {
        let state = std::mem::replace(&mut self.state, State::Unknown);
        match (state, result) {
            (State::Reading, Ok(PlatformAnswer::Entry(entry))) => self.handle_read(entry.as_ref()),
            (State::Writing(next), Ok(PlatformAnswer::Swap(SwapOutcome::Written))) => Some(next),
            _ => None,
        }
    }

    fn handle_read(&mut self, entry: Option<&Entry>) -> Option<Placement> {
        let Some(entry) = entry else {
            let empty = Placement::empty(self.domain.clone());
            self.state = State::Known(empty, Precondition::Absent);
            return None;
        };
        let Some(placement) = parse_placement(&self.domain, entry) else {
            tracing::error!(domain = %self.domain, "stored placement can't be read: restore its value in the platform");
            return None;
        };
        let index: StoreIndex = entry.index;
        self.state = State::Known(placement.clone(), Precondition::Index(index));
        Some(placement)
    }
}
