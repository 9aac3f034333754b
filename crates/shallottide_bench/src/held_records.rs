//! A config service that holds records and passes changes on.

use shallottide::config::{ConfigOptions, ConfigService};
use shallottide::kernel::{Outbox, Service};
use shallottide::message::PeerReceived;
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{PeerMsg, RecordCopy, RecordsSince};
use shallottide_types::record::{Document, Record};

use crate::world::{World, WorldSize, node};

/// Nodes of the failure domain.
const NODES: u32 = 84;

/// A config service that holds records and passes changes on to its failure domain.
pub(crate) struct HeldRecords {
    world: World,
    service: ConfigService,
    count: u32,
    index: u64,
}

impl HeldRecords {
    /// Creates a service with so many records in force.
    #[must_use]
    pub(crate) fn new(count: u32) -> Self {
        let world = World::new(WorldSize {
            nodes: NODES,
            servers: 0,
            upstreams: 0,
        });
        let mut held = Self {
            world,
            service: ConfigService::new(ConfigOptions::default()),
            count,
            index: 1,
        };
        let records = (0..count).map(|number| held.copy(number)).collect();
        held.receive(0, records);
        held
    }

    /// Puts a change of one record in force and passes it on.
    pub(crate) fn change(&mut self) -> usize {
        let since = self.index;
        self.index += 1;
        let number = u32::try_from(self.index % u64::from(self.count)).expect("below the count");
        let copy = self.copy(number);
        self.receive(since, vec![copy])
    }

    /// Returns the number of records in force.
    #[must_use]
    pub(crate) fn in_force(&self) -> usize {
        self.world.cx.config().upstreams.len()
    }

    fn copy(&self, number: u32) -> RecordCopy {
        let limit = 8 + self.index % 8;
        let text = format!(
            r#"
            kind = "upstream"
            schema = 2
            id = "depot-{number:04}"
            address = "10.0.0.1:{}"
            failure_domain = "jkpg"
            service = "depot"
            cold_limit = {limit}
            full_limit = 64
            "#,
            20_000 + number
        );
        let mut document = Document::from_toml(&text).expect("valid TOML");
        document.set(Document::REVISION, self.index);
        let record = Record::from_document(&document).expect("a valid record");
        RecordCopy {
            key: record.store_key(),
            index: StoreIndex(self.index),
            value: Some(document.to_json()),
        }
    }

    fn receive(&mut self, since: u64, records: Vec<RecordCopy>) -> usize {
        let msg = PeerMsg::RecordsSince(RecordsSince {
            since: StoreIndex(since),
            to: StoreIndex(self.index),
            records,
        });
        let from = node(1).node;
        let mut out = Outbox::default();
        let received = PeerReceived { from, msg };
        self.service
            .handle(received.into(), &self.world.cx, &mut out);
        out.take().len()
    }
}
