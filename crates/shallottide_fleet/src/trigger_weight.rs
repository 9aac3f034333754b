//! How many crashes count against a trigger, and why others do not.

use std::fmt;

use crate::crash_trigger::CrashTrigger;

/// Why a crash with a trigger does not count against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeftOut {
    /// Another trigger is at fault for it.
    Explained,
    /// The upstream held more requests with the trigger than one that ends as it begins to answer them.
    Crowded,
    /// A request with the trigger has completed since.
    Completed,
}

/// The crashes with one trigger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TriggerWeight {
    /// The trigger.
    pub trigger: CrashTrigger,
    /// Crashes that count against it.
    pub counted: usize,
    /// Crashes that are left out as another trigger is at fault for them.
    pub explained: usize,
    /// Crashes that are left out as the upstream held many requests with it.
    pub crowded: usize,
    /// Crashes that are left out as a request with it has completed since.
    pub completed: usize,
}

impl TriggerWeight {
    /// Returns the weight of a trigger without crashes.
    #[must_use]
    pub fn new(trigger: CrashTrigger) -> Self {
        Self {
            trigger,
            counted: 0,
            explained: 0,
            crowded: 0,
            completed: 0,
        }
    }

    /// Adds a crash with the trigger, and why it is left out, if it is.
    pub fn add(&mut self, left_out: Option<LeftOut>) {
        let count = match left_out {
            None => &mut self.counted,
            Some(LeftOut::Explained) => &mut self.explained,
            Some(LeftOut::Crowded) => &mut self.crowded,
            Some(LeftOut::Completed) => &mut self.completed,
        };
        *count += 1;
    }
}

impl fmt::Display for TriggerWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            trigger,
            counted,
            explained,
            crowded,
            completed,
        } = self;
        write!(
            f,
            "{trigger} counted={counted} explained={explained} crowded={crowded} completed={completed}"
        )
    }
}
