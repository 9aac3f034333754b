//! Likely mistakes in valid records.

use shallottide_types::id::{DomainId, ServiceId, TeamId, UpstreamId};
use shallottide_types::record::{
    Document, DomainRecord, DomainState, Generation, ModelRecord, Record, RecordKind, TeamRecord,
    TrafficSplit, UpstreamRecord,
};

use crate::view::ConfigView;

/// A likely mistake in a record, which is stored nevertheless.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Warning {
    /// The record has a field that this program doesn't know.
    #[error("{kind} field {field:?} is not known and has no effect: check its spelling")]
    UnknownField {
        /// Kind of the record.
        kind: RecordKind,
        /// Name of the field.
        field: String,
    },
    /// The record names a failure domain without a record.
    #[error("failure domain {0} has no record: apply one, or correct the name")]
    UnknownDomain(DomainId),
    /// The record names a service that has neither a service nor a model record.
    #[error("service {0} has no service or model record: apply one, or correct the name")]
    UnknownService(ServiceId),
    /// The traffic split names a team without a record.
    #[error("team {0} in split has no record: apply one, or correct the name")]
    UnknownTeam(TeamId),
    /// The team has no keys, so it can't call.
    #[error("team {0} has no keys, so its calls are refused: add key_hashes")]
    NoKeys(TeamId),
    /// A key belongs to two teams.
    #[error("a key of team {team} belongs to team {other} too: give each team its own keys")]
    SharedKey {
        /// The team.
        team: TeamId,
        /// The other team.
        other: TeamId,
    },
    /// The change moves an upstream between the old system and the new one.
    #[error(
        "upstream {upstream} moves from the {from} system to the {to} one, and its share of the traffic with it: set generation if that is not wanted"
    )]
    OtherGeneration {
        /// The upstream.
        upstream: UpstreamId,
        /// The generation stored.
        from: Generation,
        /// The generation written.
        to: Generation,
    },
    /// The change takes the last serving failure domain out.
    #[error("no failure domain takes new work after this: restore one first")]
    NoDomainLeft,
}

/// Finds likely mistakes in a record, given all stored records.
#[must_use]
pub fn review(document: &Document, record: &Record, records: &ConfigView) -> Vec<Warning> {
    let kind = record.kind();
    let unknown = document.unknown_fields().unwrap_or_default();
    let mut warnings: Vec<_> = unknown
        .into_iter()
        .map(|field| Warning::UnknownField { kind, field })
        .collect();
    warnings.extend(match record {
        Record::Model(model) => review_model(model, records),
        Record::Upstream(upstream) => review_upstream(upstream, records),
        Record::Service(service) => review_split(service.split.as_ref(), records),
        Record::Domain(domain) => review_domain(domain, records),
        Record::Team(team) => review_team(team, records),
    });
    warnings
}

/// Finds a likely mistake in a change, given the records stored before it.
#[must_use]
pub fn review_change(document: &Document, record: &Record, before: &ConfigView) -> Option<Warning> {
    let Record::Upstream(upstream) = record else {
        return None;
    };
    let stored = before.upstreams.get(&upstream.id)?;
    // Schema 1 has no generation, so writing it keeps the stored one.
    let sets_generation = document.schema().is_ok_and(|schema| schema > 1);
    let differs = stored.generation != upstream.generation;
    (sets_generation && differs).then(|| Warning::OtherGeneration {
        upstream: upstream.id.clone(),
        from: stored.generation,
        to: upstream.generation,
    })
}

fn review_model(model: &ModelRecord, records: &ConfigView) -> Vec<Warning> {
    let domains = model.groups.keys();
    let mut warnings: Vec<_> = domains
        .filter_map(|id| unknown_domain(id, records))
        .collect();
    warnings.extend(review_split(model.split.as_ref(), records));
    warnings
}

fn review_upstream(upstream: &UpstreamRecord, records: &ConfigView) -> Vec<Warning> {
    let service = &upstream.service;
    let mut models = records.models.keys();
    let is_known = records.services.contains_key(service)
        || models.any(|model| model.as_str() == service.as_str());
    let mut warnings: Vec<_> = unknown_domain(&upstream.failure_domain, records)
        .into_iter()
        .collect();
    if !is_known {
        warnings.push(Warning::UnknownService(service.clone()));
    }
    warnings
}

fn review_split(split: Option<&TrafficSplit>, records: &ConfigView) -> Vec<Warning> {
    let teams = split.into_iter().flat_map(|split| split.teams.keys());
    teams
        .filter(|team| !records.teams.contains_key(*team))
        .map(|team| Warning::UnknownTeam(team.clone()))
        .collect()
}

fn review_domain(domain: &DomainRecord, records: &ConfigView) -> Vec<Warning> {
    let mut others = records
        .domains
        .values()
        .filter(|other| other.id != domain.id);
    let is_last = others.all(|other| other.state == DomainState::Out);
    if domain.state == DomainState::Out && is_last {
        return vec![Warning::NoDomainLeft];
    }
    Vec::new()
}

fn review_team(team: &TeamRecord, records: &ConfigView) -> Vec<Warning> {
    if team.key_hashes.is_empty() {
        return vec![Warning::NoKeys(team.id.clone())];
    }
    let shares_a_key = |other: &&TeamRecord| {
        let keys = &other.key_hashes;
        other.id != team.id && keys.iter().any(|key| team.key_hashes.contains(key))
    };
    let others = records.teams.values().filter(shares_a_key);
    let warnings = others.map(|other| Warning::SharedKey {
        team: team.id.clone(),
        other: other.id.clone(),
    });
    warnings.collect()
}

fn unknown_domain(domain: &DomainId, records: &ConfigView) -> Option<Warning> {
    let is_known = records.domains.contains_key(domain);
    (!is_known).then(|| Warning::UnknownDomain(domain.clone()))
}
