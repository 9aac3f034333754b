//! The command line of `standin`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use shallottide_types::clock::SystemClock;
use shallottide_types::duration_text;
use shallottide_types::id::{Incarnation, VmId};
use standin::engine::{ColdOverload, EngineOptions, EngineServer};
use standin::http::{ListenOptions, StartError};
use standin::platform::{MemoryPlatform, PlatformOptions, PlatformServer};
use standin::service::{ServiceOptions, ServiceServer};

/// Stand-ins for the platform, model engines and plain services.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Service(ServiceArguments),
}

/// Key-value service and VM list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// most open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// time that a change of the VM list stays unseen, such as 2s
    #[argh(option, default = "Duration::ZERO", from_str_fn(duration_text::parse))]
    vm_lag: Duration,
}

/// One member of a group of VMs that serve a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// most open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// id of its VM
    #[argh(option, default = "EngineOptions::default().vm")]
    vm: VmId,
    /// number of this start of the engine
    #[argh(option, default = "EngineOptions::default().incarnation")]
    incarnation: Incarnation,
    /// take orders with any fencing number
    #[argh(switch)]
    ignore_fences: bool,
    /// time for a token when nothing else runs, such as 10ms
    #[argh(
        option,
        default = "EngineOptions::default().token_time",
        from_str_fn(duration_text::parse)
    )]
    token_time: Duration,
    /// requests that run at once
    #[argh(option, default = "EngineOptions::default().capacity")]
    capacity: u32,
    /// requests that it bears while cold
    #[argh(option, default = "EngineOptions::default().cold_capacity")]
    cold_capacity: u32,
    /// above its cold capacity, take so many times as long instead of failing
    #[argh(option)]
    cold_slow: Option<u32>,
    /// percent of the token time that each other running request adds
    #[argh(option, default = "EngineOptions::default().batch_percent")]
    batch_percent: u32,
    /// time before the first token when the prompt's prefix isn't cached
    #[argh(
        option,
        default = "EngineOptions::default().prefill_time",
        from_str_fn(duration_text::parse)
    )]
    prefill_time: Duration,
    /// prefixes that stay cached
    #[argh(option, default = "EngineOptions::default().cached_prefixes")]
    cached_prefixes: usize,
    /// tokens after which it is warm
    #[argh(option, default = "EngineOptions::default().warm_up_tokens")]
    warm_up_tokens: u64,
    /// time to load a model, such as 2s
    #[argh(
        option,
        default = "EngineOptions::default().load_time",
        from_str_fn(duration_text::parse)
    )]
    load_time: Duration,
    /// age of the load figures in its report
    #[argh(
        option,
        default = "EngineOptions::default().report_lag",
        from_str_fn(duration_text::parse)
    )]
    report_lag: Duration,
}

/// One server of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArguments {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// most open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// name in answers
    #[argh(option, default = "ServiceOptions::default().name.into()")]
    name: String,
    /// calls that run at once
    #[argh(option, default = "ServiceOptions::default().capacity")]
    capacity: u32,
    /// time that a call takes, such as 5ms
    #[argh(
        option,
        default = "ServiceOptions::default().service_time",
        from_str_fn(duration_text::parse)
    )]
    service_time: Duration,
}

/// A stand-in that serves until it is dropped.
pub(crate) enum Running {
    /// The platform.
    Platform(PlatformServer),
    /// A model engine.
    Engine(EngineServer),
    /// A plain service.
    Service(ServiceServer),
}

impl Running {
    /// Returns the address to connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        match self {
            Self::Platform(server) => server.address(),
            Self::Engine(server) => server.address(),
            Self::Service(server) => server.address(),
        }
    }
}

impl Arguments {
    /// Starts the chosen stand-in.
    pub(crate) fn start(&self) -> Result<Running, StartError> {
        match &self.command {
            Command::Platform(arguments) => arguments.start().map(Running::Platform),
            Command::Engine(arguments) => arguments.start().map(Running::Engine),
            Command::Service(arguments) => arguments.start().map(Running::Service),
        }
    }
}

fn listen(address: SocketAddr, max_connections: usize) -> ListenOptions {
    ListenOptions {
        address,
        max_connections,
    }
}

impl PlatformArguments {
    fn start(&self) -> Result<PlatformServer, StartError> {
        let options = PlatformOptions {
            vm_lag: self.vm_lag,
            ..PlatformOptions::default()
        };
        let platform = MemoryPlatform::new(Arc::new(SystemClock), options);
        PlatformServer::start(&listen(self.listen, self.max_connections), platform)
    }
}

impl EngineArguments {
    fn start(&self) -> Result<EngineServer, StartError> {
        EngineServer::start(EngineOptions {
            listen: listen(self.listen, self.max_connections),
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            fences_orders: !self.ignore_fences,
            token_time: self.token_time,
            capacity: self.capacity,
            cold_capacity: self.cold_capacity,
            cold_overload: self
                .cold_slow
                .map_or(ColdOverload::Fail, ColdOverload::Slow),
            batch_percent: self.batch_percent,
            prefill_time: self.prefill_time,
            cached_prefixes: self.cached_prefixes,
            warm_up_tokens: self.warm_up_tokens,
            load_time: self.load_time,
            report_lag: self.report_lag,
            ..EngineOptions::default()
        })
    }
}

impl ServiceArguments {
    fn start(&self) -> Result<ServiceServer, StartError> {
        ServiceServer::start(ServiceOptions {
            listen: listen(self.listen, self.max_connections),
            name: self.name.as_str().into(),
            capacity: self.capacity,
            service_time: self.service_time,
            ..ServiceOptions::default()
        })
    }
}
