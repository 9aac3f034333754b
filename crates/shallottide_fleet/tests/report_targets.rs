//! Load reports among tens to hundreds of nodes.

mod support;

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shallottide_fleet::NodeEntry;
use shallottide_fleet::report_targets::{REPORT_FANOUT, report_targets};
use shallottide_fleet::view::{Change, ClusterView, ControllerClaim};
use shallottide_types::cases;
use shallottide_types::id::{NodeId, StoreIndex, UpstreamId};
use support::{engine_upstream, id};

fn name(number: usize) -> NodeId {
    id(&format!("node-{number}"))
}

fn a_suspect_is_reported_to_its_controller(nodes: usize) {
    let now = Instant::now();
    let mut view = ClusterView::default();
    for number in 0..nodes {
        let entry = NodeEntry {
            peers: format!("10.0.{}.{}:80", number / 250, number % 250)
                .parse()
                .expect("an address"),
            domain: id("zone-a"),
            capacity: 250,
        };
        view.apply(Change::Node(name(number), Some(entry)), now);
    }
    let head = engine_upstream("e001", "rack-0");
    let (suspect, domain): (UpstreamId, _) = (head.id.clone(), head.domain.clone());
    view.apply(Change::Upstream(suspect.clone(), Some(Box::new(head))), now);
    let claim = ControllerClaim {
        holder: name(nodes - 1),
        since: StoreIndex(1),
    };
    view.apply(Change::Controller(domain, Some(claim)), now);
    let controller = view.nodes[&name(nodes - 1)].peers;
    let own = view.nodes[&name(0)].peers;
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let targets = report_targets(&view, &name(0), [&suspect].into_iter(), &mut rng);
        assert!(targets.contains(&controller));
        assert!(!targets.contains(&own));
        assert!(targets.len() <= REPORT_FANOUT + 1);
        let calm = report_targets(&view, &name(0), std::iter::empty(), &mut rng);
        assert_eq!(calm.len(), REPORT_FANOUT.min(nodes - 1));
    }
}

cases! {
    a_suspect_is_reported_to_its_controller;
    among_three_nodes: 3;
    among_a_hundred_nodes: 100;
    among_four_hundred_nodes: 400;
}
