//! The level of a kind: how slow all of its engines are now, compared with its curve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::gain;
use crate::crash_evidence::Lifetime;

/// Time for which an engine's vote counts.
const VOTE_TIME: Duration = Duration::from_millis(1_500);
/// Time constant of an engine's vote; a vote that comes after a longer time is the sample itself.
const VOTE_FOLLOW_TIME: Duration = Duration::from_millis(300);
/// Least share that a sample gets in its engine's vote.
const MIN_VOTE_GAIN: f64 = 0.2;
/// Votes from which the level follows at full speed.
const FULL_VOTES: f64 = 4.0;
/// Time constants with which the level follows a change, and noise.
const CHANGE_TIME: Duration = Duration::from_millis(100);
const NOISE_TIME: Duration = Duration::from_millis(2_500);
/// A median further than this many of its standard errors from the level is a change. With 2.5, noise
/// was taken for a change so often that paces were followed late.
const CHANGE_ERRORS: f64 = 4.0;
/// A change has been followed once the median is within this many standard errors.
const SETTLED_ERRORS: f64 = 1.0;
/// Standard error of a median of n values with a standard deviation of 1, times the root of n.
const MEDIAN_ERROR: f64 = 1.25;
/// Most engines with a vote.
const MAX_VOTES: usize = 512;

/// What one engine's samples say of the level.
#[derive(Debug, Clone, Copy)]
struct Vote {
    /// Logarithm of the time divided by what the curve explains.
    value: f64,
    /// When its last sample came.
    at: Instant,
}

/// The level follows the median of the engines' votes. An engine has one vote however many samples it
/// gives, so that one slow engine, or the one healthy engine that gets most calls, does not move it.
#[derive(Debug, Clone)]
pub(super) struct Level {
    /// Logarithm of the level.
    value: f64,
    votes: BTreeMap<Lifetime, Vote>,
    changed_at: Instant,
    is_changing: bool,
    /// Recent votes, kept to save allocations.
    recent: Vec<f64>,
}

impl Level {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            votes: BTreeMap::new(),
            changed_at: now,
            is_changing: false,
            recent: Vec::new(),
        }
    }

    /// Returns the logarithm of the level.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Returns whether the votes deviate from the level by more than noise.
    pub(super) fn is_changing(&self) -> bool {
        self.is_changing
    }

    /// Moves the level by `shift`, and the votes with it, as the curve has moved the other way.
    pub(super) fn shift(&mut self, shift: f64) {
        self.value += shift;
        for vote in self.votes.values_mut() {
            vote.value += shift;
        }
    }

    /// Learns from a sample that deviates from the kind's curve by `deviation` in log time; `spread`
    /// is the usual one of samples.
    pub(super) fn record(&mut self, lifetime: Lifetime, deviation: f64, spread: f64, now: Instant) {
        if let Some(vote) = self.votes.get_mut(&lifetime) {
            let elapsed = now.saturating_duration_since(vote.at);
            let share = if elapsed < VOTE_TIME {
                gain(elapsed, VOTE_FOLLOW_TIME).max(MIN_VOTE_GAIN)
            } else {
                1.0
            };
            vote.value += share * (deviation - vote.value);
            vote.at = vote.at.max(now);
        } else if self.votes.len() < MAX_VOTES {
            let vote = Vote {
                value: deviation,
                at: now,
            };
            self.votes.insert(lifetime, vote);
        }
        self.follow(spread, now);
    }

    fn follow(&mut self, spread: f64, now: Instant) {
        self.recent.clear();
        let is_recent = |vote: &&Vote| now.saturating_duration_since(vote.at) < VOTE_TIME;
        let recent = self.votes.values().filter(is_recent);
        self.recent.extend(recent.map(|vote| vote.value));
        let Some(last) = self.recent.len().checked_sub(1) else {
            return;
        };
        // Of two middle values the lower one: half of the engines slow is no change of all.
        let (_, median, _) = self.recent.select_nth_unstable_by(last / 2, f64::total_cmp);
        let difference = *median - self.value;
        let count = u32::try_from(self.recent.len()).map_or(f64::MAX, f64::from);
        let error = MEDIAN_ERROR * spread / count.sqrt();
        let errors = if self.is_changing {
            SETTLED_ERRORS
        } else {
            CHANGE_ERRORS
        };
        self.is_changing = difference.abs() > errors * error;
        let time = if self.is_changing {
            CHANGE_TIME
        } else {
            NOISE_TIME
        };
        let elapsed = now.saturating_duration_since(self.changed_at);
        self.value += gain(elapsed, time) * (count / FULL_VOTES).min(1.0) * difference;
        self.changed_at = self.changed_at.max(now);
    }

    /// Drops votes of lifetimes that are not known.
    pub(super) fn retain(&mut self, is_known: impl Fn(Lifetime) -> bool) {
        self.votes.retain(|lifetime, _| is_known(*lifetime));
    }

    /// Drops votes that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.votes
            .retain(|_, vote| now.saturating_duration_since(vote.at) < VOTE_TIME);
    }
}
