//! An entry process, started as the deploy file starts it.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::{Request, exchange};
use crate::store::Store;

/// The bounds of the sheets, which the cases quote.
const BOUNDS: &str = "\
bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stability_window_ms=3000\nbounds.ack_ms=4000\n\
bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n\
bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
bounds.budget_window_s=10\nbounds.budget_slack=107\nbounds.cold_over=1.5\nbounds.cold_slack=5\n\
bounds.evac_ms=5000\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.again_s=0\n\
bounds.stall_ms=5000\nbounds.require_fence=false\nbounds.ceiling_window_s=5\n\
bounds.ceiling_over=1.1\n";

pub const ZONES: [&str; 3] = ["jkpg", "vmo", "hlm"];

/// Machines, as on the sheet: three, three and two in the zones.
const MACHINES: usize = 8;

/// A running entry process; killed when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Where entry processes are started.
pub struct Machines<'a> {
    /// The repository.
    pub root: &'a Path,
    /// Folder for settings files and outputs.
    pub folder: &'a Path,
    pub store: &'a Store,
}

/// Returns an address of this run on the loopback network.
pub fn loopback(number: usize) -> String {
    let process = std::process::id();
    format!(
        "127.{}.{}.{number}",
        20 + process % 200,
        process / 200 % 250
    )
}

impl Machines<'_> {
    /// Starts the processes of all machines, and waits until they are ready.
    pub async fn start_all(&self) -> Result<Vec<Node>, Box<dyn std::error::Error>> {
        let mut nodes = Vec::new();
        for index in 0..MACHINES {
            nodes.push(self.start(ZONES[index % ZONES.len()], index + 1)?);
        }
        for node in &nodes {
            if !node.wait_until_ready(Duration::from_secs(10)).await {
                return Err(format!("{} is not ready", node.name).into());
            }
        }
        Ok(nodes)
    }

    /// Starts the process of one machine.
    fn start(&self, zone: &str, number: usize) -> std::io::Result<Node> {
        let ip = loopback(number);
        let name = format!("front-{zone}-{number}");
        let store = self.store.address;
        let zones = ZONES
            .map(|zone| format!("zones.{zone}=se-south\n"))
            .concat();
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=se-south\n{zones}listen.front={ip}:8227\n\
             listen.ready={ip}:8220\nlisten.control={ip}:8229\nport_range=7340,7355\n\
             seeds={}:8229,{}:8229,{}:8229\nbootstrap=true\nbear_loss=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             {BOUNDS}platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n",
            loopback(1),
            loopback(2),
            loopback(3),
        );
        let boot = self.folder.join(format!("{name}.conf"));
        std::fs::write(&boot, text)?;
        let output = self.folder.join(format!("{name}.log"));
        let stdout = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&output)?;
        let stderr = stdout.try_clone()?;
        let mut command = Command::new(self.root.join("target/release/shallottide-entry"));
        command.args(["--metrics-port", "9464"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("SHALLOTTIDE_BOOT", &boot);
        let child = command
            .current_dir(self.root)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()?;
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Node {
            name,
            front: at(8227),
            ready: at(8220),
            child,
        })
    }
}

impl Node {
    /// Waits until the process says that it is ready; returns whether it is.
    async fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let request = Request::get("/readyz", "node");
            let answer = exchange(self.ready, &request, Duration::from_millis(500)).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
