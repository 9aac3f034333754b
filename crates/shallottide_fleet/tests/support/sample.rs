//! Sample configuration and upstreams.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;
use std::time::{Duration, Instant};

use shallottide_fleet::access::Access;
use shallottide_fleet::adapter::Lease;
use shallottide_fleet::catalog::{
    CallerLimits, Catalog, EngineFacts, ModelFacts, Repeat, Route, Service, Split, Team,
};
use shallottide_fleet::retry_budget::RepeatBound;
use shallottide_fleet::upstream::{Formation, GroupState, Membership, Upstream};
use shallottide_fleet::view::Change;
use shallottide_fleet::{ClusterView, NodeOptions};
use shallottide_types::id::StoreEra;

/// Reads an id that is known to be valid.
pub(crate) fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

fn route(name: &str, prefix: &str, service: &str, repeat: Repeat, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "api.example".into(),
        prefix: prefix.into(),
        services: vec![Split {
            service: id(service),
            weight: 1,
        }],
        repeat,
        streaming: repeat == Repeat::Resume,
        timeout: Duration::from_secs(6),
        target_latency: Duration::from_millis(400),
        longest_gap: Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        public,
        regions: Vec::new(),
    }
}

/// A catalog with an engine service of two models, and a plain service.
pub(crate) fn catalog(version: u64) -> Catalog {
    let model = |name: &str, size| ModelFacts {
        model: id(name),
        size,
        share_permille: 500,
        pace_permille: 1000,
    };
    let engine = EngineFacts {
        slots: 8,
        step: Duration::from_millis(8),
        step_per_request: Duration::from_micros(100),
        read_per_second: 45_000,
        loads_per_second: 5,
        staged_kept: 1,
        loads_at_once: 6,
        models: vec![model("large", 4), model("small", 2)],
    };
    let services = [
        Service {
            id: id("engines"),
            max_connections: 300,
            cold_per_second: 20,
            engine: Some(engine),
        },
        Service {
            id: id("booking"),
            max_connections: 100,
            cold_per_second: 0,
            engine: None,
        },
    ];
    let team = Team {
        id: id("team-a"),
        priority: None,
    };
    Catalog {
        version,
        routes: vec![
            route("root", "/", "booking", Repeat::Freely, true),
            route("book", "/book/", "booking", Repeat::Never, false),
            route("book-new", "/book/new/", "booking", Repeat::Never, false),
            route("chat", "/chat/", "engines", Repeat::Resume, false),
        ],
        services: services.into_iter().map(|s| (s.id.clone(), s)).collect(),
        access: Access::Keys(BTreeMap::from([("key-a".into(), team)])),
        limits: CallerLimits::default(),
    }
}

/// A plain service's upstream.
pub(crate) fn plain_upstream(name: &str, service: &str, domain: &str) -> Upstream {
    Upstream {
        id: id(name),
        service: id(service),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: id(domain),
        slots: 6,
        draining: false,
        cold_left: Duration::ZERO,
        born: 1,
        heartbeat_seq: 0,
        fabric: None,
        staged: Vec::new(),
        model: None,
        membership: None,
    }
}

/// An engine without a group.
pub(crate) fn engine_upstream(name: &str, fabric: &str) -> Upstream {
    Upstream {
        fabric: Some(id(fabric)),
        slots: 8,
        ..plain_upstream(name, "engines", "zone-a")
    }
}

/// An engine in a group.
pub(crate) fn member(
    name: &str,
    epoch: u64,
    rank: usize,
    state: GroupState,
    model: &str,
) -> Upstream {
    Upstream {
        model: Some(id(model)),
        staged: vec![id(model)],
        membership: Some(Membership {
            formation: Formation {
                group: id(&format!("g{epoch}")),
                epoch,
            },
            rank,
            state,
        }),
        ..engine_upstream(name, "rack-1")
    }
}

/// A view of a catalog and upstreams.
pub(crate) fn view_of(upstreams: impl IntoIterator<Item = Upstream>, now: Instant) -> ClusterView {
    let mut view = ClusterView::default();
    view.apply(Change::Catalog(Box::new(catalog(1))), now);
    for upstream in upstreams {
        let id = upstream.id.clone();
        view.apply(Change::Upstream(id, Some(Box::new(upstream))), now);
    }
    view.index_serving();
    view
}

/// Options of a node with addresses that nothing listens on.
pub(crate) fn node_options(name: &str, domain: &str) -> NodeOptions {
    let address = "10.0.0.1:80".parse().expect("an address");
    NodeOptions {
        node: id(name),
        domain: id(domain),
        domains: BTreeMap::new(),
        ip: "10.0.0.1".parse().expect("an address"),
        callers: address,
        readiness: address,
        peers: address,
        loads_port: 1,
        seeds: Vec::new(),
        metrics: None,
        first_start: false,
        capacity: 250,
        memory: 160 << 20,
        apply_bound: Duration::from_secs(2),
        heartbeat: Duration::from_millis(1_200),
        drain: Duration::from_secs(2),
        repeats: RepeatBound::default(),
        stop_grace: Duration::from_secs(8),
        stall: Duration::from_secs(5),
        load_window: Duration::from_secs(5),
        store_reads: 2_000,
        min_lease: Duration::from_secs(1),
    }
}

/// Returns a lease of an era.
pub(crate) fn lease(era: u64, asked: Duration, ttl: Duration) -> Lease {
    Lease {
        id: 7,
        era: StoreEra(era),
        asked,
        ttl,
    }
}
