//! A platform, engines, services and entry nodes, each a process of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shallottide::platform_client::{ConsulPlatform, PlatformOptions};
use shallottide_demo::Caller;
use shallottide_types::platform::{Platform, Precondition, Vm};
use shallottide_types::record::KeyHash;
use standin::wire::Wire;
use ureq::Agent;

use crate::program::{Program, program_path};
use crate::records::{TEAM_KEY, records, stored};

/// Token of the cluster's operator.
const OPERATOR_TOKEN: &str = "operator-token";

/// Longest time that the cluster may take to serve.
const START_TIMEOUT: Duration = Duration::from_mins(2);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// How large a cluster is.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Failure domains; nodes, engines and services are dealt out to them in turn.
    pub domains: usize,
    /// Entry nodes.
    pub nodes: usize,
    /// Engine members.
    pub engines: usize,
    /// Members that form one group.
    pub vms_per_group: usize,
    /// Groups wanted in each failure domain; VMs beyond these are spares.
    pub groups_per_domain: usize,
    /// Servers of the bookings service.
    pub services: usize,
    /// Further arguments of the engines.
    pub engine_args: Vec<&'static str>,
    /// Time from SIGTERM until a node's listener closes.
    pub notice: &'static str,
    /// Where settings and logs go.
    pub dir: PathBuf,
}

impl ClusterOptions {
    /// Creates options for two nodes, eight engine members and one service.
    #[must_use]
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self {
            domains: 1,
            nodes: 2,
            engines: 8,
            vms_per_group: 4,
            groups_per_domain: 64,
            services: 1,
            engine_args: vec!["--load-time", "200ms", "--token-time", "5ms"],
            notice: "200ms",
            dir: dir.into(),
        }
    }

    fn domain_names(&self) -> Vec<String> {
        (1..=self.domains)
            .map(|number| format!("domain-{number}"))
            .collect()
    }
}

/// One entry node's process.
pub struct EntryNode {
    /// The process.
    pub program: Program,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Its way to the platform.
    pub platform_wire: Wire,
    /// Its failure domain.
    pub domain: String,
}

impl EntryNode {
    /// Returns the addresses that a restart of the node listens on.
    fn addresses(&self) -> NodeAddresses {
        NodeAddresses {
            callers: self.callers,
            peers: address(&self.program.ready, "peers"),
            operators: self.operators,
        }
    }

    /// Returns a caller of this node with the team's key.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller::new(self.callers, TEAM_KEY)
    }
}

/// Where a node listens.
#[derive(Clone, Copy)]
struct NodeAddresses {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl Default for NodeAddresses {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any,
            peers: any,
            operators: any,
        }
    }
}

/// All processes of a cluster; killed when dropped.
pub struct ProcessCluster {
    options: ClusterOptions,
    agent: Agent,
    /// How often engines were started again.
    engine_starts: u64,
    /// The platform's process.
    pub platform: Program,
    /// The engines' processes.
    pub engines: Vec<Program>,
    /// The services' processes.
    pub services: Vec<Program>,
    /// The entry nodes.
    pub nodes: Vec<EntryNode>,
}

