//! Config service with many records in force.

use shallottide::config::{ConfigOptions, ConfigService};
use shallottide::kernel::{Outbox, Service};
use shallottide::message::PeerReceived;
use shallottide_types::id::StoreIndex;
use shallottide_types::peer::{PeerMsg, RecordCopy, RecordsSince};
use shallottide_types::record::{Document, Record};

use crate::domain_fixture::{DomainFixture, DomainSize, node};

/// Number of nodes of the failure domain.
const NODES: u32 = 84;

/// Config service that holds records and forwards changes to the nodes of its failure domain.
pub(crate) struct ConfigFixture {
    fixture: DomainFixture,
    service: ConfigService,
    /// Number of records.
    count: u32,
    /// Store index of the last change.
    index: u64,
}

impl ConfigFixture {
    /// Creates a service with `count` records in force.
    #[must_use]
    pub(crate) fn new(count: u32) -> Self {
        let fixture = DomainFixture::new(DomainSize {
            nodes: NODES,
            servers: 0,
            upstreams: 0,
        });
        let mut fixture = Self {
            fixture,
            service: ConfigService::new(ConfigOptions::default()),
            count,
            index: 1,
        };
        let records = (0..count)
            .map(|number| fixture.record_copy(number))
            .collect();
        fixture.receive(0, records);
        fixture
    }

    /// Applies a change of one record. Returns the number of messages that the service sends.
    pub(crate) fn apply_change(&mut self) -> usize {
        let since = self.index;
        self.index += 1;
        let number = u32::try_from(self.index % u64::from(self.count)).expect("below the count");
        let copy = self.record_copy(number);
        self.receive(since, vec![copy])
    }

    /// Returns the number of upstream records in force.
    #[must_use]
    pub(crate) fn in_force(&self) -> usize {
        self.fixture.cx.config().upstreams.len()
    }

    /// Creates the current version of a record.
    fn record_copy(&self, number: u32) -> RecordCopy {
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

    /// Delivers records from a peer. Returns the number of messages that the service sends.
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
            .handle(received.into(), &self.fixture.cx, &mut out);
        out.take().len()
    }
}
