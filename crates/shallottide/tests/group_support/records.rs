//! Short constructors of ids and records.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::id::{DomainId, Incarnation, NodeId};
use shallottide_types::peer::NodeInfo;
use shallottide_types::platform::Vm;
use shallottide_types::record::{
    DomainRecord, DomainState, Generation, ModelRecord, TeamRecord, UpstreamRecord, UpstreamState,
};

/// Parses an id that is known to be valid.
pub(crate) fn id<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid id")
}

pub(crate) const DOMAIN: &str = "jkpg";

pub(crate) fn domain() -> DomainId {
    id(DOMAIN)
}

pub(crate) fn node_info(name: &str, domain: &str, port: u16) -> NodeInfo {
    NodeInfo {
        node: id(name),
        incarnation: Incarnation(1),
        domain: id(domain),
        address: ([127, 0, 0, 1], port).into(),
        stopping: false,
    }
}

/// Returns a VM whose id and port contain its number.
pub(crate) fn vm(number: u16, fabric: &str) -> Vm {
    Vm {
        id: id(&format!("vm-{number:03}")),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        domain: domain(),
        fabric: id(fabric),
        accelerators: 8,
        fences_orders: true,
        leaving: false,
    }
}

/// Returns VMs of several fabric domains, numbered consecutively.
pub(crate) fn vms(fabrics: &[(&str, u16)]) -> Vec<Vm> {
    let mut vms = Vec::new();
    for (fabric, count) in fabrics {
        for _ in 0..*count {
            let number = u16::try_from(vms.len()).expect("few VMs");
            vms.push(vm(number, fabric));
        }
    }
    vms
}

pub(crate) fn model(name: &str, vms_per_group: u8, groups: u32, priority: u8) -> ModelRecord {
    ModelRecord {
        id: id(name),
        vms_per_group,
        groups: BTreeMap::from([(domain(), groups)]),
        cold_limit: 2,
        full_limit: 16,
        priority,
        resumable: true,
        other_domains: true,
        split: None,
    }
}

pub(crate) fn upstream(name: &str, service: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: id(name),
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: domain(),
        service: id(service),
        cold_limit: 2,
        full_limit: 16,
        state: UpstreamState::Serving,
        generation: Generation::New,
    }
}

pub(crate) fn domain_record(name: &str, state: DomainState) -> DomainRecord {
    DomainRecord {
        id: id(name),
        region: id("se-south"),
        state,
    }
}

pub(crate) fn team(name: &str, max_in_flight: u32, priority: u8) -> TeamRecord {
    TeamRecord {
        id: id(name),
        key_hashes: Vec::new(),
        rate: id("1000/s"),
        max_in_flight,
        priority,
    }
}

pub(crate) fn call(number: u64, target: Target) -> CallHead {
    CallHead {
        id: id(&format!("call-{number}")),
        team: id("depot"),
        target,
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: None,
        key: None,
        stream: true,
        prefix: None,
        time_left: Duration::from_secs(10),
        trace: TraceContext::default(),
    }
}

/// Returns the ids of the first `count` nodes.
pub(crate) fn node_ids(count: usize) -> Vec<NodeId> {
    (0..count).map(|n| id(&format!("entry-{n}"))).collect()
}
