//! The text form of tickets.

use shallottide_types::cases;
use shallottide_types::id::IdempotencyKey;
use shallottide_types::ticket::Ticket;

fn parse_key(text: &str) -> Result<Option<Ticket>, String> {
    let key: IdempotencyKey = text.parse().unwrap();
    Ticket::from_key(&key).map_err(|e| e.to_string())
}

fn read(text: &str, node: &str, incarnation: u64, number: u64) {
    let ticket = parse_key(text).unwrap().unwrap();
    assert_eq!(ticket.node.as_str(), node);
    assert_eq!(
        (ticket.incarnation.0, ticket.number.0),
        (incarnation, number)
    );
    assert_eq!(ticket.to_key().unwrap().as_str(), text);
}

cases! {
    read;
    node_without_colons: "ticket:node-1:7:3", "node-1", 7, 3;
    node_with_colons: "ticket:a:b:7:3", "a:b", 7, 3;
    largest_numbers: "ticket:n:18446744073709551615:18446744073709551615", "n", u64::MAX, u64::MAX;
}

fn malformed(text: &str) {
    let error = parse_key(text).unwrap_err();
    assert!(error.contains("POST /tickets"), "{error}");
}

cases! {
    malformed;
    prefix_only: "ticket:";
    no_node: "ticket::7:3";
    no_number: "ticket:node-1:7";
    number_without_digits: "ticket:node-1:7:x";
    leading_zero: "ticket:node-1:7:03";
    number_too_large: "ticket:node-1:7:18446744073709551616";
}

#[test]
fn key_without_prefix_is_no_ticket() {
    assert_eq!(parse_key("gate-7:ticket:1"), Ok(None));
}

#[test]
fn key_of_long_node_id_is_refused() {
    let mut ticket = parse_key("ticket:n:7:3").unwrap().unwrap();
    ticket.node = "n".repeat(128).parse().unwrap();
    assert!(ticket.to_key().is_err());
}
