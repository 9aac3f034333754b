//! Plans calls with Poisson arrivals.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::call_plan::{CallKind, CallPlan};
use crate::load_options::{LoadOptions, ServiceTarget};

const PERCENT: u8 = 100;

/// Characters of a shared prompt prefix; longer than the part that engines and routers compare.
const PREFIX_LENGTH: usize = 1024;

/// Iterator over the planned calls of a run. The same options give the same calls.
#[derive(Debug)]
pub struct Arrivals<'a> {
    options: &'a LoadOptions,
    rng: StdRng,
    /// Arrival of the last planned call, from the start of the run.
    elapsed: Duration,
    /// Number of the next call.
    number: u64,
}

impl<'a> Arrivals<'a> {
    /// Creates a plan that starts with the first call.
    #[must_use]
    pub fn new(options: &'a LoadOptions) -> Self {
        Self {
            options,
            rng: StdRng::seed_from_u64(options.seed),
            elapsed: Duration::ZERO,
            number: 0,
        }
    }

    /// Draws the time to the next arrival from an exponential distribution with mean `1 / rate`.
    fn random_gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        let seconds = -(1.0 - uniform).ln() / self.options.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns true with a probability of `percent`.
    fn random_bool(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..PERCENT) < percent
    }

    fn random_target(&mut self) -> usize {
        self.rng.random_range(0..self.options.targets.len())
    }

    fn random_kind(&mut self, target: usize) -> CallKind {
        let (seed, number) = (self.options.seed, self.number);
        if let Some(service) = &self.options.service
            && self.random_bool(service.percent)
        {
            return CallKind::Service {
                key: format!("load-{seed}-{number}"),
                repeat_through: self.repeat_through(service, target),
            };
        }
        let prefix = self.random_prefix();
        CallKind::Completion {
            prompt: format!("{prefix}load {seed}, call {number}: write a report"),
        }
    }

    /// Returns one of the shared prompt prefixes, or an empty text if prompts share none.
    fn random_prefix(&mut self) -> String {
        if self.options.prefixes == 0 {
            return String::new();
        }
        let prefix = self.rng.random_range(0..self.options.prefixes);
        format!("{:.<PREFIX_LENGTH$}", format!("beginning {prefix}"))
    }

    /// Decides whether a service call is repeated and returns the entry VM for it, the next one in the
    /// list.
    fn repeat_through(&mut self, service: &ServiceTarget, target: usize) -> Option<SocketAddr> {
        let targets = &self.options.targets;
        let next = targets[(target + 1) % targets.len()];
        self.random_bool(service.repeat_percent).then_some(next)
    }
}

impl Iterator for Arrivals<'_> {
    type Item = CallPlan;

    fn next(&mut self) -> Option<CallPlan> {
        self.elapsed = self.elapsed.saturating_add(self.random_gap());
        if self.elapsed >= self.options.duration {
            return None;
        }
        let target = self.random_target();
        let plan = CallPlan {
            number: self.number,
            arrival: self.elapsed,
            target: self.options.targets[target],
            kind: self.random_kind(target),
        };
        self.number += 1;
        Some(plan)
    }
}
