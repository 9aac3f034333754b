//! Options of a load run.

use std::net::SocketAddr;
use std::time::Duration;

/// Highest valid percentage.
const MAX_PERCENT: u8 = 100;

/// Options of a load run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Entry VMs. Each call goes to one of them, chosen at random.
    pub targets: Vec<SocketAddr>,
    /// Bearer key of a team; `None` sends calls without a key.
    pub key: Option<String>,
    /// Mean number of calls that arrive per second.
    pub rate: f64,
    /// Time during which calls arrive.
    pub duration: Duration,
    /// Seed of the random arrivals, kinds and targets of the calls.
    pub seed: u64,
    /// Model of the completions.
    pub model: String,
    /// Tokens of each completion.
    pub max_tokens: u64,
    /// Number of prefixes that prompts share; 0 shares none.
    pub prefixes: u32,
    /// Whether completions are streamed.
    pub stream: bool,
    /// Plain service to call; `None` requests completions only.
    pub service: Option<ServiceTarget>,
    /// Maximum number of calls in flight. Further calls wait, and their wait counts as latency.
    pub max_in_flight: usize,
    /// Whether each call opens a connection of its own, as entry VMs do towards upstreams.
    pub new_connections: bool,
    /// Timeout of one call, and of the wait for queued calls after the last arrival.
    pub timeout: Duration,
    /// Timeout sent with each call in the `X-Timeout` header; `None` sends no header.
    pub deadline: Option<Duration>,
    /// Whether targets that aren't ready get no calls, as behind a load balancer.
    pub health_checks: bool,
    /// Stand-in services to query at the end for how often each key ran.
    pub check_runs: Vec<SocketAddr>,
}

/// A plain service and how often it is called.
#[derive(Debug, Clone)]
pub struct ServiceTarget {
    /// Path at the entry VM, such as `/services/tally/clicks`.
    pub path: String,
    /// Percent of all calls that go to the service.
    pub percent: u8,
    /// Percent of these that are repeated with the same key through another entry VM.
    pub repeat_percent: u8,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            key: None,
            rate: 10.0,
            duration: Duration::from_secs(10),
            seed: 1,
            model: "demo".into(),
            max_tokens: 16,
            prefixes: 0,
            stream: true,
            service: None,
            max_in_flight: 512,
            new_connections: false,
            timeout: Duration::from_secs(30),
            deadline: None,
            health_checks: false,
            check_runs: Vec::new(),
        }
    }
}

/// Invalid load options.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// The list of targets is empty.
    #[error("no target: name at least one entry VM with --target ADDRESS:PORT")]
    NoTarget,
    /// The rate isn't a finite number above 0.
    #[error("rate is not valid: must be a number of calls per second above 0")]
    Rate,
    /// The maximum number of calls in flight is 0.
    #[error("max-in-flight is not valid: must be at least 1")]
    InFlight,
    /// A percentage is above 100.
    #[error("percentage is not valid: must be 0 to {MAX_PERCENT}")]
    Percent,
}

impl LoadOptions {
    /// Checks the options.
    ///
    /// # Errors
    /// [`OptionsError`] for the first invalid option.
    pub fn check(&self) -> Result<(), OptionsError> {
        let percents = self.service.iter();
        let mut percents = percents.flat_map(|s| [s.percent, s.repeat_percent]);
        if self.targets.is_empty() {
            Err(OptionsError::NoTarget)
        } else if !(self.rate.is_finite() && self.rate > 0.0) {
            Err(OptionsError::Rate)
        } else if self.max_in_flight == 0 {
            Err(OptionsError::InFlight)
        } else if percents.any(|percent| percent > MAX_PERCENT) {
            Err(OptionsError::Percent)
        } else {
            Ok(())
        }
    }
}
