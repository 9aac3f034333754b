//! The operators' configuration as one versioned document.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use shallottide_types::data;
use shallottide_types::id::{ModelId, RegionId, ServiceId, TeamId};

use crate::access::Access;

/// Longest time for which one request is taken to occupy a group.
const MAX_BUSY_TIME: Duration = Duration::from_hours(24);

/// Whether requests of a route may run again at another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// May run more than once.
    Freely,
    /// May run at most once.
    Never,
    /// A stream that another upstream may resume after the last event that arrived.
    Resume,
}

impl Repeat {
    /// Returns whether a second upstream may be tried after the first may have run the request.
    #[must_use]
    pub fn allows_second_run(self) -> bool {
        self != Self::Never
    }
}

data! {
    /// One service that a route sends requests to, with its weight.
    pub struct Split {
        /// The service.
        pub service: ServiceId,
        /// Its share of the requests, relative to the other weights of the route.
        pub weight: u32,
    }

    /// How requests of one host and path prefix are served.
    pub struct Route {
        /// Name, for logs.
        pub name: CompactString,
        /// Host, in lower case and without a port.
        pub host: CompactString,
        /// Path prefix; begins and ends with a slash.
        pub prefix: CompactString,
        /// Services that share the requests; never empty.
        pub services: Vec<Split>,
        /// Whether requests may run again.
        pub repeat: Repeat,
        /// Whether answers are server-sent event streams.
        pub streaming: bool,
        /// Longest time that a caller waits.
        pub timeout: Duration,
        /// Time within which an answer has its full value.
        pub target_latency: Duration,
        /// Longest pause between events at which a stream counts as on time; zero when not set.
        pub longest_gap: Duration,
        /// Most upstreams that one call may be sent to.
        pub max_attempts: u32,
        /// Priority; 0 is served first.
        pub priority: u8,
        /// Whether calls need no key.
        pub public: bool,
        /// Regions that may serve the route; empty for all.
        pub regions: Vec<RegionId>,
    }

    /// Durations, rates and capacities of a model engine, for planning.
    pub struct EngineFacts {
        /// Requests that a group runs concurrently.
        pub slots: u32,
        /// Duration of one token step without any request.
        pub step: Duration,
        /// Time that each running request adds to a token step.
        pub step_per_request: Duration,
        /// Prompt tokens read per second.
        pub read_per_second: u32,
        /// Weight loads that may start per second, over all upstreams.
        pub loads_per_second: u32,
        /// Staged models that a VM keeps.
        pub staged_kept: usize,
        /// Concurrent loads above which each takes longer.
        pub loads_at_once: u32,
        /// The models that the engine can load, in the operators' order.
        pub models: Vec<ModelFacts>,
    }

    /// Static properties of one model.
    pub struct ModelFacts {
        /// The model.
        pub model: ModelId,
        /// Upstreams per group; at least 1.
        pub size: usize,
        /// The model's initial share of the work, in thousandths.
        pub share_permille: u32,
        /// Factor on the engine's durations, in thousandths.
        pub pace_permille: u32,
    }

    /// One service.
    pub struct Service {
        /// The service.
        pub id: ServiceId,
        /// Most connections to one upstream, from all callers together.
        pub max_connections: u32,
        /// Requests per second that a cold upstream can take, over all nodes; 0 when never cold.
        pub cold_per_second: u32,
        /// Set for model engines.
        pub engine: Option<EngineFacts>,
    }

    /// One team of callers.
    pub struct Team {
        /// The team.
        pub id: TeamId,
        /// Priority that overrides the route's, if set.
        pub priority: Option<u8>,
    }

    /// Limits on callers' requests and connections.
    pub struct CallerLimits {
        /// Largest request head, in bytes.
        pub head_bytes: usize,
        /// Largest request body, in bytes.
        pub body_bytes: usize,
        /// Longest time for a request head to arrive.
        pub head_timeout: Duration,
        /// Longest time that a connection may be idle.
        pub idle_timeout: Duration,
    }

    /// The operators' configuration; a higher version replaces a lower one.
    pub struct Catalog {
        /// Increases with each change.
        pub version: u64,
        /// All routes.
        pub routes: Vec<Route>,
        /// Services by id.
        pub services: BTreeMap<ServiceId, Service>,
        /// Who may call routes that are not public.
        pub access: Access,
        /// Limits on requests.
        pub limits: CallerLimits,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Catalog {
    /// Returns the properties of a service's engine, if it is a model engine.
    #[must_use]
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineFacts> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl EngineFacts {
    /// Returns the properties of one model.
    #[must_use]
    pub fn model(&self, model: &ModelId) -> Option<&ModelFacts> {
        self.models.iter().find(|facts| facts.model == *model)
    }

    /// Estimates how long one request occupies a whole group when all slots are in use.
    #[must_use]
    pub fn busy_time(&self, model: &ModelFacts, prompt: u32, output: u32) -> Duration {
        let slots = self.slots.max(1);
        let read = f64::from(prompt) / f64::from(self.read_per_second.max(1));
        let step = self.step + self.step_per_request * slots;
        let write = step.as_secs_f64() * f64::from(output) / f64::from(slots);
        let pace = f64::from(model.pace_permille) / 1000.0;
        let time = (read + write) * pace;
        Duration::from_secs_f64(time.min(MAX_BUSY_TIME.as_secs_f64()))
    }
}