impl ProcessCluster {
    /// Starts all processes and writes the records.
    ///
    /// # Panics
    /// If a process doesn't start.
    #[must_use]
    pub fn start(options: ClusterOptions) -> Self {
        std::fs::create_dir_all(&options.dir).expect("a writable directory");
        let dir = &options.dir;
        let platform = Program::start("standin", &["platform"], &dir.join("platform.log"));
        let engines = start_engines(&options);
        let services = (0..options.services)
            .map(|number| {
                let log = dir.join(format!("service-{number}.log"));
                Program::start("standin", &["service"], &log)
            })
            .collect();
        let mut cluster = Self {
            agent: agent(),
            engine_starts: 0,
            platform,
            engines,
            services,
            nodes: Vec::new(),
            options,
        };
        cluster.fill_platform();
        for number in 0..cluster.options.nodes {
            let node = cluster.start_node(number);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Starts the node of that number on free ports.
    ///
    /// # Panics
    /// If the process doesn't start.
    #[must_use]
    pub fn start_node(&self, number: usize) -> EntryNode {
        let wire = Wire::open().expect("a free port");
        wire.lead_to(listening(&self.platform));
        self.start_node_at(number, wire, NodeAddresses::default())
    }

    /// Kills the node of that number if it runs, and starts it again on the same ports.
    ///
    /// # Panics
    /// If the process doesn't start.
    pub fn restart_node(&mut self, number: usize) {
        let old = self.nodes.remove(number);
        let addresses = old.addresses();
        drop(old.program);
        let node = self.start_node_at(number, old.platform_wire, addresses);
        self.nodes.insert(number, node);
    }

    /// Kills the engine of that number if it runs, and starts it again on the same port.
    ///
    /// # Panics
    /// If the process doesn't start.
    pub fn restart_engine(&mut self, number: usize) {
        let old = self.engines.remove(number);
        let listen = listening(&old).to_string();
        drop(old);
        self.engine_starts += 1;
        let incarnation = (1 + self.engine_starts).to_string();
        let more = ["--listen", &listen, "--incarnation", &incarnation];
        let engine = start_engine(&self.options, number, &more);
        self.engines.insert(number, engine);
    }

    fn start_node_at(&self, number: usize, wire: Wire, at: NodeAddresses) -> EntryNode {
        let names = self.options.domain_names();
        let domain = names[number % names.len()].clone();
        let settings = self.settings(number, &domain, wire.address(), at);
        let path = self.options.dir.join(format!("node-{number}.toml"));
        std::fs::write(&path, settings).expect("a writable directory");
        let log = self.options.dir.join(format!("node-{number}.log"));
        let program = start_daemon(&path, &log);
        EntryNode {
            callers: address(&program.ready, "callers"),
            operators: address(&program.ready, "operators"),
            platform_wire: wire,
            domain,
            program,
        }
    }

    fn settings(
        &self,
        number: usize,
        domain: &str,
        platform: SocketAddr,
        at: NodeAddresses,
    ) -> String {
        let NodeAddresses {
            callers,
            peers,
            operators,
        } = at;
        let token = KeyHash::of(OPERATOR_TOKEN);
        let seeds: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.addresses().peers.to_string())
            .collect();
        let notice = self.options.notice;
        format!(
            r#"
            node = "node-{number}"
            failure_domain = "{domain}"
            region = "se-south"
            callers = "{callers}"
            peers = "{peers}"
            operators = "{operators}"
            platform = ["http://{platform}"]
            peer_key = "0123456789abcdef"
            seeds = {seeds:?}
            operator_tokens = ["{token}"]
            [stop]
            notice = "{notice}"
            deadline = "60s"
            "#
        )
    }

    /// Writes the records and the VM list into the platform.
    fn fill_platform(&self) {
        let base = format!("http://{}", listening(&self.platform));
        let client = ConsulPlatform::new(PlatformOptions::default().addresses([base]));
        let client = client.expect("a valid address");
        let services: Vec<SocketAddr> = self.services.iter().map(listening).collect();
        let names = self.options.domain_names();
        for text in records(&self.options, &names, &services) {
            let (key, value) = stored(&text);
            let written = client.swap(&key, &value, Precondition::Absent);
            written.expect("the platform serves");
        }
        let control = json!({"vms": self.vms()});
        self.put(listening(&self.platform), "/control", &control);
    }

    fn vms(&self) -> Vec<Vm> {
        let names = self.options.domain_names();
        let vm = |(number, engine): (usize, &Program)| {
            let domain = &names[number % names.len()];
            Vm {
                id: format!("vm-{number}").parse().expect("a valid id"),
                address: listening(engine),
                domain: domain.parse().expect("a valid id"),
                fabric: format!("fabric-{domain}").parse().expect("a valid id"),
                accelerators: 8,
                fences_orders: true,
                leaving: false,
            }
        };
        self.engines.iter().enumerate().map(vm).collect()
    }

    /// Sends a JSON body to a stand-in's control interface.
    ///
    /// # Panics
    /// If the stand-in refuses it.
    pub fn put(&self, address: SocketAddr, path: &str, body: &Value) {
        let url = format!("http://{address}{path}");
        let response = self
            .agent
            .put(url)
            .send_json(body)
            .expect("the stand-in serves");
        assert!(response.status().is_success(), "{body} was refused");
    }

    /// Reads JSON from a stand-in.
    ///
    /// # Panics
    /// If the stand-in doesn't answer.
    #[must_use]
    pub fn get(&self, address: SocketAddr, path: &str) -> Value {
        let url = format!("http://{address}{path}");
        let mut response = self.agent.get(url).call().expect("the stand-in serves");
        response.body_mut().read_json().expect("JSON")
    }

    /// Runs the operators' command line against this cluster and returns how it ended.
    ///
    /// # Panics
    /// If the program isn't built.
    #[must_use]
    pub fn operate(&self, args: &[&str]) -> Output {
        let nodes: Vec<_> = self.nodes.iter().map(|n| n.operators.to_string()).collect();
        let platform = listening(&self.platform);
        let settings = format!(
            "platform = [\"http://{platform}\"]\nnodes = {nodes:?}\n\
             operator = \"ana\"\ntoken = \"{OPERATOR_TOKEN}\"\n"
        );
        let path = self.options.dir.join("shallottide.toml");
        std::fs::write(&path, settings).expect("a writable directory");
        let mut command = Command::new(program_path("shallottide"));
        command.arg("--settings").arg(path).args(args);
        command.output().expect("shallottide is built")
    }

    /// Returns how often each key ran on all services together.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> u64 {
        let runs = |service: &Program| self.get(listening(service), "/control/runs")[key].as_u64();
        self.services.iter().filter_map(runs).sum()
    }

