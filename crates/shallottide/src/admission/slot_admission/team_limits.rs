//! Limits of teams, applied to the requests that this node dispatches.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use shallottide_types::id::TeamId;
use shallottide_types::record::TeamRecord;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

/// Window over which a team's request rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Requests in flight and requests started within the window, by team.
#[derive(Debug, Default)]
pub(super) struct TeamLimits {
    teams: BTreeMap<TeamId, TeamUsage>,
}

#[derive(Debug)]
struct TeamUsage {
    in_flight: u32,
    window_start: Instant,
    started: u32,
}

impl TeamLimits {
    /// Checks a team's limits before it acquires one more permit.
    ///
    /// # Errors
    /// A refusal that names the limit.
    pub(super) fn check(&self, record: &TeamRecord, now: Instant) -> Result<(), Refusal> {
        let Some(team) = self.teams.get(&record.id) else {
            return Ok(());
        };
        if team.in_flight >= record.max_in_flight {
            let limit = record.max_in_flight;
            return Err(team_limit_refusal(format!(
                "team {} has {limit} requests in flight, its limit: wait for one to end",
                record.id
            )));
        }
        if team.started_in_window(now) >= record.rate.0 {
            return Err(team_limit_refusal(format!(
                "team {} is over its rate of {}: slow down",
                record.id, record.rate
            )));
        }
        Ok(())
    }

    pub(super) fn record_acquire(&mut self, team: &TeamId, now: Instant) {
        let team = self.teams.entry(team.clone()).or_insert(TeamUsage {
            in_flight: 0,
            window_start: now,
            started: 0,
        });
        team.started = team.started_in_window(now) + 1;
        if team.started == 1 {
            team.window_start = now;
        }
        team.in_flight += 1;
    }

    pub(super) fn record_release(&mut self, team: &TeamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    /// Drops teams without requests in flight or in the window.
    pub(super) fn expire(&mut self, now: Instant) {
        let in_use = |team: &TeamUsage| team.in_flight > 0 || team.started_in_window(now) > 0;
        self.teams.retain(|_, team| in_use(team));
    }
}

impl TeamUsage {
    fn started_in_window(&self, now: Instant) -> u32 {
        let window_ended = now.saturating_duration_since(self.window_start) >= RATE_WINDOW;
        if window_ended { 0 } else { self.started }
    }
}

fn team_limit_refusal(message: String) -> Refusal {
    Refusal::new(RefusalKind::TeamLimit, Ran::No, message).retry_after(RATE_WINDOW)
}
