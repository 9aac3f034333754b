//! Claims of failure domains exclude each other, also while the store loses them in restores.

mod support;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use shallottide_fleet::domain_claims::{
    ClaimDecisions, ClaimInput, ClaimPolicy, OpenClaims, fencing_token,
};
use shallottide_fleet::lease_term::DUTY_TTL;
use shallottide_fleet::lease_validity::LeaseValidity;
use shallottide_fleet::view::{Change, ControllerClaim};
use shallottide_fleet::{ClusterView, NodeOptions};
use shallottide_types::cases;
use shallottide_types::id::{DomainId, StoreEra, StoreIndex};
use support::{ClaimDay, GrantedTime, catalog, claim_nodes, id, lease, node_options};

fn at(era: u64, revision: u64) -> StoreIndex {
    StoreIndex::new(StoreEra(era), revision)
}

/// Guards against groups whose epochs engines refuse, or have seen on other groups, because a
/// controller claimed its domain at a revision that the store had given out before.
fn token_increases(earlier: StoreIndex, later: StoreIndex) {
    assert!(fencing_token(earlier) < fencing_token(later));
}

cases! {
    token_increases;
    token_in_the_same_era: at(1, 10), at(1, 11);
    token_after_a_restore_to_a_lower_revision: at(1, 900_000), at(2, 3);
    token_after_a_restore_to_the_same_revision: at(1, 10), at(2, 10);
    token_after_two_restores: at(1, 5_000_000), at(3, 1);
    token_of_a_store_that_begins_to_state_eras: at(0, 10), at(1, 11);
}

/// The claim of the node's domain in the view, and under which of its own claims it has a controller.
#[derive(Clone, Copy)]
struct Known {
    holder: Option<&'static str>,
    held: Option<StoreIndex>,
    /// Time for which the lease of the earlier era still holds.
    earlier_lease: Duration,
    /// Time since the node learned of the restore.
    waited: Duration,
    /// Whether claims are open to all nodes.
    is_open: bool,
    reaches_engines: bool,
}

const LOST: Known = Known {
    holder: None,
    held: Some(StoreIndex::new(StoreEra(1), 40)),
    earlier_lease: Duration::from_secs(1),
    waited: Duration::ZERO,
    is_open: false,
    reaches_engines: true,
};

/// Decides after a restore at revision 30 of era 2, in which the domain's claim has revision 20.
fn decide(known: Known) -> ClaimDecisions {
    let start = Instant::now();
    let now = start + known.waited;
    let options = NodeOptions {
        domains: BTreeMap::from([(id("zone-a"), id("here"))]),
        ..node_options("n-1", "zone-a")
    };
    let mut changes = vec![Change::Catalog(Box::new(catalog(1)))];
    changes.extend(known.holder.map(|holder| {
        let claim = ControllerClaim {
            holder: id(holder),
            since: at(2, 20),
        };
        Change::Controller(id("zone-a"), Some(claim))
    }));
    let era = StoreEra(if known.is_open { 2 } else { 1 });
    let index = at(2, 25);
    changes.push(Change::OpenClaims(Some(OpenClaims { era, index })));
    let mut view = ClusterView::default();
    view.replace(at(2, 30), changes, start);
    let boot_time = Duration::from_secs(100);
    let mut validity = LeaseValidity::default();
    validity.renewed(
        &lease(1, known.earlier_lease, known.earlier_lease),
        boot_time,
    );
    validity.renewed(&lease(2, DUTY_TTL, DUTY_TTL), boot_time);
    let held = known.held.map(|claim| (id::<DomainId>("zone-a"), claim));
    let mut policy = ClaimPolicy::default();
    let held = held.into_iter().collect();
    let mut decisions = ClaimDecisions::default();
    for now in [start, now] {
        decisions = policy.decide(&ClaimInput {
            options: &options,
            view: &view,
            held: &held,
            lease: Some(lease(2, DUTY_TTL, DUTY_TTL)),
            validity: &validity,
            first_start: false,
            reaches_engines: known.reaches_engines,
            now,
            boot_time,
        });
    }
    decisions
}

