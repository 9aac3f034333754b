//! Upstreams that turned a request away and asked for no requests for a time.
//!
//! What one upstream asks of a node binds that node alone. Unlike a back-off after failures, a cooldown
//! does not end early: answers to earlier requests may still arrive and succeed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::crash_evidence::Lifetime;

/// Longest cooldown; longer ones are cut, so that a damaged value does not exclude an upstream for
/// good.
pub const MAX_COOLDOWN: Duration = Duration::from_mins(5);

/// The cooldowns that upstreams asked this node for.
#[derive(Debug, Clone, Default)]
pub struct Cooldowns {
    ends: BTreeMap<Lifetime, Instant>,
}

impl Cooldowns {
    /// Returns the number of cooldowns that have not been dropped yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether there is no cooldown.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Records that an upstream asked for no requests for a time; of several, the latest end holds.
    ///
    /// Returns whether a cooldown begins.
    pub fn record_answer(&mut self, lifetime: Lifetime, wait: Duration, now: Instant) -> bool {
        if wait.is_zero() {
            return false;
        }
        let is_new = self.end(lifetime, now).is_none();
        let end = now + wait.min(MAX_COOLDOWN);
        let latest = self.ends.entry(lifetime).or_insert(end);
        *latest = end.max(*latest);
        is_new
    }

    /// Returns until when an upstream must not get requests, if it has a cooldown.
    #[must_use]
    pub fn end(&self, lifetime: Lifetime, now: Instant) -> Option<Instant> {
        let end = self.ends.get(&lifetime).copied();
        end.filter(|end| now < *end)
    }

    /// Drops cooldowns that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.ends.retain(|_, end| now < *end);
    }
}
