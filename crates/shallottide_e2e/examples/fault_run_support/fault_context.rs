//! The cluster that faults are injected into.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use shallottide_e2e::{ProcessCluster, Program, Signal, listen_address};

/// The cluster that faults are injected into, and the processes that current faults affect.
pub(crate) struct FaultContext {
    pub(crate) cluster: ProcessCluster,
    /// Nodes that were killed or frozen during this run; their callers may get no response.
    pub(crate) unavailable_nodes: BTreeSet<usize>,
    /// Domain whose nodes are partitioned from the platform.
    pub(crate) partitioned_domain: Option<String>,
    /// Domain drained by an operator command.
    pub(crate) drained_domain: Option<String>,
    /// Killed engines, to be restarted.
    pub(crate) killed_engines: BTreeSet<usize>,
    /// Nodes that are currently frozen.
    pub(crate) frozen_nodes: BTreeSet<usize>,
    /// Problems other than failed calls.
    pub(crate) notes: Vec<String>,
    rng: StdRng,
}

impl FaultContext {
    pub(crate) fn new(cluster: ProcessCluster, seed: u64) -> Self {
        Self {
            cluster,
            unavailable_nodes: BTreeSet::new(),
            partitioned_domain: None,
            drained_domain: None,
            killed_engines: BTreeSet::new(),
            frozen_nodes: BTreeSet::new(),
            notes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses a random node that isn't already killed or frozen.
    pub(crate) fn choose_node(&mut self) -> usize {
        loop {
            let number = self.rng.random_range(0..self.cluster.nodes.len());
            if !self.unavailable_nodes.contains(&number) {
                return number;
            }
        }
    }

    pub(crate) fn choose_domain(&mut self) -> String {
        let number = self.choose_number(self.cluster.nodes.len());
        self.cluster.nodes[number].domain.clone()
    }

    pub(crate) fn choose_number(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub(crate) fn signal_node(&self, number: usize, signal: Signal) {
        self.cluster.nodes[number].program.signal(signal);
    }

    pub(crate) fn unavailable_addresses(&self) -> BTreeSet<String> {
        let address = |number: &usize| self.cluster.nodes[*number].callers.to_string();
        self.unavailable_nodes.iter().map(address).collect()
    }

    pub(crate) fn control_engines(&self, control: &Value) {
        self.control(&self.cluster.engines, control);
    }

    pub(crate) fn control_services(&self, control: &Value) {
        self.control(&self.cluster.services, control);
    }

    pub(crate) fn control_platform(&self, control: &Value) {
        let address = listen_address(&self.cluster.platform);
        self.cluster.put(address, "/control", control);
    }

    /// Silences all open connections to engines and services without closing them.
    pub(crate) fn mute_connections(&self) {
        let programs = self.cluster.engines.iter().chain(&self.cluster.services);
        for address in programs.map(listen_address) {
            self.cluster.put(address, "/control/mute", &json!({}));
        }
    }

    /// Runs an operator command and records a failure in the notes.
    pub(crate) fn run_operator_command(&mut self, args: &[&str]) {
        let output = self.cluster.run_operator_command(args);
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stdout);
            let errors = String::from_utf8_lossy(&output.stderr);
            let code = output.status;
            self.notes.push(format!("{args:?}: {code} {text}{errors}"));
        }
    }

    fn control(&self, programs: &[Program], control: &Value) {
        let addresses: Vec<SocketAddr> = programs.iter().map(listen_address).collect();
        for address in addresses {
            self.cluster.put(address, "/control", control);
        }
    }
}
