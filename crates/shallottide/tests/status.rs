//! Contents of the status page.

use std::sync::Arc;

use shallottide::kernel::{Context, Outbox, Service};
use shallottide::message::{Message, StatusRequest};
use shallottide::status::{StatusPage, StatusService};
use shallottide::view::{ConfigView, DispatcherLoad, MemberView};
use shallottide_types::clock::{Clock, ManualClock};
use shallottide_types::id::{Incarnation, StoreIndex};
use shallottide_types::peer::{LoadSummary, NodeInfo, Slot};
use shallottide_types::record::{Document, Record};

#[test]
fn status_reports_records_loads_and_invalid_records() {
    let clock = ManualClock::default();
    let me = NodeInfo {
        node: "jkpg-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "jkpg".parse().unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        stopping: false,
    };
    let cx = Context::new(Arc::new(clock.clone()), me);
    let mut config = ConfigView {
        index: StoreIndex(7),
        ..ConfigView::default()
    };
    let domain = br#"{"kind":"domain","schema":1,"id":"jkpg","region":"se-south"}"#;
    config.insert(Record::from_document(&Document::from_json(domain).unwrap()).unwrap());
    config
        .invalid
        .insert("records/team/x".into(), "no schema".into());
    cx.publish_config(config);
    let mut members = MemberView::default();
    for (node, slot, in_flight) in [("jkpg-1", "tally-1", 3), ("jkpg-2", "tally-2", 4)] {
        let slot = Slot::Service(slot.parse().unwrap());
        let load = LoadSummary {
            slot: slot.clone(),
            in_flight,
            limit: 9,
        };
        let reported = DispatcherLoad {
            node: node.parse().unwrap(),
            load,
            received_at: clock.now(),
        };
        members.loads.insert(slot, reported);
    }
    cx.publish_members(members);
    let mut out = Outbox::default();
    let request = StatusRequest { token: 5 };
    StatusService::new(Arc::default()).handle(request.into(), &cx, &mut out);
    let Some((_, Message::StatusReply(reply))) = out.take().pop() else {
        panic!("no reply");
    };
    let page: StatusPage = serde_json::from_str(&reply.json).unwrap();
    assert_eq!(reply.token, 5);
    assert_eq!(page.region, Some("se-south".parse().unwrap()));
    assert_eq!(page.config_index, StoreIndex(7));
    assert_eq!(
        (page.in_flight, page.loads.len(), page.records.domain),
        (3, 2, 1)
    );
    assert_eq!(page.invalid[0].key, "records/team/x");
}
