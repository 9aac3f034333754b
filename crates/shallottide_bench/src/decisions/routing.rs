//! Time to select a slot for a call.

use std::collections::BTreeSet;

use shallottide::routing::{RouteQuery, Router, RoutingOptions, SlotRouter};
use shallottide_types::call::Target;

use super::{NODES, SERVERS};
use crate::TimingTable;
use crate::domain_fixture::{DomainFixture, DomainSize, call, id};

pub(super) fn print() {
    let model = || Target::Model(id("tide"));
    let mut table = TimingTable::default();
    for servers in SERVERS {
        let fixture = fixture(84, servers, 0);
        measure(
            &mut table,
            "route a completion, by servers",
            servers,
            &fixture,
            &model(),
        );
    }
    table.print_slope("route a completion, by servers");
    let mut table = TimingTable::default();
    for nodes in NODES {
        let fixture = fixture(nodes, 160, 0);
        measure(
            &mut table,
            "route a completion, by nodes",
            nodes,
            &fixture,
            &model(),
        );
    }
    table.print_slope("route a completion, by nodes");
    let mut table = TimingTable::default();
    for upstreams in SERVERS {
        let fixture = fixture(84, 0, upstreams);
        let service = Target::Service(id("depot"));
        measure(
            &mut table,
            "route a service call, by upstreams",
            upstreams,
            &fixture,
            &service,
        );
    }
    table.print_slope("route a service call, by upstreams");
}

fn fixture(nodes: u32, servers: u32, upstreams: u32) -> DomainFixture {
    DomainFixture::new(DomainSize {
        nodes,
        servers,
        upstreams,
    })
}

fn measure(
    table: &mut TimingTable,
    label: &str,
    size: u32,
    fixture: &DomainFixture,
    target: &Target,
) {
    let mut router = SlotRouter::new(RoutingOptions::default());
    let heads: Vec<_> = (0..256).map(|n| call(n, target.clone())).collect();
    let (tried, tried_domains) = (BTreeSet::new(), BTreeSet::new());
    let mut heads = heads.iter().cycle();
    table.measure(label, size, || {
        let query = RouteQuery {
            head: heads.next().expect("a cycle is endless"),
            forwarded_slot: None,
            tried: &tried,
            tried_domains: &tried_domains,
            own_domain_only: false,
        };
        router.route(&query, &fixture.cx).expect("a slot is free")
    });
}