    /// Returns a node's status, or nothing when it doesn't answer.
    #[must_use]
    pub fn status(&self, node: &EntryNode) -> Option<Value> {
        let url = format!("http://{}/status", node.operators);
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let request = self.agent.get(url).header("authorization", bearer);
        request.call().ok()?.body_mut().read_json().ok()
    }

    /// Waits until every node answers for a completion and for a booking.
    ///
    /// # Panics
    /// If that takes too long.
    pub fn wait_until_serving(&self) {
        for (number, node) in self.nodes.iter().enumerate() {
            let caller = node.caller();
            let served =
                caller.retry_until_served("completion", |caller| caller.complete("warm up", 2));
            assert_eq!(served.expect("an answer").status, 200);
            let key = format!("start-{}-{number}", node.program.id());
            let served = caller.retry_until_served("booking", |caller| caller.book(&key, 1));
            assert_eq!(served.expect("an answer").status, 200);
        }
    }

    /// Returns `shallottide-load` with the arguments that reach all nodes and services.
    #[must_use]
    pub fn load_command(&self) -> Command {
        let mut command = Command::new(program_path("shallottide-load"));
        for node in &self.nodes {
            command.arg("--target").arg(node.callers.to_string());
        }
        for service in &self.services {
            command
                .arg("--check-runs")
                .arg(listening(service).to_string());
        }
        command.args([
            "--key",
            TEAM_KEY,
            "--model",
            "tide",
            "--service",
            "bookings",
        ]);
        command
    }

    /// Waits until `holds` does.
    ///
    /// # Panics
    /// If that takes too long.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < deadline,
                "{what}: not within {START_TIMEOUT:?}"
            );
            std::thread::sleep(PAUSE);
        }
    }
}

/// Starts an entry node. A port of an earlier start may be in use for an outgoing connection
/// of any process until that ends.
fn start_daemon(settings: &Path, log: &Path) -> Program {
    let deadline = Instant::now() + START_TIMEOUT;
    let args = ["--config", settings.to_str().expect("a text path")];
    loop {
        match Program::try_start("shallottided", &args, log) {
            Ok(program) => return program,
            Err(e) if !e.contains("Address already in use") || Instant::now() > deadline => {
                panic!("{e}")
            }
            Err(_) => std::thread::sleep(PAUSE),
        }
    }
}

fn start_engines(options: &ClusterOptions) -> Vec<Program> {
    (0..options.engines)
        .map(|number| start_engine(options, number, &[]))
        .collect()
}

fn start_engine(options: &ClusterOptions, number: usize, more: &[&str]) -> Program {
    let vm = format!("vm-{number}");
    let mut args = vec!["engine", "--vm", &vm];
    args.extend(&options.engine_args);
    args.extend(more);
    Program::start("standin", &args, &log_path(&options.dir, &vm))
}

fn log_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.log"))
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .timeout_global(Some(Duration::from_secs(10)))
        .build();
    Agent::new_with_config(config)
}

/// Returns where a stand-in listens.
///
/// # Panics
/// If it didn't tell.
#[must_use]
pub fn listening(program: &Program) -> SocketAddr {
    address(&program.ready, "listening")
}

fn address(ready: &Value, field: &str) -> SocketAddr {
    let text = ready[field].as_str().expect("an address");
    text.parse().expect("an address")
}
