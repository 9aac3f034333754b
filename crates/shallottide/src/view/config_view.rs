//! The operators' records in force on this node.

use std::collections::BTreeMap;

use shallottide_types::id::{DomainId, ModelId, ServiceId, StoreIndex, TeamId, UpstreamId};
use shallottide_types::record::{
    DomainRecord, DomainState, KeyHash, ModelRecord, Record, ServiceRecord, TeamRecord,
    UpstreamRecord,
};

/// All records in their newest form.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Every change up to this store index is applied here.
    pub index: StoreIndex,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelRecord>,
    /// Servers of plain services.
    pub upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, ServiceRecord>,
    /// Failure domains.
    pub domains: BTreeMap<DomainId, DomainRecord>,
    /// Teams.
    pub teams: BTreeMap<TeamId, TeamRecord>,
    /// The team of each valid key.
    pub team_keys: BTreeMap<KeyHash, TeamId>,
    /// Why the stored document of a platform key can't be used; its last good one is in force.
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

    /// Tells whether operators have taken a failure domain out.
    #[must_use]
    pub fn is_out(&self, domain: &DomainId) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|record| record.state == DomainState::Out)
    }
}
