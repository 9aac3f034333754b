//! Records that operators write, in their schema versions.
//!
//! A record is stored as one JSON document under [`Record::store_key`]. Its `schema`
//! field says which version wrote it. Readers lift old versions to the newest form
//! in memory ([`Record::from_document`]); the stored document keeps the version and any
//! field that this program doesn't know ([`Document`]).

mod document;
mod domain_record;
mod model_record;
mod service_record;
mod team_record;
mod traffic_split;
mod upstream_record;

pub use document::{Document, RecordError, RecordKind};
pub use domain_record::{DomainRecord, DomainState};
pub use model_record::ModelRecord;
pub use service_record::{CallRule, ServiceRecord};
pub use team_record::{KeyHash, TeamRecord};
pub use traffic_split::TrafficSplit;
pub use upstream_record::{Generation, UpstreamRecord, UpstreamState};

/// One record in its newest form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// How a model is served.
    Model(ModelRecord),
    /// One server of a plain service.
    Upstream(UpstreamRecord),
    /// A plain service and its rules.
    Service(ServiceRecord),
    /// A failure domain.
    Domain(DomainRecord),
    /// A team of callers.
    Team(TeamRecord),
}

impl Record {
    /// Reads a document of any known schema version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        match document.kind()? {
            RecordKind::Model => ModelRecord::lift(document).map(Self::Model),
            RecordKind::Upstream => UpstreamRecord::lift(document).map(Self::Upstream),
            RecordKind::Service => ServiceRecord::lift(document).map(Self::Service),
            RecordKind::Domain => DomainRecord::lift(document).map(Self::Domain),
            RecordKind::Team => TeamRecord::lift(document).map(Self::Team),
        }
    }

    /// Returns the platform key, `records/KIND/ID`.
    #[must_use]
    pub fn store_key(&self) -> String {
        let (kind, id) = match self {
            Self::Model(record) => (RecordKind::Model, record.id.as_str()),
            Self::Upstream(record) => (RecordKind::Upstream, record.id.as_str()),
            Self::Service(record) => (RecordKind::Service, record.id.as_str()),
            Self::Domain(record) => (RecordKind::Domain, record.id.as_str()),
            Self::Team(record) => (RecordKind::Team, record.id.as_str()),
        };
        format!("{}{kind}/{id}", Document::KEY_PREFIX)
    }
}
