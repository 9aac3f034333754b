//! Nodes of different versions read each other's messages.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;
use shallottide_fleet::access::Access;
use shallottide_fleet::catalog::{Catalog, Team};
use shallottide_fleet::upstream::{GroupState, Upstream};
use shallottide_fleet::view::{Change, ControllerClaim, Snapshot};
use shallottide_types::id::StoreIndex;
use support::{catalog, id, member, plain_upstream};

/// Messages as commit 029ce49 wrote them: a name and the bytes as hexadecimal digits on each line.
const EARLIER_MESSAGES: &str = include_str!("data/messages-029ce49.txt");

fn earlier_message(name: &str) -> Vec<u8> {
    let lines = EARLIER_MESSAGES.lines();
    let mut messages = lines.filter_map(|line| line.split_once(' '));
    let (_, digits) = messages.find(|(n, _)| *n == name).expect("a message");
    let pairs = digits.as_bytes().chunks(2);
    let bytes = pairs.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("digits")
    });
    bytes.collect()
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("encodes")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (message, length) = decoded.expect("decodes");
    assert_eq!(length, bytes.len(), "bytes are left over");
    message
}

fn changes() -> Vec<Change> {
    let mut full = catalog(7);
    full.routes[1].regions = vec![id("se-south")];
    let draining = Upstream {
        draining: true,
        cold_left: Duration::from_millis(1_500),
        born: 1_700_000_000_123,
        heartbeat_seq: 9,
        ..plain_upstream("a", "booking", "zone-a")
    };
    let head = member("e1", 7, 0, GroupState::Open, "small");
    let claim = ControllerClaim {
        holder: id("n1"),
        since: StoreIndex(5),
    };
    let node = "10.0.0.1:1 zone-a 250".parse().expect("an entry");
    vec![
        Change::Catalog(Box::new(full)),
        Change::Upstream(id("a"), Some(Box::new(draining))),
        Change::Upstream(id("e1"), Some(Box::new(head))),
        Change::Upstream(id("b"), None),
        Change::UpstreamRemoved(id("c")),
        Change::Evacuated(id("zone-a"), true),
        Change::Node(id("n1"), Some(node)),
        Change::Node(id("n2"), None),
        Change::Controller(id("zone-a"), Some(claim)),
        Change::Controller(id("zone-b"), None),
        Change::OpenClaims(None),
    ]
}

/// Guards against a field or variant that nodes of the other version read as something else.
#[test]
fn changes_are_read_and_written_as_by_029ce49() {
    let earlier = earlier_message("changes");
    assert_eq!(decode::<Vec<Change>>(&earlier), changes());
    assert_eq!(encode(&changes()), earlier);
}

#[test]
fn snapshot_is_read_and_written_as_by_029ce49() {
    let earlier = earlier_message("snapshot");
    let snapshot: Snapshot = decode(&earlier);
    assert_eq!(snapshot.index, StoreIndex(12));
    assert_eq!(snapshot.age, Duration::from_millis(40));
    assert_eq!(snapshot.changes, changes()[3..]);
    assert_eq!(encode(&snapshot), earlier);
}

#[test]
fn catalog_without_keys_is_read_and_written_as_by_029ce49() {
    let open = Change::Catalog(Box::new(Catalog {
        access: Access::Open,
        ..catalog(8)
    }));
    let earlier = earlier_message("open-catalog");
    assert_eq!(decode::<Change>(&earlier), open);
    assert_eq!(encode(&open), earlier);
}

/// Guards against nodes of 029ce49 that take an empty set of keys, which they can't tell from a
/// configuration without teams, for the latter.
#[test]
fn empty_set_of_keys_needs_a_key_at_nodes_of_029ce49() {
    let nobody = Access::Keys(BTreeMap::new());
    let bytes = encode(&nobody);
    assert_eq!(decode::<Access>(&bytes), nobody);
    // The field's type at 029ce49, where an empty map lets all callers in.
    let earlier: BTreeMap<CompactString, Team> = decode(&bytes);
    assert!(!earlier.is_empty());
    let as_header = |key: &CompactString| http::HeaderValue::from_str(key).is_ok();
    assert!(
        !earlier.keys().any(as_header),
        "a caller could send the key"
    );
}
