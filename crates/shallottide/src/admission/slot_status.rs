//! Status of a slot according to the records, the placement and the engine reports.

use std::time::{Duration, Instant};

use shallottide_types::engine::EngineState;
use shallottide_types::id::{FencingToken, Incarnation};
use shallottide_types::peer::Slot;
use shallottide_types::placement::Group;
use shallottide_types::record::UpstreamState;
use shallottide_types::refusal::{Ran, Refusal, RefusalKind};

use super::slot_limit::Bounds;
use crate::kernel::Context;

/// Suggested retry delay after a refusal because a slot is not ready.
const RETRY_NOT_READY: Duration = Duration::from_secs(2);

/// Builds the refusal for a slot that may not serve.
pub(super) fn not_ready(message: impl Into<String>) -> Refusal {
    Refusal::new(RefusalKind::NoUpstream, Ran::No, message).retry_after(RETRY_NOT_READY)
}

/// Status of a slot according to the records, the placement and the engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SlotStatus {
    pub(super) bounds: Bounds,
    /// Changes when the group is formed again or a member's engine restarts.
    pub(super) incarnation: SlotIncarnation,
    /// Whether a member is not reported as warm.
    pub(super) reports_cold: bool,
    /// Whether the slot is of a kind that reports its load.
    pub(super) reports_load: bool,
    /// Number of all requests on the upstream, and the time of that count.
    pub(super) reported: Option<(u32, Instant)>,
}

/// Identifies one incarnation of a slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct SlotIncarnation {
    pub(super) formed: FencingToken,
    /// Engine incarnation of each member by rank, as far as known.
    pub(super) engine_incarnations: Vec<Option<Incarnation>>,
}

impl SlotIncarnation {
    /// Returns whether the slot is known to have restarted since `earlier`.
    pub(super) fn has_restarted_since(&self, earlier: &Self) -> bool {
        let restarted = |(now, then): (&Option<Incarnation>, &Option<Incarnation>)| {
            then.is_some() && now.is_some() && now != then
        };
        let mut pairs = self
            .engine_incarnations
            .iter()
            .zip(&earlier.engine_incarnations);
        self.formed != earlier.formed || pairs.any(restarted)
    }
}

/// Reads the status of a slot that this node dispatches to; `None` if the slot has no record or
/// another dispatcher.
pub(super) fn read(slot: &Slot, cx: &Context) -> Option<SlotStatus> {
    let me = cx.me();
    let placement = cx.placement();
    if placement.dispatcher(&me.domain, slot) != Some(&me.node) {
        return None;
    }
    let config = cx.config();
    match slot {
        Slot::Group(id) => {
            let group = placement.domains.get(&me.domain)?.groups.get(id)?;
            let record = config.models.get(&group.model)?;
            let bounds = Bounds {
                cold: record.cold_limit,
                full: record.full_limit,
            };
            Some(group_status(group, bounds, cx))
        }
        Slot::Service(id) => {
            let record = config.upstreams.get(id)?;
            Some(SlotStatus {
                bounds: Bounds {
                    cold: record.cold_limit,
                    full: record.full_limit,
                },
                incarnation: SlotIncarnation::default(),
                reports_cold: false,
                reports_load: false,
                reported: None,
            })
        }
    }
}

fn group_status(group: &Group, bounds: Bounds, cx: &Context) -> SlotStatus {
    let engines = cx.engines();
    let reports = group.members.iter().map(|vm| engines.reports.get(vm));
    let reports: Vec<_> = reports.collect();
    let engine_incarnations = reports
        .iter()
        .map(|timed| timed.map(|t| t.report.incarnation));
    let warm = |timed: &crate::view::TimedReport| timed.report.state == EngineState::Warm;
    let first = reports.first().copied().flatten();
    let reported = first.and_then(|timed| {
        let at = timed
            .read_at
            .checked_sub(Duration::from_millis(timed.report.lag_ms))?;
        Some((timed.report.running + timed.report.queued, at))
    });
    SlotStatus {
        bounds,
        incarnation: SlotIncarnation {
            formed: group.formed,
            engine_incarnations: engine_incarnations.collect(),
        },
        reports_cold: !reports.iter().all(|timed| timed.is_some_and(warm)),
        reports_load: true,
        reported,
    }
}

/// Checks whether a slot that this node dispatches to may receive new requests.
///
/// # Errors
/// A refusal with `Ran::No` that names the reason.
pub(super) fn check_ready(slot: &Slot, cx: &Context) -> Result<(), Refusal> {
    let me = cx.me();
    let config = cx.config();
    if config.is_out(&me.domain) {
        let message = format!("failure domain {} is out: call another one", me.domain);
        return Err(not_ready(message));
    }
    let placement = cx.placement();
    match slot {
        Slot::Group(id) => {
            let placed = placement.domains.get(&me.domain);
            let group = placed.and_then(|p| p.groups.get(id));
            let group = group.ok_or_else(|| not_ready(format!("group {id} is not placed")))?;
            check_group(group, cx).map_err(|reason| not_ready(format!("group {id} {reason}")))
        }
        Slot::Service(id) => {
            let record = config.upstreams.get(id);
            let record = record.ok_or_else(|| not_ready(format!("upstream {id} has no record")))?;
            if record.state == UpstreamState::Leaving || record.failure_domain != me.domain {
                return Err(not_ready(format!(
                    "upstream {id} is leaving: retry elsewhere"
                )));
            }
            Ok(())
        }
    }
}

fn check_group(group: &Group, cx: &Context) -> Result<(), &'static str> {
    let engines = cx.engines();
    if !engines.is_complete(group, cx.now()) {
        return Err("is not complete: retry until all members are ready");
    }
    let leaving = |vm| engines.vms.get(vm).is_some_and(|vm| vm.leaving);
    if group.members.iter().any(leaving) {
        return Err("has a member that is leaving: retry elsewhere");
    }
    Ok(())
}
