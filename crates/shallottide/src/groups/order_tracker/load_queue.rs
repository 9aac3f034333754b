//! Limits how many groups load weights at the same time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::Group;

use super::{OrderInput, load_key};
use crate::groups::GroupOptions;

/// Allows a bounded number of groups to load at the same time, by descending priority.
#[derive(Debug)]
pub(super) struct LoadQueue {
    max_loading_groups: usize,
    load_timeout: Duration,
    /// When each incomplete group was first allowed to load.
    started: BTreeMap<(GroupId, FencingToken), Instant>,
}

impl LoadQueue {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            max_loading_groups: options.max_loading_groups,
            load_timeout: options.load_timeout,
            started: BTreeMap::new(),
        }
    }

    /// Returns the groups whose members may load now.
    pub(super) fn allow(
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
                || group.members.iter().any(|vm| holds_assignment(input, vm));
            let priority = input.models.get(&group.model).map(|model| model.priority);
            let complete = complete.get(&group.model).copied().unwrap_or(0);
            (!started, Reverse(priority), complete, (*id).clone())
        });
        self.allow_first(&waiting, input.now)
    }

    fn allow_first(&mut self, waiting: &[(&GroupId, &Group)], now: Instant) -> BTreeSet<GroupId> {
        let mut allowed = BTreeSet::new();
        let mut loading = 0;
        for (id, group) in waiting {
            if loading == self.max_loading_groups {
                break;
            }
            let key = load_key(id, group);
            let started = *self.started.entry(key).or_insert(now);
            if now.saturating_duration_since(started) < self.load_timeout {
                loading += 1;
            }
            allowed.insert((*id).clone());
        }
        allowed
    }
}

/// Returns whether a member already holds its assignment, loaded or not.
fn holds_assignment(input: &OrderInput<'_>, vm: &VmId) -> bool {
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
