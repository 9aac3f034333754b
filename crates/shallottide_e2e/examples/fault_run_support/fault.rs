//! Faults that begin and end during load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use shallottide_e2e::Signal;

use super::Stage;

/// Faults that happen at once in a round of several.
const TOGETHER: usize = 3;

/// A fault.
#[derive(Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) name: &'static str,
    pub(crate) begin: fn(&mut Stage),
    pub(crate) end: fn(&mut Stage),
}

/// All faults, in the order in which they happen alone.
pub(crate) const FAULTS: &[Fault] = &[
    Fault {
        name: "none",
        begin: |_| {},
        end: |_| {},
    },
    Fault {
        name: "node killed",
        begin: kill_node,
        end: restart_nodes,
    },
    Fault {
        name: "two nodes killed",
        begin: |stage| {
            kill_node(stage);
            kill_node(stage);
        },
        end: restart_nodes,
    },
    Fault {
        name: "node frozen",
        begin: freeze_node,
        end: thaw_nodes,
    },
    Fault {
        name: "node stopped",
        begin: stop_node,
        end: restart_nodes,
    },
    Fault {
        name: "platform cut from a domain",
        begin: |stage| {
            let domain = stage.any_domain();
            partition(stage, &domain);
            stage.cut_domain = Some(domain);
        },
        end: heal,
    },
    Fault {
        name: "platform cut from all",
        begin: |stage| partition(stage, ""),
        end: heal,
    },
    Fault {
        name: "platform slow",
        begin: |stage| stage.platform(&json!({"faults": {"slow_ms": 300}})),
        end: |stage| stage.platform(&json!({"faults": {}})),
    },
    Fault {
        name: "platform answers lost",
        begin: |stage| stage.platform(&json!({"faults": {"lose_answers": 40}})),
        end: |stage| stage.platform(&json!({"faults": {}})),
    },
    Fault {
        name: "engine killed",
        begin: kill_engine,
        end: restart_engines,
    },
    Fault {
        name: "engines cold",
        begin: |stage| stage.each_engine(&json!({"turn_cold": true})),
        end: |_| {},
    },
    Fault {
        name: "engine streams frozen",
        begin: |stage| stage.each_engine(&json!({"faults": {"freeze": true, "freeze_after": 4}})),
        end: |stage| stage.each_engine(&json!({"faults": {}})),
    },
    Fault {
        name: "engine streams cut",
        begin: |stage| {
            stage.each_engine(&json!({"faults": {"cut_streams": 20, "cut_after": 4}}));
        },
        end: |stage| stage.each_engine(&json!({"faults": {}})),
    },
    Fault {
        name: "service answers lost",
        begin: |stage| stage.each_service(&json!({"faults": {"lose_answers": 10}})),
        end: |stage| stage.each_service(&json!({"faults": {}})),
    },
    Fault {
        name: "service silent",
        begin: |stage| stage.each_service(&json!({"faults": {"silent": 10}})),
        end: |stage| stage.each_service(&json!({"faults": {}})),
    },
    Fault {
        name: "connections silent",
        begin: |stage| stage.mute(),
        end: |_| {},
    },
    Fault {
        name: "domain drained",
        begin: drain,
        end: restore,
    },
];

/// Chooses faults that happen at once.
pub(crate) fn together(seed: u64) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut left: Vec<_> = FAULTS[1..].to_vec();
    let mut take = |_| left.remove(rng.random_range(0..left.len()));
    (0..TOGETHER).map(&mut take).collect()
}

fn kill_node(stage: &mut Stage) {
    let number = stage.any_node();
    stage.lost_nodes.insert(number);
    stage.signal_node(number, Signal::KILL);
}

fn stop_node(stage: &mut Stage) {
    let number = stage.any_node();
    stage.signal_node(number, Signal::TERM);
    let exit = stage.cluster.nodes[number].program.wait();
    if exit.code() != Some(0) {
        stage.notes.push(format!("node-{number} stopped: {exit}"));
    }
}

/// Starts all nodes again that have ended.
fn restart_nodes(stage: &mut Stage) {
    for number in 0..stage.cluster.nodes.len() {
        if stage.cluster.nodes[number].program.has_ended() {
            stage.cluster.restart_node(number);
        }
    }
}

fn freeze_node(stage: &mut Stage) {
    let number = stage.any_node();
    stage.lost_nodes.insert(number);
    stage.frozen.insert(number);
    stage.signal_node(number, Signal::STOP);
}

fn thaw_nodes(stage: &mut Stage) {
    for number in std::mem::take(&mut stage.frozen) {
        stage.signal_node(number, Signal::CONT);
    }
}

fn partition(stage: &mut Stage, domain: &str) {
    for node in &stage.cluster.nodes {
        if domain.is_empty() || node.domain == domain {
            node.platform_proxy.partition();
        }
    }
}

fn heal(stage: &mut Stage) {
    stage.cut_domain = None;
    for node in &stage.cluster.nodes {
        node.platform_proxy.heal();
    }
}

fn kill_engine(stage: &mut Stage) {
    let number = stage.any_number(stage.cluster.engines.len());
    stage.killed_engines.insert(number);
    stage.cluster.engines[number].signal(Signal::KILL);
}

fn restart_engines(stage: &mut Stage) {
    for number in std::mem::take(&mut stage.killed_engines) {
        stage.cluster.restart_engine(number);
    }
}

fn drain(stage: &mut Stage) {
    let domain = stage.any_domain();
    stage.run_operator_command(&["drain", "domain", &domain]);
    stage.drained = Some(domain);
}

fn restore(stage: &mut Stage) {
    if let Some(domain) = stage.drained.take() {
        stage.run_operator_command(&["restore", "domain", &domain]);
    }
}
