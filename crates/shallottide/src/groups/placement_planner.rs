//! Plans the next placement of a failure domain.

use std::collections::{BTreeMap, BTreeSet};

use shallottide_types::id::{DomainId, FabricId, GroupId, ModelId, NodeId, UpstreamId, VmId};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

mod dispatchers;
mod free_vms;

use dispatchers::assign_dispatchers;
use free_vms::FreeVms;

/// Longest prefix of a model's name used in the ids of its groups.
const MAX_MODEL_BYTES_IN_ID: usize = 80;

/// All inputs of a plan.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The current placement, which the plan changes.
    pub previous: &'a Placement,
    /// Model records by id.
    pub models: &'a BTreeMap<ModelId, ModelRecord>,
    /// Plain-service upstreams of the failure domain.
    pub upstreams: &'a BTreeSet<UpstreamId>,
    /// The VM list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs known to answer; only these may be added to a group.
    pub answering: &'a BTreeSet<VmId>,
    /// Groups whose members are all ready.
    pub complete: &'a BTreeSet<GroupId>,
    /// VMs confirmed not to answer.
    pub lost: &'a BTreeSet<VmId>,
    /// Nodes that may dispatch.
    pub nodes: &'a [NodeId],
    /// Largest difference in slots between two dispatchers before one slot is moved.
    pub max_imbalance: usize,
}

/// Plans placements as a pure function of its input.
///
/// Members that can stay in their group do so. A broken group is first repaired with spare VMs of
/// its own fabric domain. If there are none, its VMs become free, and new groups form from all
/// free VMs.
#[derive(Debug)]
pub struct PlacementPlanner<'a> {
    input: &'a PlanInput<'a>,
    free: FreeVms,
    groups: BTreeMap<GroupId, Group>,
    broken: Vec<(GroupId, Group)>,
}

impl<'a> PlacementPlanner<'a> {
    /// Returns the next placement, or `None` when `previous` needs no change.
    #[must_use]
    pub fn plan(input: &'a PlanInput<'a>) -> Option<Placement> {
        let mut planner = Self {
            input,
            free: FreeVms::default(),
            groups: BTreeMap::new(),
            broken: Vec::new(),
        };
        let models = planner.models_by_priority();
        planner.classify_groups(&models);
        planner.collect_free();
        planner.repair_in_place();
        planner.free_broken_groups();
        planner.form_missing_groups(&models);
        planner.keep_returnable();
        planner.into_next_placement()
    }

