//! Paces the loading of weights.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::Group;

use super::{OrderInput, load_key};
use crate::groups::GroupOptions;

/// Lets a bounded number of groups load at once, the most wanted first.
#[derive(Debug)]
pub(super) struct LoadQueue {
    max_loading: usize,
    load_limit: Duration,
    /// When groups that are not complete yet were first allowed to load.
    started: BTreeMap<(GroupId, FencingToken), Instant>,
}

impl LoadQueue {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            max_loading: options.max_loading,
            load_limit: options.load_limit,
            started: BTreeMap::new(),
        }
    }

    /// Returns the groups whose members may load now.
    pub(super) fn allowed(
        &mut self,
        input: &OrderInput<'_>,
        lost: &BTreeSet<VmId>,
    ) -> BTreeSet<GroupId> {
        let complete = complete_by_model(input);
        let groups = input.placement.groups.iter();
        let groups = groups.filter(|(_, group)| !input.is_complete(group));
        let mut waiting: Vec<(&GroupId, &Group)> = groups
            .filter(|(_, group)| !group.members.iter().any(|vm| lost.contains(vm)))
            .collect();
        let keys: BTreeSet<_> = waiting.iter().map(|(id, g)| load_key(id, g)).collect();
        self.started.retain(|key, _| keys.contains(key));
        waiting.sort_by_key(|(id, group)| {
            let started = self.started.contains_key(&load_key(id, group))
                || group.members.iter().any(|vm| holds(input, vm));
            let priority = input.models.get(&group.model).map(|model| model.priority);
            let complete = complete.get(&group.model).copied().unwrap_or(0);
            (!started, Reverse(priority), complete, (*id).clone())
        });
        self.take_first(&waiting, input.now)
    }

    fn take_first(&mut self, waiting: &[(&GroupId, &Group)], now: Instant) -> BTreeSet<GroupId> {
        let mut allowed = BTreeSet::new();
        let mut loading = 0;
        for (id, group) in waiting {
            if loading == self.max_loading {
                break;
            }
            let key = load_key(id, group);
            let started = *self.started.entry(key).or_insert(now);
            if now.saturating_duration_since(started) < self.load_limit {
                loading += 1;
            }
            allowed.insert((*id).clone());
        }
        allowed
    }
}

/// Tells whether a member already holds its assignment, loaded or not.
fn holds(input: &OrderInput<'_>, vm: &VmId) -> bool {
    let report = input.reports.report(vm);
    report.is_some_and(|report| report.assignment.is_some() && input.holds(vm, report))
}

fn complete_by_model<'a>(input: &OrderInput<'a>) -> BTreeMap<&'a ModelId, usize> {
    let mut complete = BTreeMap::new();
    for group in input.placement.groups.values() {
        if input.is_complete(group) {
            *complete.entry(&group.model).or_insert(0) += 1;
        }
    }
    complete
}
