//! Lookup of a request's route, team and service.

mod support;

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
