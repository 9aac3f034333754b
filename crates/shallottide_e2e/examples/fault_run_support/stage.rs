//! The cluster that faults happen to.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use shallottide_e2e::{ProcessCluster, Program, Signal, listen_address};

/// The cluster that faults happen to, and the processes chosen for them.
pub(crate) struct Stage {
    pub(crate) cluster: ProcessCluster,
    /// Nodes that were killed or frozen, whose callers lose their connections.
    pub(crate) lost_nodes: BTreeSet<usize>,
    /// Domain whose platform wires are cut.
    pub(crate) cut_domain: Option<String>,
    /// Domain taken out by operators.
    pub(crate) drained: Option<String>,
    /// Engines that were killed.
    pub(crate) killed_engines: BTreeSet<usize>,
    /// Nodes that were frozen.
    pub(crate) frozen: BTreeSet<usize>,
    /// What went wrong besides calls.
    pub(crate) notes: Vec<String>,
    rng: StdRng,
}

impl Stage {
    pub(crate) fn new(cluster: ProcessCluster, seed: u64) -> Self {
        Self {
            cluster,
            lost_nodes: BTreeSet::new(),
            cut_domain: None,
            drained: None,
            killed_engines: BTreeSet::new(),
            frozen: BTreeSet::new(),
            notes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses a node that no other fault has taken.
    pub(crate) fn any_node(&mut self) -> usize {
        loop {
            let number = self.rng.random_range(0..self.cluster.nodes.len());
            if !self.lost_nodes.contains(&number) {
                return number;
            }
        }
    }

    pub(crate) fn any_domain(&mut self) -> String {
        let number = self.any_number(self.cluster.nodes.len());
        self.cluster.nodes[number].domain.clone()
    }

    pub(crate) fn any_number(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub(crate) fn signal_node(&self, number: usize, signal: Signal) {
        self.cluster.nodes[number].program.signal(signal);
    }

    pub(crate) fn lost_addresses(&self) -> BTreeSet<String> {
        let address = |number: &usize| self.cluster.nodes[*number].callers.to_string();
        self.lost_nodes.iter().map(address).collect()
    }

    pub(crate) fn each_engine(&self, control: &Value) {
        self.control(&self.cluster.engines, control);
    }

    pub(crate) fn each_service(&self, control: &Value) {
        self.control(&self.cluster.services, control);
    }

    pub(crate) fn platform(&self, control: &Value) {
        let address = listen_address(&self.cluster.platform);
        self.cluster.put(address, "/control", control);
    }

    /// Makes all open connections to engines and services go silent.
    pub(crate) fn mute(&self) {
        let programs = self.cluster.engines.iter().chain(&self.cluster.services);
        for address in programs.map(listen_address) {
            self.cluster.put(address, "/control/mute", &json!({}));
        }
    }

    /// Runs the operators' command line and notes a failure.
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
