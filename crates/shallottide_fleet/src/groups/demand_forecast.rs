//! Forecast of the models' shares of the requested work.
//!
//! A sum over ten seconds lags behind a wave of 11 to 13 s by half of it, and extrapolating its slope
//! is worse than the mean (`docs/design/supply.md`). So a wave is fitted to the shares of the last
//! periods, and the mean stays where none is found.

use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::{PI, TAU};
use std::time::{Duration, Instant};

use shallottide_types::data;
use shallottide_types::id::{ModelId, NodeId};

/// First byte of a datagram with a [`RecentDemandReport`].
pub const RECENT_DEMAND_VERSION: u8 = 12;
/// Models in a report at most, those with the most work first: a datagram holds 1,400 bytes.
pub const MAX_REPORTED_MODELS: usize = 12;
/// Window of the present demand; a shorter one holds too few requests of a model with few.
pub(super) const RECENT_WINDOW: Duration = Duration::from_secs(3);
/// Time over which a wave is fitted: two periods of the longest one.
const FIT_TIME: Duration = Duration::from_secs(26);
/// Shortest time over which a wave can be told from a single rise or fall.
const MIN_FIT_TIME: Duration = Duration::from_secs(15);
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Periods that are tried, in seconds.
const PERIODS: [f64; 5] = [10.0, 11.0, 12.0, 13.0, 14.0];
/// Part of the variance that a wave must explain. Sums of a steady demand, which overlap, reach 0.5
/// by chance.
const MIN_EXPLAINED: f64 = 0.7;
/// Least fraction of a wave's amplitude that is left in a window's sum; below it, noise would be
/// raised more than the wave.
const MIN_GAIN: f64 = 0.2;

/// Requested work by model.
pub(super) type Work = BTreeMap<ModelId, Duration>;

data! {
    /// Requests that one node received and refused within the last three seconds.
    ///
    /// Nodes of earlier versions ignore datagrams of this version.
    pub struct RecentDemandReport {
        /// Format version, [`RECENT_DEMAND_VERSION`].
        pub version: u8,
        /// The node.
        pub node: NodeId,
        /// Time for which the requests would occupy one group, by model.
        pub requested: BTreeMap<ModelId, Duration>,
        /// The part of `requested` that was refused for lack of room.
        pub refused: BTreeMap<ModelId, Duration>,
    }
}

/// Shares of the models over time, each the mean of a window that ended then.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareHistory(VecDeque<(Instant, BTreeMap<ModelId, f64>)>);

impl ShareHistory {
    /// Adds the shares of a sum, unless the last ones are recent; drops those that are too old.
    pub(super) fn push(&mut self, work: &Work, now: Instant) {
        let is_within = |at: &Instant, age| now.saturating_duration_since(*at) < age;
        if self
            .0
            .back()
            .is_some_and(|(at, _)| is_within(at, SAMPLE_INTERVAL))
        {
            return;
        }
        while let Some((at, _)) = self.0.front()
            && !is_within(at, FIT_TIME)
        {
            self.0.pop_front();
        }
        let total = work.values().sum::<Duration>().as_secs_f64();
        if total > 0.0 {
            let share =
                |(model, work): (&ModelId, &Duration)| (model.clone(), work.as_secs_f64() / total);
            self.0.push_back((now, work.iter().map(share).collect()));
        }
    }

