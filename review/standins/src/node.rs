//! An entry process, started as the deploy file says.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::exchange;

/// The program and its arguments, as in deploy/system.toml, run in the root of the repository.
const PROGRAM: &str = "target/release/shallottide-entry";

/// An entry process; killed when dropped.
pub struct Node {
    pub name: String,
    child: Child,
    boot: PathBuf,
    output: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Three zones of one area.
pub const ZONES: &str = "zones.a=south\nzones.b=south\nzones.c=south\n";

/// Settings of one process.
pub struct Settings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub folder: &'a std::path::Path,
    /// Lines of the zones and their areas.
    pub zones: &'a str,
    /// Further lines, which replace earlier ones of the same name.
    pub further: &'a str,
}

/// Returns a loopback address that no other process of this machine is likely to use.
pub fn next_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    format!("127.{}.{}.{number}", 1 + process % 250, process / 250 % 250)
}

/// Delay after which the platform starts a process again that has ended.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);

fn spawn(boot: &Path, output: &Path) -> Child {
    let stdout = std::fs::OpenOptions::new().append(true).open(output);
    Command::new(PROGRAM)
        .args(["--metrics-port", "9464"])
        .env("SHALLOTTIDE_BOOT", boot)
        .stdout(stdout.expect("a writable folder"))
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap_or_else(|error| {
            eprintln!("{PROGRAM} does not start ({error}): build it first");
            std::process::exit(2)
        })
}

impl Node {
    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.boot, &self.output);
    }

    pub fn start(settings: &Settings<'_>) -> Self {
        Self::start_at(&next_ip(), settings)
    }

    pub fn start_at(ip: &str, settings: &Settings<'_>) -> Self {
        let Settings {
            name,
            zone,
            store,
            folder,
            zones,
            further,
        } = settings;
        let text = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=south\n{zones}\
             listen.front={ip}:8227\nlisten.ready={ip}:8220\nlisten.control={ip}:8229\n\
             port_range=7340,7355\nseeds={ip}:8229\nbootstrap=false\nbear_loss=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1200\nfault_tolerance.machines=2\nfault_tolerance.zones=1\n\
             fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.stability_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n\
             bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_slack=105\nbounds.cold_over=1.5\n\
             bounds.cold_slack=5\nbounds.evac_ms=5000\nbounds.recover_s=12\nbounds.pass_ms=120\n\
             bounds.again_s=0\nbounds.stall_ms=5000\nbounds.require_fence=false\n\
             bounds.ceiling_window_s=5\nbounds.ceiling_over=1.1\nplatform.address={store}\n\
             platform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n\
             {further}"
        );
        let boot = folder.join(format!("{name}.conf"));
        let output = folder.join(format!("{name}.log"));
        std::fs::write(&boot, text).expect("a writable folder");
        std::fs::write(&output, "").expect("a writable folder");
        let child = spawn(&boot, &output);
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            name: (*name).to_string(),
            child,
            boot,
            output,
            front: at(8227),
            ready: at(8220),
        }
    }

    /// Waits until the process answers the readiness check with 200; returns whether it does.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let timeout = Duration::from_millis(500);
            let host = [("Host", "node")];
            let answer = exchange(self.ready, "GET", "/readyz", &host, b"", timeout);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Returns the resident memory in megabytes.
    pub fn resident_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number
            .and_then(|number| number.parse::<u64>().ok())
            .map_or(0, |kilobytes| kilobytes / 1024)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.boot);
    }
}
