//! The views that the entry nodes see, and the heads of the calls.

use std::collections::BTreeMap;
use std::time::Duration;

use shallottide::groups::rendezvous;
use shallottide::kernel::Context;
use shallottide::view::{ConfigView, PlacementView};
use shallottide_types::call::{CallHead, Target, TraceContext};
use shallottide_types::id::{DomainId, FencingToken, Incarnation, NodeId};
use shallottide_types::peer::NodeInfo;
use shallottide_types::placement::{Group, Placement};
use shallottide_types::record::{ModelRecord, Record};

use super::{GROUPS, LIMIT, id};

pub(super) fn node_info(name: &str) -> NodeInfo {
    NodeInfo {
        node: id(name),
        incarnation: Incarnation(1),
        domain: id("jkpg"),
        address: ([127, 0, 0, 1], 1).into(),
        stopping: false,
    }
}

pub(super) fn publish_views(cx: &Context, dispatcher: &NodeId) {
    let domain: DomainId = id("jkpg");
    let mut config = ConfigView::default();
    config.insert(Record::Model(ModelRecord {
        id: id("tide"),
        vms_per_group: 1,
        groups: BTreeMap::from([(domain.clone(), 12)]),
        cold_limit: 2,
        full_limit: LIMIT,
        priority: 0,
        resumable: true,
        other_domains: false,
        split: None,
    }));
    cx.publish_config(config);
    let mut placement = Placement::empty(domain.clone());
    for number in 0..GROUPS {
        let group = Group {
            model: id("tide"),
            members: vec![id(&format!("vm-{number}"))],
            formed: FencingToken(1),
            dispatcher: dispatcher.clone(),
        };
        placement.groups.insert(id(&format!("g{number:02}")), group);
    }
    let domains = BTreeMap::from([(domain, placement)]);
    cx.publish_placement(PlacementView { domains });
}

pub(super) fn call_head(number: u64, prefix: u64) -> CallHead {
    CallHead {
        id: id(&format!("call-{number}")),
        team: id("depot"),
        target: Target::Model(id("tide")),
        method: "POST".into(),
        path: "/v1/completions".into(),
        content_type: None,
        key: None,
        stream: true,
        prefix: Some(rendezvous::hash(&prefix.to_string())),
        time_left: Duration::from_secs(30),
        trace: TraceContext::default(),
    }
}