    /// Returns a model's share `lead` from now, if a wave of known period explains the samples, each
    /// of which is the mean of a `window`.
    pub(super) fn forecast(
        &self,
        model: &ModelId,
        window: Duration,
        lead: Duration,
        now: Instant,
    ) -> Option<f64> {
        let (first, _) = self.0.front()?;
        let (last, _) = self.0.back()?;
        if last.saturating_duration_since(*first) < MIN_FIT_TIME {
            return None;
        }
        let sample = |(at, shares): &(Instant, BTreeMap<ModelId, f64>)| {
            let ago = now.saturating_duration_since(*at).as_secs_f64();
            (-ago, shares.get(model).copied().unwrap_or(0.0))
        };
        let samples: Vec<_> = self.0.iter().map(sample).collect();
        let waves = PERIODS
            .iter()
            .filter_map(|period| Wave::fit(&samples, *period));
        let best = waves.max_by(|a, b| a.explained.total_cmp(&b.explained))?;
        let width = window.as_secs_f64();
        let gain = best.gain(width);
        if best.explained < MIN_EXPLAINED || gain < MIN_GAIN {
            return None;
        }
        let swing = best.swing_at(lead.as_secs_f64() + width / 2.0) / gain;
        // A share never leaves these bounds by much, whatever the fit.
        Some((best.mean + swing).clamp(best.mean * 0.4, best.mean * 1.6))
    }
}

/// A wave fitted to samples at seconds from now.
#[derive(Debug, Clone, Copy)]
struct Wave {
    period: f64,
    mean: f64,
    cos: f64,
    sin: f64,
    /// Part of the samples' variance that it explains.
    explained: f64,
}

impl Wave {
    /// Fits by least squares; `None` if the samples determine none.
    fn fit(samples: &[(f64, f64)], period: f64) -> Option<Self> {
        // Normal equations of the columns 1, cos and sin.
        let mut rows = [[0.0; 4]; 3];
        for &(at, share) in samples {
            let angle = TAU * at / period;
            let columns = [1.0, angle.cos(), angle.sin(), share];
            for (row, factor) in rows.iter_mut().zip(columns) {
                for (sum, column) in row.iter_mut().zip(columns) {
                    *sum += factor * column;
                }
            }
        }
        let [mean, cos, sin] = solve(rows)?;
        let count = f64::from(u32::try_from(samples.len()).ok()?);
        let average = samples.iter().map(|(_, share)| share).sum::<f64>() / count;
        let mut wave = Self {
            period,
            mean,
            cos,
            sin,
            explained: 0.0,
        };
        let squares = |of: &dyn Fn(f64) -> f64| {
            let squares = samples.iter().map(|(at, share)| (share - of(*at)).powi(2));
            squares.sum::<f64>()
        };
        let (left, all) = (
            squares(&|at| mean + wave.swing_at(at)),
            squares(&|_| average),
        );
        wave.explained = 1.0 - left / all.max(f64::MIN_POSITIVE);
        Some(wave)
    }

    fn swing_at(&self, at: f64) -> f64 {
        let angle = TAU * at / self.period;
        self.cos * angle.cos() + self.sin * angle.sin()
    }

    /// Returns the fraction of the amplitude that is left in the mean of a window.
    fn gain(&self, width: f64) -> f64 {
        let half = PI * width / self.period;
        (half.sin() / half).max(0.0)
    }
}

/// Solves three linear equations by elimination; `None` if they have no single solution.
fn solve(mut rows: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    for pivot in 0..3 {
        let largest =
            (pivot..3).max_by(|a, b| rows[*a][pivot].abs().total_cmp(&rows[*b][pivot].abs()))?;
        rows.swap(pivot, largest);
        let pivot_row = rows[pivot];
        if pivot_row[pivot].abs() < 1e-9 {
            return None;
        }
        for (index, row) in rows.iter_mut().enumerate() {
            if index != pivot {
                let factor = row[pivot] / pivot_row[pivot];
                for (value, of_pivot) in row.iter_mut().zip(pivot_row) {
                    *value -= factor * of_pivot;
                }
            }
        }
    }
    Some([0, 1, 2].map(|index| rows[index][3] / rows[index][index]))
}

/// Keeps the models with the most work that a datagram has room for.
pub(super) fn largest(work: Work) -> Work {
    let mut models: Vec<_> = work.into_iter().collect();
    models.sort_by_key(|(_, work)| std::cmp::Reverse(*work));
    models.truncate(MAX_REPORTED_MODELS);
    models.into_iter().collect()
}
