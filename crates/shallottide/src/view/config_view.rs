//! Snapshot of the configuration records in force on this node.

use std::collections::BTreeMap;

use shallottide_types::id::{DomainId, ModelId, ServiceId, StoreIndex, TeamId, UpstreamId};
use shallottide_types::record::{
    DomainRecord, DomainState, KeyHash, ModelRecord, Record, ServiceRecord, TeamRecord,
    UpstreamRecord,
};

/// Configuration records in force, in the newest schema.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Store index up to which every change is applied.
    pub index: StoreIndex,
    /// Models by id.
    pub models: BTreeMap<ModelId, ModelRecord>,
    /// Servers of plain services.
    pub upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Plain services by id.
    pub services: BTreeMap<ServiceId, ServiceRecord>,
    /// Failure domains by id.
    pub domains: BTreeMap<DomainId, DomainRecord>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, TeamRecord>,
    /// Team by hash of each valid bearer key.
    pub team_keys: BTreeMap<KeyHash, TeamId>,
    /// Why a stored document can't be used, by store key; the last valid version of such a record
    /// stays in force.
    pub invalid: BTreeMap<String, String>,
}

impl ConfigView {
    /// Adds or replaces one record.
    pub fn insert(&mut self, record: Record) {
        match record {
            Record::Model(record) => drop(self.models.insert(record.id.clone(), record)),
            Record::Upstream(record) => drop(self.upstreams.insert(record.id.clone(), record)),
            Record::Service(record) => drop(self.services.insert(record.id.clone(), record)),
            Record::Domain(record) => drop(self.domains.insert(record.id.clone(), record)),
            Record::Team(record) => self.insert_team(record),
        }
    }

    fn insert_team(&mut self, record: TeamRecord) {
        for hash in &record.key_hashes {
            self.team_keys.insert(*hash, record.id.clone());
        }
        self.teams.insert(record.id.clone(), record);
    }

    /// Returns whether the records were loaded, however few there are.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.index != StoreIndex::default()
    }

    /// Returns whether operators have taken a failure domain out of service.
    #[must_use]
    pub fn is_out(&self, domain: &DomainId) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|record| record.state == DomainState::Out)
    }
}
