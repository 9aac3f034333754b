//! Spreads requests over upstreams whose loads are known with a delay.
//!
//! Answers two loads. Many nodes see the same idle upstream at once: if each sent there, it would be
//! overloaded before any of them heard of it. And callers ask for more than there is room for: nodes
//! that each admit what fits by itself overfill all upstreams together. So a request goes to an
//! upstream with a probability in proportion to the room that the requests of all nodes will find
//! there by now, and is turned away with the probability that they find none.
//!
//! No upstream is left out for being above its limit: if those few that are below it got all
//! requests, they would be overfilled before the next samples arrive.

/// Requests that arrive for each that ends, while there may be too many. Neither a node's own rate times the
/// nodes, which get very uneven parts of the requests, nor the part that it refuses tells better: both made
/// nodes refuse requests while there was room.
const ARRIVALS_PER_END: f64 = 1.2;
/// Time from a choice until an answer of the upstream includes the request in its load, in seconds.
const EFFECT_DELAY: f64 = 0.1;

/// An upstream that can take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Requests at the upstream when it stated them.
    pub load: f64,
    /// Requests that it may hold; above 0.
    pub limit: f64,
    /// Age of `load`, in seconds.
    pub age: f64,
    /// What speaks against it, as a fraction of its limit.
    pub penalty: f64,
}

impl Target {
    /// Returns the requests of `load` that have not ended by the time of the next samples.
    fn remaining(&self, residence: f64) -> f64 {
        self.load * (1.0 - (self.age + EFFECT_DELAY) / residence).max(0.0)
    }
}

/// Chooses a target; `residence` is the time that a request stays at an upstream, in seconds and above 0,
/// and `draw` a uniform random number from 0 to 1.
///
/// Returns `None` when there is no room, or not enough for all that arrives.
#[must_use]
pub fn choose(targets: &[Target], residence: f64, draw: f64) -> Option<usize> {
    let count = f64::from(u32::try_from(targets.len()).unwrap_or(u32::MAX));
    let mean_age = targets.iter().map(|target| target.age).sum::<f64>() / count.max(1.0);
    let load: f64 = targets.iter().map(|target| target.load).sum();
    let arrivals = ARRIVALS_PER_END * load / residence * (mean_age + EFFECT_DELAY);
    let remaining: Vec<_> = targets.iter().map(|t| t.remaining(residence)).collect();
    let rooms = targets
        .iter()
        .zip(&remaining)
        .map(|(t, left)| t.limit - left);
    let room: f64 = rooms.sum();
    if room <= 0.0 || draw * arrivals > room {
        return None;
    }
    // What is left of the draw is again uniform from 0 to 1.
    let draw = draw / (room / arrivals).min(1.0);
    let loads: Vec<_> = targets
        .iter()
        .zip(&remaining)
        .map(|(target, left)| (left + target.penalty * target.limit, target.limit))
        .collect();
    let level = fill_level(&loads, arrivals.max(1.0));
    let weights: Vec<_> = loads
        .iter()
        .map(|(load, limit)| (level * limit - load).max(0.0))
        .collect();
    pick(&weights, draw)
}

/// Picks an index with a probability in proportion to its weight.
fn pick(weights: &[f64], draw: f64) -> Option<usize> {
    let mut left = draw * weights.iter().sum::<f64>();
    let mut last = None;
    for (index, &weight) in weights.iter().enumerate() {
        if weight <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Returns the ratio of load to limit up to which `arrivals` requests fill the upstreams with the
/// lowest ratios; `loads` are pairs of load and limit.
fn fill_level(loads: &[(f64, f64)], arrivals: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let (mut load, mut limit, mut level) = (0.0, 0.0, 0.0);
    for (index, next) in sorted.iter().enumerate() {
        load += next.0;
        limit += next.1;
        level = (load + arrivals) / limit;
        let next_level = sorted.get(index + 1).map(|(load, limit)| load / limit);
        if next_level.is_none_or(|next| level <= next) {
            break;
        }
    }
    level
}
