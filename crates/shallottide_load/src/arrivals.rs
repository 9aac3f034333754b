//! Plans calls that arrive at random, as a Poisson process.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::call_plan::{CallKind, CallPlan};
use crate::load_options::{LoadOptions, ServiceTarget};

const PERCENT: u8 = 100;

/// Characters of a shared beginning; longer than what engines and routers look at.
const PREFIX_LENGTH: usize = 1024;

/// Plans calls; the same options give the same calls.
#[derive(Debug)]
pub struct Arrivals<'a> {
    options: &'a LoadOptions,
    rng: StdRng,
    elapsed: Duration,
    number: u64,
}

impl<'a> Arrivals<'a> {
    /// Starts to plan.
    #[must_use]
    pub fn new(options: &'a LoadOptions) -> Self {
        Self {
            options,
            rng: StdRng::seed_from_u64(options.seed),
            elapsed: Duration::ZERO,
            number: 0,
        }
    }

    /// Returns the time to the next arrival: exponential with the mean of the rate.
    fn gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        let seconds = -(1.0 - uniform).ln() / self.options.rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn happens(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..PERCENT) < percent
    }

    fn any_target(&mut self) -> usize {
        self.rng.random_range(0..self.options.targets.len())
    }

    fn kind(&mut self, target: usize) -> CallKind {
        let (seed, number) = (self.options.seed, self.number);
        if let Some(service) = &self.options.service
            && self.happens(service.percent)
        {
            return CallKind::Service {
                key: format!("load-{seed}-{number}"),
                repeat_through: self.repeat_through(service, target),
            };
        }
        let prefix = self.prefix();
        CallKind::Completion {
            prompt: format!("{prefix}load {seed}, call {number}: write a report"),
        }
    }

    /// Returns one of the shared beginnings, or nothing when prompts share none.
    fn prefix(&mut self) -> String {
        if self.options.prefixes == 0 {
            return String::new();
        }
        let prefix = self.rng.random_range(0..self.options.prefixes);
        format!("{:.<PREFIX_LENGTH$}", format!("beginning {prefix}"))
    }

    /// Returns the next entry VM in the list for calls that are made again.
    fn repeat_through(&mut self, service: &ServiceTarget, target: usize) -> Option<SocketAddr> {
        let targets = &self.options.targets;
        let next = targets[(target + 1) % targets.len()];
        self.happens(service.repeat_percent).then_some(next)
    }
}

impl Iterator for Arrivals<'_> {
    type Item = CallPlan;

    fn next(&mut self) -> Option<CallPlan> {
        self.elapsed = self.elapsed.saturating_add(self.gap());
        if self.elapsed >= self.options.duration {
            return None;
        }
        let target = self.any_target();
        let plan = CallPlan {
            number: self.number,
            arrival: self.elapsed,
            target: self.options.targets[target],
            kind: self.kind(target),
        };
        self.number += 1;
        Some(plan)
    }
}
