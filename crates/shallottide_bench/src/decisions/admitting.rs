//! Taking a place of a slot and giving it back.

use shallottide::admission::{Admission, RequestOutcome};
use shallottide_types::clock::Clock;
use shallottide_types::id::TeamId;

use super::{NODES, SERVERS};
use crate::Stopwatch;
use crate::world::{World, WorldSize, id};

pub(super) fn print() {
    let mut watch = Stopwatch::default();
    for servers in SERVERS {
        let world = world(84, servers);
        time(&mut watch, "admit and release, by servers", servers, &world);
    }
    watch.finish("admit and release, by servers");
    let mut watch = Stopwatch::default();
    for nodes in NODES {
        let world = world(nodes, 160);
        time(&mut watch, "admit and release, by nodes", nodes, &world);
    }
    watch.finish("admit and release, by nodes");
    let mut watch = Stopwatch::default();
    for servers in SERVERS {
        let world = world(84, servers);
        let mut admission = world.admission();
        watch.time("admission's tick, by servers", servers, || {
            admission.tick(&world.cx);
            admission.loads(&world.cx)
        });
    }
    watch.finish("admission's tick, by servers");
}

/// A domain with as many plain-service upstreams as groups.
fn world(nodes: u32, servers: u32) -> World {
    World::new(WorldSize {
        nodes,
        servers,
        upstreams: servers / 4,
    })
}

fn time(watch: &mut Stopwatch, what: &str, size: u32, world: &World) {
    let mut admission = world.admission();
    let slot = World::own_slot();
    let team: TeamId = id("team-0000");
    let finished = RequestOutcome {
        complete: true,
        started: world.clock.now(),
        first_byte: None,
    };
    watch.time(what, size, || {
        let taken = admission.acquire(&slot, &team, &world.cx);
        taken.expect("a place is free");
        admission.release(&slot, &team, &finished, &world.cx);
    });
}
