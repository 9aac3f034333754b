//! An entry process, started as the deploy file says.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/shallottide-entry";
/// Port of the metrics in the deploy file's command.
const METRICS_PORT: &str = "9464";
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const PORT_RANGE: (u16, u16) = (7340, 7355);

/// A temporary folder, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> std::io::Result<Self> {
        let name = format!("shallottide-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Where a node runs, and what its settings say.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    settings: PathBuf,
    output: PathBuf,
}

/// A running process; killed when dropped.
pub struct Node {
    child: Child,
}

/// Returns whether all ports that a node uses are free at an address.
fn is_free(ip: IpAddr) -> bool {
    let metrics = METRICS_PORT.parse().unwrap_or(0);
    let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, metrics];
    let is_tcp_free = |port: &u16| TcpListener::bind((ip, *port)).is_ok();
    ports.iter().all(is_tcp_free) && UdpSocket::bind((ip, PORT_RANGE.0)).is_ok()
}

/// Creates machines in zones, with addresses at which their ports are free.
pub fn machines(
    zones: &[(&str, usize)],
    store: SocketAddr,
    folder: &Path,
) -> std::io::Result<Vec<Machine>> {
    let process = std::process::id();
    let [_, _, a, b] = process.to_be_bytes();
    let mut ips = (10..250_u8)
        .map(|last| IpAddr::V4(Ipv4Addr::new(127, 16 + a % 200, b, last)))
        .filter(|ip| is_free(*ip));
    let mut machines = Vec::new();
    for (zone, count) in zones {
        for number in 1..=*count {
            let name = format!("front-{zone}-{number}");
            let ip = ips.next().ok_or(std::io::ErrorKind::AddrInUse)?;
            machines.push(Machine {
                settings: folder.join(format!("{name}.conf")),
                output: folder.join(format!("{name}.log")),
                zone: (*zone).into(),
                name,
                ip,
            });
        }
    }
    let seeds = machines.iter().take(3);
    let seeds: Vec<_> = seeds.map(|m| format!("{}:{CONTROL_PORT}", m.ip)).collect();
    let names = zones
        .iter()
        .map(|(zone, _)| format!("zones.{zone}=se-south\n"));
    let names: String = names.collect();
    for machine in &machines {
        let (name, zone, ip) = (&machine.name, &machine.zone, machine.ip);
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=se-south\n{names}listen.front={ip}:{FRONT_PORT}\n\
             listen.ready={ip}:{READY_PORT}\nlisten.control={ip}:{CONTROL_PORT}\n\
             port_range={},{}\nseeds={}\nbootstrap=true\nbear_loss=false\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stability_window_ms=3000\n\
             bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_ms=5000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n\
             bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=107\n\
             bounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evac_ms=5000\nbounds.recover_s=12\n\
             bounds.pass_ms=120\nbounds.again_s=0\nbounds.stall_ms=5000\nbounds.require_fence=false\n\
             bounds.ceiling_window_s=5\nbounds.ceiling_over=1.1\nplatform.address={store}\n\
             platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
            PORT_RANGE.0,
            PORT_RANGE.1,
            seeds.join(",")
        );
        std::fs::write(&machine.settings, text)?;
    }
    Ok(machines)
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Starts the process.
    pub fn start(&self) -> std::io::Result<Node> {
        let output = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let mut command = Command::new(PROGRAM);
        command.args(["--metrics-port", METRICS_PORT]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("SHALLOTTIDE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Node { child })
    }
}

impl Node {
    /// Kills the process.
    pub fn kill(&mut self) {
        // Fails if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
