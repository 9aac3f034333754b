//! Lookup of a request's route, team and service.

mod support;

use std::collections::BTreeMap;

use shallottide_fleet::access::Access;
use shallottide_fleet::catalog::Catalog;
use shallottide_fleet::routes::{RouteError, RouteTable, choose_service};
use shallottide_types::cases;
use support::{catalog, id};

fn finds(host: &str, path: &str, key: Option<&str>, expected: Result<&str, RouteError>) {
    let catalog = catalog(1);
    let table = RouteTable::new(&catalog);
    let found = table.find(&catalog, host, path, key);
    assert_eq!(found.map(|(route, _)| route.name.as_str()), expected);
}

cases! {
    finds;
    longest_prefix_wins: "api.example", "/book/new/1", Some("key-a"), Ok("book-new");
    shorter_prefix: "api.example", "/book/old", Some("key-a"), Ok("book");
    host_with_port_and_capitals: "API.example:80", "/book/1", Some("key-a"), Ok("book");
    public_route_needs_no_key: "api.example", "/else", None, Ok("root");
    public_route_with_unknown_key: "api.example", "/else", Some("nobody"), Ok("root");
    missing_key: "api.example", "/book/1", None, Err(RouteError::UnknownKey);
    unknown_key: "api.example", "/book/1", Some("key-b"), Err(RouteError::UnknownKey);
    unknown_host: "other.example", "/book/1", Some("key-a"), Err(RouteError::NoRoute);
}

/// Guards against routes that open to all callers once no key is left.
fn route_that_needs_a_key(access: Access, key: Option<&str>, expected: Result<&str, RouteError>) {
    let catalog = Catalog {
        access,
        ..catalog(2)
    };
    let table = RouteTable::new(&catalog);
    let found = table.find(&catalog, "api.example", "/book/1", key);
    assert_eq!(found.map(|(route, _)| route.name.as_str()), expected);
}

cases! {
    route_that_needs_a_key;
    no_key_is_left_and_none_is_sent: Access::Keys(BTreeMap::new()), None, Err(RouteError::UnknownKey);
    no_key_is_left_and_the_revoked_one_is_sent: Access::Keys(BTreeMap::new()), Some("key-a"), Err(RouteError::UnknownKey);
    no_key_is_left_and_the_one_between_nodes_is_sent: Access::Keys(BTreeMap::new()), Some("\0"), Err(RouteError::UnknownKey);
    no_key_is_needed: Access::Open, None, Ok("book");
    no_key_is_needed_and_one_is_sent: Access::Open, Some("key-a"), Ok("book");
}

#[test]
fn services_are_chosen_by_weight() {
    let mut route = catalog(1).routes[0].clone();
    route.services.push(shallottide_fleet::catalog::Split {
        service: id("engines"),
        weight: 3,
    });
    let chosen = (0..400).filter(|draw| *choose_service(&route, *draw) == id("engines"));
    assert_eq!(chosen.count(), 300);
}

#[test]
fn weights_of_zero_still_choose_a_service() {
    let mut route = catalog(1).routes[0].clone();
    route.services[0].weight = 0;
    assert_eq!(*choose_service(&route, 7), id("booking"));
}
