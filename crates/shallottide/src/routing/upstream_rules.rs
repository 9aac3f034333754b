//! What the record of a call's target allows.

use shallottide_types::call::{CallHead, Target};
use shallottide_types::id::DomainId;
use shallottide_types::record::{Generation, UpstreamState};
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::traffic::{self, Generations};
use crate::view::ConfigView;

/// The rules for one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamRules {
    pub(super) generations: Generations,
    /// Whether the generations differ at all for this call.
    pub(super) is_split: bool,
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
        generations: traffic::choose(split, head),
        is_split: is_model || split.is_some(),
        other_domains,
    })
}

fn not_found(what: &str) -> Refusal {
    let message = format!("{what} is not known: check its name");
    Refusal::new(RefusalKind::NotFound, Ran::No, message)
}

/// Tells whether a failure domain has anything that could serve a target.
pub(super) fn serves(target: &Target, domain: &DomainId, config: &ConfigView) -> bool {
    let upstreams = config.upstreams.values();
    let name = name(target);
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

/// Returns the name under which upstream records name a target.
pub(super) fn name(target: &Target) -> &str {
    match target {
        Target::Model(model) => model.as_str(),
        Target::Service(service) => service.as_str(),
    }
}

impl UpstreamRules {
    /// Tells whether a generation may serve, and whether only when the wanted one can't.
    pub(super) fn preference(self, generation: Generation) -> Option<bool> {
        if !self.is_split || generation == self.generations.wanted {
            return Some(true);
        }
        self.generations.other.then_some(false)
    }
}
