//! Choosing a slot for a call.

use std::collections::BTreeSet;

use shallottide::routing::{RouteQuery, Router, RoutingOptions, SlotRouter};
use shallottide_types::call::Target;

use super::{NODES, SERVERS};
use crate::Stopwatch;
use crate::world::{World, WorldSize, call, id};

pub(super) fn print() {
    let model = || Target::Model(id("tide"));
    let mut watch = Stopwatch::default();
    for servers in SERVERS {
        let world = world(84, servers, 0);
        time(
            &mut watch,
            "route a completion, by servers",
            servers,
            &world,
            &model(),
        );
    }
    watch.finish("route a completion, by servers");
    let mut watch = Stopwatch::default();
    for nodes in NODES {
        let world = world(nodes, 160, 0);
        time(
            &mut watch,
            "route a completion, by nodes",
            nodes,
            &world,
            &model(),
        );
    }
    watch.finish("route a completion, by nodes");
    let mut watch = Stopwatch::default();
    for upstreams in SERVERS {
        let world = world(84, 0, upstreams);
        let service = Target::Service(id("depot"));
        time(
            &mut watch,
            "route a service call, by upstreams",
            upstreams,
            &world,
            &service,
        );
    }
    watch.finish("route a service call, by upstreams");
}

fn world(nodes: u32, servers: u32, upstreams: u32) -> World {
    World::new(WorldSize {
        nodes,
        servers,
        upstreams,
    })
}

fn time(watch: &mut Stopwatch, what: &str, size: u32, world: &World, target: &Target) {
    let mut router = SlotRouter::new(RoutingOptions::default());
    let heads: Vec<_> = (0..256).map(|n| call(n, target.clone())).collect();
    let (tried, tried_domains) = (BTreeSet::new(), BTreeSet::new());
    let mut heads = heads.iter().cycle();
    watch.time(what, size, || {
        let query = RouteQuery {
            head: heads.next().expect("a cycle has no end"),
            forwarded_slot: None,
            tried: &tried,
            tried_domains: &tried_domains,
            own_domain_only: false,
        };
        router.route(&query, &world.cx).expect("a slot is free")
    });
}
