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
    /// address to listen on; port 0 chooses a free port
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// maximum number of open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// delay until readers see a change of the VM list, such as 2s
    #[argh(option, default = "Duration::ZERO", from_str_fn(duration_text::parse))]
    vm_lag: Duration,
}

/// One member of a group of VMs that serve a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on; port 0 chooses a free port
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// maximum number of open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// id of the engine's VM
    #[argh(option, default = "EngineOptions::default().vm")]
    vm: VmId,
    /// incarnation: number of this start of the engine
    #[argh(option, default = "EngineOptions::default().incarnation")]
    incarnation: Incarnation,
    /// accept orders regardless of their fencing token
    #[argh(switch)]
    ignore_fences: bool,
    /// generation time of a token when no other request runs, such as 10ms
    #[argh(
        option,
        default = "EngineOptions::default().token_time",
        from_str_fn(duration_text::parse)
    )]
    token_time: Duration,
    /// maximum number of concurrent requests
    #[argh(option, default = "EngineOptions::default().capacity")]
    capacity: u32,
    /// concurrent requests that a cold engine handles
    #[argh(option, default = "EngineOptions::default().cold_capacity")]
    cold_capacity: u32,
    /// factor on the token time above the cold capacity; without it, the engine fails these
    /// requests
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
    /// capacity of the prefix cache
    #[argh(option, default = "EngineOptions::default().cached_prefixes")]
    cached_prefixes: usize,
    /// tokens to generate until the engine is warm
    #[argh(option, default = "EngineOptions::default().warm_up_tokens")]
    warm_up_tokens: u64,
    /// time to load a model, such as 2s
    #[argh(
        option,
        default = "EngineOptions::default().load_time",
        from_str_fn(duration_text::parse)
    )]
    load_time: Duration,
    /// age of the load figures in the engine's report
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
    /// address to listen on; port 0 chooses a free port
    #[argh(option, default = "ListenOptions::default().address")]
    listen: SocketAddr,
    /// maximum number of open connections
    #[argh(option, default = "ListenOptions::default().max_connections")]
    max_connections: usize,
    /// service name in responses
    #[argh(option, default = "ServiceOptions::default().name.into()")]
    name: String,
    /// maximum number of concurrent calls
    #[argh(option, default = "ServiceOptions::default().capacity")]
    capacity: u32,
    /// duration of each call, such as 5ms
    #[argh(
        option,
        default = "ServiceOptions::default().service_time",
        from_str_fn(duration_text::parse)
    )]
    service_time: Duration,
}

/// A running stand-in; stopped when dropped.
pub(crate) enum RunningServer {
    /// The platform.
    Platform(PlatformServer),
    /// A model engine.
    Engine(EngineServer),
    /// A plain service.
    Service(ServiceServer),
}

impl RunningServer {
    /// Returns the bound address.
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
    pub(crate) fn start(&self) -> Result<RunningServer, StartError> {
        match &self.command {
            Command::Platform(arguments) => arguments.start().map(RunningServer::Platform),
            Command::Engine(arguments) => arguments.start().map(RunningServer::Engine),
            Command::Service(arguments) => arguments.start().map(RunningServer::Service),
        }
    }
}

fn listen_options(address: SocketAddr, max_connections: usize) -> ListenOptions {
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
        PlatformServer::start(&listen_options(self.listen, self.max_connections), platform)
    }
}

impl EngineArguments {
    fn start(&self) -> Result<EngineServer, StartError> {
        EngineServer::start(EngineOptions {
            listen: listen_options(self.listen, self.max_connections),
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
            listen: listen_options(self.listen, self.max_connections),
            name: self.name.as_str().into(),
            capacity: self.capacity,
            service_time: self.service_time,
            ..ServiceOptions::default()
        })
    }
}
