//! Faults that are injected and removed while load runs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use shallottide_e2e::Signal;

use super::FaultContext;

/// Number of simultaneous faults in a round with several faults.
const CONCURRENT_FAULTS: usize = 3;

/// A fault that can be injected into a cluster and removed again.
#[derive(Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) name: &'static str,
    pub(crate) begin: fn(&mut FaultContext),
    pub(crate) end: fn(&mut FaultContext),
}

/// All faults, in the order in which they are injected one at a time.
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
        begin: |ctx| {
            kill_node(ctx);
            kill_node(ctx);
        },
        end: restart_nodes,
    },
    Fault {
        name: "node frozen",
        begin: freeze_node,
        end: unfreeze_nodes,
    },
    Fault {
        name: "node stopped",
        begin: stop_node,
        end: restart_nodes,
    },
    Fault {
        name: "platform cut from a domain",
        begin: |ctx| {
            let domain = ctx.choose_domain();
            partition(ctx, &domain);
            ctx.partitioned_domain = Some(domain);
        },
        end: heal,
    },
    Fault {
        name: "platform cut from all",
        begin: |ctx| partition(ctx, ""),
        end: heal,
    },
    Fault {
        name: "platform slow",
        begin: |ctx| ctx.control_platform(&json!({"faults": {"slow_ms": 300}})),
        end: |ctx| ctx.control_platform(&json!({"faults": {}})),
    },
    Fault {
        name: "platform answers lost",
        begin: |ctx| ctx.control_platform(&json!({"faults": {"lose_answers": 40}})),
        end: |ctx| ctx.control_platform(&json!({"faults": {}})),
    },
    Fault {
        name: "engine killed",
        begin: kill_engine,
        end: restart_engines,
    },
    Fault {
        name: "engines cold",
        begin: |ctx| ctx.control_engines(&json!({"turn_cold": true})),
        end: |_| {},
    },
    Fault {
        name: "engine streams frozen",
        begin: |ctx| ctx.control_engines(&json!({"faults": {"freeze": true, "freeze_after": 4}})),
        end: |ctx| ctx.control_engines(&json!({"faults": {}})),
    },
    Fault {
        name: "engine streams cut",
        begin: |ctx| {
            ctx.control_engines(&json!({"faults": {"cut_streams": 20, "cut_after": 4}}));
        },
        end: |ctx| ctx.control_engines(&json!({"faults": {}})),
    },
    Fault {
        name: "service answers lost",
        begin: |ctx| ctx.control_services(&json!({"faults": {"lose_answers": 10}})),
        end: |ctx| ctx.control_services(&json!({"faults": {}})),
    },
    Fault {
        name: "service silent",
        begin: |ctx| ctx.control_services(&json!({"faults": {"silent": 10}})),
        end: |ctx| ctx.control_services(&json!({"faults": {}})),
    },
    Fault {
        name: "connections silent",
        begin: |ctx| ctx.mute_connections(),
        end: |_| {},
    },
    Fault {
        name: "domain drained",
        begin: drain,
        end: restore,
    },
];

/// Chooses random faults to inject simultaneously.
pub(crate) fn choose_faults(seed: u64) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut remaining: Vec<_> = FAULTS[1..].to_vec();
    let mut take = |_| remaining.remove(rng.random_range(0..remaining.len()));
    (0..CONCURRENT_FAULTS).map(&mut take).collect()
}

fn kill_node(ctx: &mut FaultContext) {
    let number = ctx.choose_node();
    ctx.unavailable_nodes.insert(number);
    ctx.signal_node(number, Signal::KILL);
}

fn stop_node(ctx: &mut FaultContext) {
    let number = ctx.choose_node();
    ctx.signal_node(number, Signal::TERM);
    let exit = ctx.cluster.nodes[number].program.wait();
    if exit.code() != Some(0) {
        ctx.notes.push(format!("node-{number} stopped: {exit}"));
    }
}

/// Restarts all nodes that have exited.
fn restart_nodes(ctx: &mut FaultContext) {
    for number in 0..ctx.cluster.nodes.len() {
        if ctx.cluster.nodes[number].program.has_ended() {
            ctx.cluster.restart_node(number);
        }
    }
}

fn freeze_node(ctx: &mut FaultContext) {
    let number = ctx.choose_node();
    ctx.unavailable_nodes.insert(number);
    ctx.frozen_nodes.insert(number);
    ctx.signal_node(number, Signal::STOP);
}

fn unfreeze_nodes(ctx: &mut FaultContext) {
    for number in std::mem::take(&mut ctx.frozen_nodes) {
        ctx.signal_node(number, Signal::CONT);
    }
}

fn partition(ctx: &mut FaultContext, domain: &str) {
    for node in &ctx.cluster.nodes {
        if domain.is_empty() || node.domain == domain {
            node.platform_proxy.partition();
        }
    }
}

fn heal(ctx: &mut FaultContext) {
    ctx.partitioned_domain = None;
    for node in &ctx.cluster.nodes {
        node.platform_proxy.heal();
    }
}

fn kill_engine(ctx: &mut FaultContext) {
    let number = ctx.choose_number(ctx.cluster.engines.len());
    ctx.killed_engines.insert(number);
    ctx.cluster.engines[number].signal(Signal::KILL);
}

fn restart_engines(ctx: &mut FaultContext) {
    for number in std::mem::take(&mut ctx.killed_engines) {
        ctx.cluster.restart_engine(number);
    }
}

fn drain(ctx: &mut FaultContext) {
    let domain = ctx.choose_domain();
    ctx.run_operator_command(&["drain", "domain", &domain]);
    ctx.drained_domain = Some(domain);
}

fn restore(ctx: &mut FaultContext) {
    if let Some(domain) = ctx.drained_domain.take() {
        ctx.run_operator_command(&["restore", "domain", &domain]);
    }
}
