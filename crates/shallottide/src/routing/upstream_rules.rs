//! Routing rules from the record of a call's target.

use shallottide_types::call::{CallHead, Target};
use shallottide_types::id::DomainId;
use shallottide_types::record::{Generation, UpstreamState};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::generations::{self, Generations};
use crate::view::ConfigView;

/// Routing rules for one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRules {
    pub(super) generations: Generations,
    /// Whether the generation of an upstream matters for this call.
    pub(super) is_split: bool,
    /// Whether another failure domain may serve the call.
    pub(super) other_domains: bool,
}

/// Reads the rules for a call's target.
///
/// # Errors
/// A refusal when no record names the target.
pub(super) fn read(head: &CallHead, config: &ConfigView) -> Result<UpstreamRules, Refusal> {
    let (split, other_domains) = match &head.target {
        Target::Model(model) => {
            let record = config.models.get(model);
            let record = record.ok_or_else(|| not_found(&format!("model {model}")))?;
            (record.split.as_ref(), record.other_domains)
        }
        Target::Service(service) => {
            let record = config.services.get(service);
            let record = record.ok_or_else(|| not_found(&format!("service {service}")))?;
            (record.split.as_ref(), record.other_domains)
        }
    };
    let is_model = matches!(head.target, Target::Model(_));
    Ok(UpstreamRules {
        generations: generations::choose(split, head),
        is_split: is_model || split.is_some(),
        other_domains,
    })
}

fn not_found(what: &str) -> Refusal {
    let message = format!("{what} is not known: check its name");
    Refusal::new(RefusalKind::NotFound, Ran::No, message)
}

/// Returns whether a failure domain has a group or an upstream for a target.
pub(super) fn serves(target: &Target, domain: &DomainId, config: &ConfigView) -> bool {
    let upstreams = config.upstreams.values();
    let name = target_name(target);
    let mut upstreams = upstreams.filter(|record| {
        record.failure_domain == *domain
            && record.service.as_str() == name
            && record.state == UpstreamState::Serving
    });
    let grouped = match target {
        Target::Model(model) => {
            let record = config.models.get(model);
            record.is_some_and(|r| r.groups.get(domain).is_some_and(|count| *count > 0))
        }
        Target::Service(_) => false,
    };
    grouped || upstreams.next().is_some()
}

/// Returns the name of a target as upstream records contain it.
pub(super) fn target_name(target: &Target) -> &str {
    match target {
        Target::Model(model) => model.as_str(),
        Target::Service(service) => service.as_str(),
    }
}

impl UpstreamRules {
    /// Returns whether a generation is the preferred one; `None` if it may not serve.
    pub(super) fn preference(self, generation: Generation) -> Option<bool> {
        if !self.is_split || generation == self.generations.preferred {
            return Some(true);
        }
        self.generations.allows_other.then_some(false)
    }
}
