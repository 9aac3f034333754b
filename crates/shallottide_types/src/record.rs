//! Configuration records that operators write, in their schema versions.
//!
//! A record is stored as one JSON document under [`Record::store_key`]. Its `schema`
//! field gives the schema version it was written in. Readers convert old versions to the
//! newest one in memory ([`Record::from_document`]); the stored document keeps its version
//! and any field that this program doesn't know ([`Document`]).

mod document;
mod domain_record;
mod field;
mod merge;
mod model_record;
mod service_record;
mod stamps;
mod team_record;
mod toml_value;
mod traffic_split;
mod upstream_record;

pub use document::{Document, RecordError, RecordKind};
pub use domain_record::{DomainRecord, DomainState};
pub use model_record::ModelRecord;
pub use service_record::{CallRule, ServiceRecord};
pub use team_record::{KeyHash, TeamRecord};
pub use traffic_split::TrafficSplit;
pub use upstream_record::{Generation, UpstreamRecord, UpstreamState};

/// One record in the newest schema version of its kind.
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
    /// Converts a document of any known schema version.
    ///
    /// # Errors
    /// [`RecordError`] naming the field and the remedy.
    pub fn from_document(document: &Document) -> Result<Self, RecordError> {
        let kind = document.kind()?;
        document.check_id(kind)?;
        match kind {
            RecordKind::Model => ModelRecord::from_document(document).map(Self::Model),
            RecordKind::Upstream => UpstreamRecord::from_document(document).map(Self::Upstream),
            RecordKind::Service => ServiceRecord::from_document(document).map(Self::Service),
            RecordKind::Domain => DomainRecord::from_document(document).map(Self::Domain),
            RecordKind::Team => TeamRecord::from_document(document).map(Self::Team),
        }
    }

    /// Returns the record's kind.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Model(_) => RecordKind::Model,
            Self::Upstream(_) => RecordKind::Upstream,
            Self::Service(_) => RecordKind::Service,
            Self::Domain(_) => RecordKind::Domain,
            Self::Team(_) => RecordKind::Team,
        }
    }

    /// Returns the record's id as text.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Model(record) => record.id.as_str(),
            Self::Upstream(record) => record.id.as_str(),
            Self::Service(record) => record.id.as_str(),
            Self::Domain(record) => record.id.as_str(),
            Self::Team(record) => record.id.as_str(),
        }
    }

    /// Returns the key of the record in the platform store, `records/KIND/ID`.
    #[must_use]
    pub fn store_key(&self) -> String {
        self.kind().store_key(self.id())
    }
}