/// Guards against two controllers of a domain, one of which acts under a claim that the store has
/// lost, and against a domain without one for longer than a claim lasts.
fn claim_after_a_restore(known: Known, claims: bool, loses: bool) {
    let decisions = decide(known);
    assert_eq!(!decisions.due.is_empty(), claims, "{decisions:?}");
    assert_eq!(!decisions.lost.is_empty(), loses, "{decisions:?}");
    let is_due = !known.is_open && known.waited >= DUTY_TTL;
    assert_eq!(decisions.opens_claims, is_due);
}

cases! {
    claim_after_a_restore;
    lost_claim_is_made_again_by_its_holder: LOST, true, false;
    lost_claim_is_not_made_again_after_the_lease: Known { earlier_lease: Duration::ZERO, ..LOST }, false, true;
    old_copy_of_the_own_claim_is_replaced: Known { holder: Some("n-1"), ..LOST }, true, false;
    old_copy_of_the_own_claim_waits_without_a_controller:
        Known { holder: Some("n-1"), held: None, ..LOST }, false, false;
    old_copy_of_another_claim_ends_the_controller: Known { holder: Some("n-2"), ..LOST }, false, true;
    missing_claim_waits: Known { held: None, ..LOST }, false, false;
    missing_claim_waits_until_claims_are_open: Known { held: None, waited: DUTY_TTL, ..LOST }, false, false;
    missing_claim_is_made_once_claims_are_open: Known { held: None, is_open: true, ..LOST }, true, false;
    own_claim_of_an_earlier_process_is_replaced_once_claims_are_open:
        Known { holder: Some("n-1"), held: None, is_open: true, ..LOST }, true, false;
}

/// Guards against a node that holds or claims a domain whose engines it does not reach.
#[test]
fn node_that_reaches_no_engines_claims_and_keeps_no_domain() {
    let cut_off = Known {
        reaches_engines: false,
        is_open: true,
        ..LOST
    };
    let held = Known {
        holder: Some("n-1"),
        held: Some(at(2, 20)),
        ..cut_off
    };
    assert_eq!(decide(held).lost, [id("zone-a")]);
    assert!(decide(held).due.is_empty());
    let unclaimed = Known {
        held: None,
        waited: DUTY_TTL,
        ..cut_off
    };
    assert!(decide(unclaimed).due.is_empty());
}

/// Guards against two nodes that give orders for a domain at a time, tokens that don't increase and
/// domains that stay without a controller, on days with restores, cuts, and all nodes killed.
fn claims_exclude_each_other(nodes: usize, seeds: Range<u64>, length: Duration) {
    for seed in seeds {
        ClaimDay::play(claim_nodes(nodes), seed, length, GrantedTime::AsAsked);
    }
}

cases! {
    claims_exclude_each_other;
    claims_of_two_nodes: 2, 0..60, Duration::from_mins(2);
    claims_of_seven_nodes: 7, 0..60, Duration::from_mins(2);
    claims_of_forty_nodes: 40, 0..5, Duration::from_mins(2);
    claims_of_four_hundred_nodes: 400, 0..1, Duration::from_secs(40);
}

/// Guards against domains without a controller, and against two controllers at a time, because the store
/// grants leases for another time than was asked for; and against a new lease where one is held.
fn domains_are_claimed_whatever_the_store_grants(
    granted: GrantedTime,
    seeds: Range<u64>,
    length: Duration,
) {
    for seed in seeds {
        ClaimDay::play(claim_nodes(7), seed, length, granted);
    }
}

cases! {
    domains_are_claimed_whatever_the_store_grants;
    leases_in_whole_seconds: GrantedTime::WholeSeconds, 0..40, Duration::from_mins(2);
    leases_of_two_seconds: GrantedTime::AtLeast(Duration::from_secs(2)), 0..40, Duration::from_mins(2);
    leases_of_ten_seconds: GrantedTime::AtLeast(Duration::from_secs(10)), 0..40, Duration::from_mins(2);
    leases_of_ten_minutes: GrantedTime::AtLeast(Duration::from_mins(10)), 0..2, Duration::from_mins(3);
    leases_of_half_the_time: GrantedTime::Share(50), 0..40, Duration::from_mins(2);
    leases_of_a_time_that_differs_at_each_renewal: GrantedTime::Varying(60, 300), 0..40, Duration::from_mins(2);
}
