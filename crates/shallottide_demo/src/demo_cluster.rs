//! Cluster of stand-ins and entry nodes on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use shallottide::node::{self, NodeAddresses, RunningNode, StopReport};
use shallottide::operate::{Change, ChangeWriter, Outcome, SystemPause, WriteOptions};
use shallottide::platform_client::{ConsulPlatform, PlatformOptions};
use shallottide::settings::{Limits, LogSettings, MetricsSettings, NodeSettings, StopSettings};
use shallottide_types::clock::{Clock, SystemClock};
use shallottide_types::id::DomainId;
use shallottide_types::platform::Vm;
use shallottide_types::record::{Document, KeyHash};
use shallottide_types::secret::Secret;
use standin::engine::{EngineOptions, EngineServer};
use standin::http::ListenOptions;
use standin::platform::{MemoryPlatform, PlatformOptions as StandinOptions, PlatformServer};
use standin::service::{ServiceOptions, ServiceServer};

use crate::sample_records::{TEAM_KEY, sample_records};
use crate::{Caller, DemoError};

/// Failure domain of all parts of the demo.
const DOMAIN: &str = "jkpg";

/// Bearer token of the demo's operator.
const OPERATOR_TOKEN: &str = "operator-demo-token";

/// Secret that the demo's nodes share.
const PEER_KEY: &str = "demo-peer-key-0123456789";

/// Size and timing of a demo cluster.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of engine VMs, all in one fabric domain.
    pub engines: usize,
    /// Number of engine VMs that form one group.
    pub vms_per_group: usize,
    /// Time that an engine takes to load a model.
    pub load_time: Duration,
    /// Time that an engine takes to generate a token.
    pub token_time: Duration,
    /// Log filter of the nodes.
    pub log_filter: String,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            nodes: 2,
            engines: 4,
            vms_per_group: 2,
            load_time: Duration::from_millis(200),
            token_time: Duration::from_millis(20),
            log_filter: "warn".into(),
        }
    }
}

/// Platform, engine and service stand-ins and entry nodes that run in this process.
pub struct DemoCluster {
    nodes: Vec<RunningNode>,
    /// Stand-in for the platform.
    pub platform: PlatformServer,
    /// Stand-ins for the model engines.
    pub engines: Vec<EngineServer>,
    /// Stand-in for the bookings service.
    pub service: ServiceServer,
}

impl DemoCluster {
    /// Starts the stand-ins, writes the sample records to the platform and starts the nodes.
    ///
    /// # Errors
    /// [`DemoError`] if a part can't start or a record can't be written.
    pub fn start(options: &DemoOptions) -> Result<Self, DemoError> {
        let memory_platform = MemoryPlatform::new(Arc::new(SystemClock), StandinOptions::default());
        let platform = PlatformServer::start(&ListenOptions::default(), memory_platform.clone())?;
        let service = ServiceServer::start(ServiceOptions::default())?;
        let engines = start_engines(options)?;
        memory_platform.set_vms(vms(&engines)?);
        let client = Arc::new(client(platform.address())?);
        write_records(&client, &SystemClock, options, service.address())?;
        let nodes = (1..=options.nodes)
            .map(|number| {
                Ok(node::start(
                    settings(number, options, &platform)?,
                    client.clone(),
                )?)
            })
            .collect::<Result<_, DemoError>>()?;
        Ok(Self {
            nodes,
            platform,
            engines,
            service,
        })
    }

    /// Returns the addresses at which a node listens. Nodes are numbered from 0.
    #[must_use]
    pub fn addresses(&self, node: usize) -> NodeAddresses {
        self.nodes[node].addresses()
    }

    /// Returns a caller of a node with the key of the demo's team.
    #[must_use]
    pub fn caller(&self, node: usize) -> Caller {
        Caller::new(self.addresses(node).callers, TEAM_KEY)
    }

    /// Returns the bearer key of the demo's team.
    #[must_use]
    pub fn team_key(&self) -> &'static str {
        TEAM_KEY
    }

    /// Returns the token of the demo's operator.
    #[must_use]
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Removes a running node from the cluster, for the caller to stop or kill. The numbers of later nodes
    /// decrease by one.
    pub fn take_node(&mut self, node: usize) -> RunningNode {
        self.nodes.remove(node)
    }

    /// Stops all nodes gracefully, in reverse order.
    #[must_use]
    pub fn stop(mut self) -> Vec<StopReport> {
        let hurry = AtomicBool::new(false);
        let mut reports = Vec::new();
        while let Some(node) = self.nodes.pop() {
            reports.push(node.stop(&hurry));
        }
        reports
    }
}

fn start_engines(options: &DemoOptions) -> Result<Vec<EngineServer>, DemoError> {
    (1..=options.engines)
        .map(|number| {
            Ok(EngineServer::start(EngineOptions {
                vm: format!("vm-{number}").parse()?,
                load_time: options.load_time,
                token_time: options.token_time,
                ..EngineOptions::default()
            })?)
        })
        .collect()
}

fn vms(engines: &[EngineServer]) -> Result<Vec<Vm>, DemoError> {
    engines
        .iter()
        .map(|engine| {
            Ok(Vm {
                id: engine.report().vm,
                address: engine.address(),
                domain: DOMAIN.parse()?,
                fabric: "fabric-1".parse()?,
                accelerators: 8,
                fences_orders: true,
                leaving: false,
            })
        })
        .collect()
}

fn client(platform: SocketAddr) -> Result<ConsulPlatform, DemoError> {
    let options = PlatformOptions::default().addresses([format!("http://{platform}")]);
    Ok(ConsulPlatform::new(options)?)
}

fn write_records(
    client: &ConsulPlatform,
    clock: &dyn Clock,
    options: &DemoOptions,
    service: SocketAddr,
) -> Result<(), DemoError> {
    let writer = ChangeWriter::new(client, clock, &SystemPause, WriteOptions::default());
    let key_hash = KeyHash::of(TEAM_KEY).to_string();
    let records = sample_records(&key_hash, service, options.vms_per_group);
    for (number, text) in records.iter().enumerate() {
        let change = Change::new(format!("demo-{number}").parse()?, "demo".parse()?);
        let outcome = writer.apply(&Document::from_toml(text)?, &change)?;
        if !matches!(outcome, Outcome::Applied(_)) {
            return Err(DemoError::RecordNotApplied(Box::new(outcome)));
        }
    }
    Ok(())
}

fn settings(
    number: usize,
    options: &DemoOptions,
    platform: &PlatformServer,
) -> Result<NodeSettings, DemoError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(NodeSettings {
        node: format!("jkpg-{number}").parse()?,
        failure_domain: DOMAIN.parse::<DomainId>()?,
        region: "se-south".parse()?,
        callers: any_port,
        peers: any_port,
        operators: any_port,
        platform: vec![format!("http://{}", platform.address())],
        platform_token: Secret::default(),
        peer_key: PEER_KEY.into(),
        operator_tokens: vec![KeyHash::of(OPERATOR_TOKEN)],
        seeds: Vec::new(),
        limits: Limits::default(),
        log: LogSettings {
            filter: options.log_filter.as_str().into(),
            file: None,
        },
        metrics: MetricsSettings::default(),
        stop: StopSettings {
            notice: Duration::from_millis(200),
            ..StopSettings::default()
        },
    })
}