    fn domain(&self) -> &'a DomainId {
        &self.input.previous.domain
    }

    /// Returns all models in descending order of priority.
    fn models_by_priority(&self) -> Vec<&'a ModelRecord> {
        let mut models: Vec<&ModelRecord> = self.input.models.values().collect();
        models.sort_by_key(|model| (std::cmp::Reverse(model.priority), &model.id));
        models
    }

    fn target_count(&self, model: &ModelRecord) -> usize {
        let target = model.groups.get(self.domain()).copied().unwrap_or(0);
        usize::try_from(target).unwrap_or(usize::MAX)
    }

    /// Splits the previous groups into those that stay, broken ones and surplus ones.
    fn classify_groups(&mut self, models: &[&ModelRecord]) {
        for model in models {
            let size = usize::from(model.vms_per_group);
            let own_groups = self.input.previous.groups.iter();
            let own_groups = own_groups.filter(|(_, group)| group.model == model.id);
            let (fitting, outdated): (Vec<_>, Vec<_>) =
                own_groups.partition(|(_, group)| group.members.len() == size);
            let outdated = self.select_outdated(&fitting, outdated);
            let (intact, broken): (Vec<_>, Vec<_>) = fitting
                .into_iter()
                .partition(|(_, group)| self.is_intact(group));
            let stay = intact
                .into_iter()
                .chain(outdated)
                .map(|group| (true, group));
            let all = stay.chain(broken.into_iter().map(|group| (false, group)));
            for (stays, (id, group)) in all.take(self.target_count(model)) {
                if stays {
                    self.groups.insert(id.clone(), group.clone());
                } else {
                    self.broken.push((id.clone(), group.clone()));
                }
            }
        }
    }

    /// Returns the groups of an earlier size that remain in service.
    ///
    /// They are replaced one by one: the next one is dropped once all groups of the new size
    /// are complete.
    fn select_outdated(
        &self,
        fitting: &[(&'a GroupId, &'a Group)],
        outdated: Vec<(&'a GroupId, &'a Group)>,
    ) -> Vec<(&'a GroupId, &'a Group)> {
        let complete = |(id, _): &(&GroupId, &Group)| self.input.complete.contains(*id);
        let next = usize::from(fitting.iter().all(complete));
        let intact = outdated
            .into_iter()
            .filter(|(_, group)| self.is_intact(group));
        intact.skip(next).collect()
    }

    fn is_intact(&self, group: &Group) -> bool {
        let members = &group.members;
        members.iter().all(|vm| self.can_stay(vm)) && self.in_same_fabric(members)
    }

    /// Returns whether a member can stay: it is listed, is not leaving and is not lost.
    fn can_stay(&self, vm: &VmId) -> bool {
        let listed = self.input.vms.get(vm);
        listed.is_some_and(|vm| !vm.leaving && vm.domain == *self.domain())
            && !self.input.lost.contains(vm)
    }

    fn in_same_fabric(&self, members: &[VmId]) -> bool {
        let mut fabrics = members.iter().map(|vm| self.fabric_of(vm));
        let first = fabrics.next();
        fabrics.all(|fabric| Some(fabric) == first)
    }

    fn fabric_of(&self, vm: &VmId) -> Option<&'a FabricId> {
        self.input.vms.get(vm).map(|vm| &vm.fabric)
    }

    /// Collects the VMs that answer and belong to no kept or broken group.
    fn collect_free(&mut self) {
        let kept = self.groups.values();
        let kept = kept.chain(self.broken.iter().map(|(_, group)| group));
        let used: BTreeSet<&VmId> = kept.flat_map(|group| &group.members).collect();
        let answering = self.input.answering.iter();
        let free: Vec<&VmId> = answering
            .filter(|vm| !used.contains(vm) && self.can_stay(vm))
            .collect();
        for vm in free {
            self.add_free(vm);
        }
    }

    fn add_free(&mut self, vm: &VmId) {
        if let Some(fabric) = self.fabric_of(vm) {
            self.free.add(fabric, vm);
        }
    }

    fn survivors(&self, group: &Group) -> Vec<VmId> {
        let members = group.members.iter();
        members.filter(|vm| self.can_stay(vm)).cloned().collect()
    }

    /// Replaces lost members with spares of the same fabric domain; survivors keep their ranks.
    fn repair_in_place(&mut self) {
        for (id, mut group) in std::mem::take(&mut self.broken) {
            let survivors = self.survivors(&group);
            let missing = group.members.len() - survivors.len();
            let fabric = survivors.first().and_then(|vm| self.fabric_of(vm));
            let fabric = fabric.filter(|_| missing > 0 && self.in_same_fabric(&survivors));
            let Some(spares) = fabric.and_then(|f| self.free.take(f, missing, &[])) else {
                self.broken.push((id, group));
                continue;
            };
            let mut spares = spares.into_iter();
            for member in &mut group.members {
                if !survivors.contains(member) {
                    *member = spares.next().expect("one spare for each missing member");
                }
            }
            group.formed = self.input.previous.fencing_token.next();
            self.groups.insert(id, group);
        }
    }

    /// Adds the survivors of broken groups to the free VMs, so that any group can use them.
    fn free_broken_groups(&mut self) {
        for (_, group) in &self.broken.clone() {
            for vm in self.survivors(group) {
                if self.input.answering.contains(&vm) {
                    self.add_free(&vm);
                }
            }
        }
    }

    /// Forms groups until each model has its target count or no fabric domain has room.
    fn form_missing_groups(&mut self, models: &[&ModelRecord]) {
        for model in models {
            while self.group_count(&model.id) < self.target_count(model) {
                let formed = self.form_group(model);
                let formed = formed || (self.make_room(model) && self.form_group(model));
                if !formed {
                    break;
                }
            }
        }
    }

    /// Moves one smaller group of equal or lower priority to another fabric domain, if that
    /// makes room for a group of the model.
    fn make_room(&mut self, model: &ModelRecord) -> bool {
        if self.input.nodes.is_empty() {
            return false;
        }
        let size = usize::from(model.vms_per_group);
        let priority = |id: &ModelId| self.input.models.get(id).map(|record| record.priority);
        let movable = self.groups.iter().filter(|(_, group)| {
            group.members.len() < size && priority(&group.model) <= Some(model.priority)
        });
        let mut movable: Vec<_> = movable
            .map(|(id, g)| (g.members.len(), id.clone()))
            .collect();
        movable.sort();
        let id = movable.into_iter().find_map(|(count, id)| {
            let fabric = self.fabric_of(self.groups[&id].members.first()?)?;
            let room = self.free.count(fabric) + count >= size;
            (room && self.free.fits_in_other(fabric, count)).then_some(id)
        });
        id.is_some_and(|id| self.move_group(&id))
    }

    fn move_group(&mut self, id: &GroupId) -> bool {
        let members = self.groups[id].members.clone();
        let fabric = members.first().and_then(|vm| self.fabric_of(vm));
        let Some(others) = fabric.and_then(|f| self.free.take_from_other(f, members.len())) else {
            return false;
        };
        for vm in &members {
            self.add_free(vm);
        }
        let formed = self.input.previous.fencing_token.next();
        if let Some(group) = self.groups.get_mut(id) {
            group.members = others;
            group.formed = formed;
        }
        true
    }

    fn group_count(&self, model: &ModelId) -> usize {
        let groups = self.groups.values();
        groups.filter(|group| group.model == *model).count()
    }

    fn form_group(&mut self, model: &ModelRecord) -> bool {
        let size = usize::from(model.vms_per_group);
        let broken = self.broken.iter().position(|(_, g)| g.model == model.id);
        let old_members = broken.map(|index| self.broken[index].1.members.clone());
        let preferred = old_members.unwrap_or_default();
        let fabric = preferred.iter().find_map(|vm| self.fabric_of(vm));
        let Some(members) = self.free.take_best(fabric, size, &preferred) else {
            return false;
        };
        let formed = self.input.previous.fencing_token.next();
        let (id, dispatcher) = match broken.map(|index| self.broken.remove(index)) {
            Some((id, group)) => (id, Some(group.dispatcher)),
            None => (self.new_group_id(&model.id), None),
        };
        // Without a node, no dispatcher could send requests to the group, so it isn't formed.
        let Some(dispatcher) = dispatcher.or_else(|| self.input.nodes.first().cloned()) else {
            return false;
        };
        let group = Group {
            model: model.id.clone(),
            members,
            formed,
            dispatcher,
        };
        self.groups.insert(id, group);
        true
    }

    /// Returns an id built from the model and the fencing token of the next placement, so that ids
    /// are never reused.
    fn new_group_id(&self, model: &ModelId) -> GroupId {
        let fencing_token = self.input.previous.fencing_token.next();
        let name = &model.as_str()[..model.as_str().len().min(MAX_MODEL_BYTES_IN_ID)];
        let taken = |id: &GroupId| {
            self.groups.contains_key(id) || self.broken.iter().any(|(other, _)| other == id)
        };
        let ids = (0..).map(|n| {
            format!("{name}-{fencing_token}.{n}")
                .parse()
                .expect("ids are ASCII")
        });
        ids.into_iter()
            .find(|id| !taken(id))
            .expect("an unused number exists")
    }

    /// Keeps broken groups whose survivors no other group uses: they are complete again once
    /// their lost members return.
    fn keep_returnable(&mut self) {
        for (id, group) in std::mem::take(&mut self.broken) {
            let used = self.groups.values().flat_map(|group| &group.members);
            let used: BTreeSet<&VmId> = used.collect();
            if !group.members.iter().any(|vm| used.contains(vm)) && self.can_return(&group) {
                self.groups.insert(id, group);
            }
        }
    }

    /// Returns whether the return of its members alone would make a broken group intact.
    fn can_return(&self, group: &Group) -> bool {
        let members = &group.members;
        let listed = |vm: &VmId| self.input.vms.get(vm).is_some_and(|vm| !vm.leaving);
        members.iter().all(listed) && self.in_same_fabric(members)
    }

    fn into_next_placement(self) -> Option<Placement> {
        let previous = self.input.previous;
        let mut next = Placement {
            domain: previous.domain.clone(),
            fencing_token: previous.fencing_token.next(),
            groups: self.groups,
            services: BTreeMap::new(),
        };
        assign_dispatchers(self.input, &mut next);
        let same = next.groups == previous.groups && next.services == previous.services;
        (!same).then_some(next)
    }
}
