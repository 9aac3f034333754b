//! How many requests an engine may hold for a call to be admitted to its model.
//!
//! Answers the load in which callers compete for too little room. Engines that are filled to their
//! slots answer everyone late, and calls that are late anyway take the room of those that could be on
//! time: in a closed loop of 80 nodes, two thirds of the capacity went to them.

use std::time::Duration;

/// Fraction of the room that each less urgent route leaves to more urgent ones of the same model.
const ROOM_PER_RANK: f64 = 0.08;
/// Least fraction of the room that any route may use.
const MIN_ROOM: f64 = 0.6;
/// Fraction of the room that calls which can't be on time may use.
const LATE_ROOM: f64 = 0.7;

/// Fraction of the room that calls of a team above its share may use. They are refused first when
/// room is short; refusing them outright left engines idle, as shares follow what was admitted.
const OVER_SHARE_ROOM: f64 = 0.85;

/// What admission knows of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallClass {
    /// Time in which the first event must come to be on time; `None` when it is late already.
    pub time_left: Option<Duration>,
    /// Number of more urgent priorities among the routes that use the same model.
    pub rank: u32,
    /// Whether the call has been sent to an engine before, as a retry or a resumed stream has.
    pub is_begun: bool,
    /// Whether its team has used its share of room that is short.
    pub is_over_share: bool,
}

impl CallClass {
    /// Sets whether the call's team has used its share of room that is short.
    #[must_use]
    pub fn over_share(mut self, is_over_share: bool) -> Self {
        self.is_over_share = is_over_share;
        self
    }

    /// Returns the load up to which engines are filled for the call.
    ///
    /// `on_time` is the load at which an engine still answers typical calls on time, `slots` how many
    /// requests it runs.
    #[must_use]
    pub fn limit(&self, on_time: f64, slots: u32) -> f64 {
        if self.is_begun {
            return f64::from(slots).max(1.0);
        }
        let mut room = (1.0 - ROOM_PER_RANK * f64::from(self.rank)).max(MIN_ROOM);
        if self.time_left.is_none() {
            room *= LATE_ROOM;
        }
        if self.is_over_share {
            room *= OVER_SHARE_ROOM;
        }
        (on_time * room).max(1.0)
    }
}
