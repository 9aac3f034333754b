//! Time to acquire a place in a slot and release it.

use shallottide::admission::{Admission, RequestOutcome};
use shallottide_types::clock::Clock;
use shallottide_types::id::TeamId;

use super::{NODES, SERVERS};
use crate::TimingTable;
use crate::domain_fixture::{DomainFixture, DomainSize, id};

pub(super) fn print() {
    let mut table = TimingTable::default();
    for servers in SERVERS {
        let fixture = fixture(84, servers);
        measure(
            &mut table,
            "admit and release, by servers",
            servers,
            &fixture,
        );
    }
    table.print_slope("admit and release, by servers");
    let mut table = TimingTable::default();
    for nodes in NODES {
        let fixture = fixture(nodes, 160);
        measure(&mut table, "admit and release, by nodes", nodes, &fixture);
    }
    table.print_slope("admit and release, by nodes");
    let mut table = TimingTable::default();
    for servers in SERVERS {
        let fixture = fixture(84, servers);
        let mut admission = fixture.admission();
        table.measure("admission's tick, by servers", servers, || {
            admission.tick(&fixture.cx);
            admission.loads(&fixture.cx)
        });
    }
    table.print_slope("admission's tick, by servers");
}

/// Creates a failure domain with as many plain-service upstreams as groups.
fn fixture(nodes: u32, servers: u32) -> DomainFixture {
    DomainFixture::new(DomainSize {
        nodes,
        servers,
        upstreams: servers / 4,
    })
}

fn measure(table: &mut TimingTable, label: &str, size: u32, fixture: &DomainFixture) {
    let mut admission = fixture.admission();
    let slot = DomainFixture::own_slot();
    let team: TeamId = id("team-0000");
    let finished = RequestOutcome {
        complete: true,
        started: fixture.clock.now(),
        first_byte: None,
    };
    table.measure(label, size, || {
        let acquired = admission.acquire(&slot, &team, &fixture.cx);
        acquired.expect("a place is free");
        admission.release(&slot, &team, &finished, &fixture.cx);
    });
}
