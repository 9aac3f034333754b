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

/// Longest part of a model's name that goes into the id of its groups.
const MAX_MODEL_BYTES_IN_ID: usize = 80;

/// Everything that a plan depends on.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The placement in force.
    pub previous: &'a Placement,
    /// The models' records.
    pub models: &'a BTreeMap<ModelId, ModelRecord>,
    /// Plain-service upstreams of the failure domain.
    pub upstreams: &'a BTreeSet<UpstreamId>,
    /// The VM list.
    pub vms: &'a BTreeMap<VmId, Vm>,
    /// VMs that answer; only these join a group anew.
    pub answering: &'a BTreeSet<VmId>,
    /// Groups whose members are all ready.
    pub complete: &'a BTreeSet<GroupId>,
    /// VMs that certainly don't answer.
    pub lost: &'a BTreeSet<VmId>,
    /// Nodes that may dispatch.
    pub nodes: &'a [NodeId],
    /// Slots by which one dispatcher may exceed another.
    pub max_imbalance: usize,
}

/// Plans placements; a pure function of its input.
///
/// Members that may stay do stay. A broken group first takes spares of its own fabric domain;
/// groups for which there are none give their VMs up, and new groups form from all that is free.
#[derive(Debug)]
pub struct Planner<'a> {
    input: &'a PlanInput<'a>,
    free: FreeVms,
    groups: BTreeMap<GroupId, Group>,
    broken: Vec<(GroupId, Group)>,
}

impl<'a> Planner<'a> {
    /// Returns the next placement, or `None` when the one in force may stay.
    #[must_use]
    pub fn plan(input: &'a PlanInput<'a>) -> Option<Placement> {
        let mut planner = Self {
            input,
            free: FreeVms::default(),
            groups: BTreeMap::new(),
            broken: Vec::new(),
        };
        let models = planner.models();
        planner.sort_groups(&models);
        planner.collect_free();
        planner.repair_in_place();
        planner.give_up_members();
        planner.form_missing(&models);
        planner.keep_unrepaired();
        planner.finish()
    }

    fn domain(&self) -> &'a DomainId {
        &self.input.previous.domain
    }

    /// Returns the models that this failure domain serves, most wanted first.
    fn models(&self) -> Vec<&'a ModelRecord> {
        let mut models: Vec<&ModelRecord> = self.input.models.values().collect();
        models.sort_by_key(|model| (std::cmp::Reverse(model.priority), &model.id));
        models
    }

    fn wanted(&self, model: &ModelRecord) -> usize {
        let wanted = model.groups.get(self.domain()).copied().unwrap_or(0);
        usize::try_from(wanted).unwrap_or(usize::MAX)
    }

    /// Splits the previous groups into those that stay, broken and surplus ones.
    fn sort_groups(&mut self, models: &[&ModelRecord]) {
        for model in models {
            let size = usize::from(model.vms_per_group);
            let mine = self.input.previous.groups.iter();
            let mine = mine.filter(|(_, group)| group.model == model.id);
            let (fitting, outdated): (Vec<_>, Vec<_>) =
                mine.partition(|(_, group)| group.members.len() == size);
            let outdated = self.outdated_to_keep(&fitting, outdated);
            let (whole, broken): (Vec<_>, Vec<_>) = fitting
                .into_iter()
                .partition(|(_, group)| self.is_whole(group));
            let stay = whole.into_iter().chain(outdated).map(|group| (true, group));
            let all = stay.chain(broken.into_iter().map(|group| (false, group)));
            for (stays, (id, group)) in all.take(self.wanted(model)) {
                if stays {
                    self.groups.insert(id.clone(), group.clone());
                } else {
                    self.broken.push((id.clone(), group.clone()));
                }
            }
        }
    }

    /// Returns the groups of an earlier size that still serve. They are replaced one by one:
    /// the next gives its VMs up once all groups of the new size are complete.
    fn outdated_to_keep(
        &self,
        fitting: &[(&'a GroupId, &'a Group)],
        outdated: Vec<(&'a GroupId, &'a Group)>,
    ) -> Vec<(&'a GroupId, &'a Group)> {
        let complete = |(id, _): &(&GroupId, &Group)| self.input.complete.contains(*id);
        let next = usize::from(fitting.iter().all(complete));
        let whole = outdated
            .into_iter()
            .filter(|(_, group)| self.is_whole(group));
        whole.skip(next).collect()
    }

    fn is_whole(&self, group: &Group) -> bool {
        let members = &group.members;
        members.iter().all(|vm| self.may_stay(vm)) && self.one_fabric(members)
    }

    /// Tells whether a member may stay: it is listed, is not leaving and is not lost.
    fn may_stay(&self, vm: &VmId) -> bool {
        let listed = self.input.vms.get(vm);
        listed.is_some_and(|vm| !vm.leaving && vm.domain == *self.domain())
            && !self.input.lost.contains(vm)
    }

    fn one_fabric(&self, members: &[VmId]) -> bool {
        let mut fabrics = members.iter().map(|vm| self.fabric(vm));
        let first = fabrics.next();
        fabrics.all(|fabric| Some(fabric) == first)
    }

    fn fabric(&self, vm: &VmId) -> Option<&'a FabricId> {
        self.input.vms.get(vm).map(|vm| &vm.fabric)
    }

    /// Collects VMs that answer and belong to no whole or broken group.
    fn collect_free(&mut self) {
        let kept = self.groups.values();
        let kept = kept.chain(self.broken.iter().map(|(_, group)| group));
        let used: BTreeSet<&VmId> = kept.flat_map(|group| &group.members).collect();
        let answering = self.input.answering.iter();
        let free: Vec<&VmId> = answering
            .filter(|vm| !used.contains(vm) && self.may_stay(vm))
            .collect();
        for vm in free {
            self.add_free(vm);
        }
    }

    fn add_free(&mut self, vm: &VmId) {
        if let Some(fabric) = self.fabric(vm) {
            self.free.add(fabric, vm);
        }
    }

    fn survivors(&self, group: &Group) -> Vec<VmId> {
        let members = group.members.iter();
        members.filter(|vm| self.may_stay(vm)).cloned().collect()
    }

    /// Replaces lost members by spares of the same fabric domain; survivors keep their ranks.
    fn repair_in_place(&mut self) {
        for (id, mut group) in std::mem::take(&mut self.broken) {
            let survivors = self.survivors(&group);
            let missing = group.members.len() - survivors.len();
            let fabric = survivors.first().and_then(|vm| self.fabric(vm));
            let fabric = fabric.filter(|_| missing > 0 && self.one_fabric(&survivors));
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

    /// Frees the survivors of broken groups so that any group may form from them.
    fn give_up_members(&mut self) {
        for (_, group) in &self.broken.clone() {
            for vm in self.survivors(group) {
                if self.input.answering.contains(&vm) {
                    self.add_free(&vm);
                }
            }
        }
    }

    /// Forms groups until each model has as many as wanted or no fabric domain has room.
    fn form_missing(&mut self, models: &[&ModelRecord]) {
        for model in models {
            while self.count(&model.id) < self.wanted(model) {
                let formed = self.form_one(model);
                let formed = formed || (self.make_room(model) && self.form_one(model));
                if !formed {
                    break;
                }
            }
        }
    }

    /// Moves one smaller group of no higher priority to another fabric domain, if that leaves
    /// room for a group of the model.
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
            let fabric = self.fabric(self.groups[&id].members.first()?)?;
            let room = self.free.count(fabric) + count >= size;
            (room && self.free.fits_elsewhere(fabric, count)).then_some(id)
        });
        id.is_some_and(|id| self.move_group(&id))
    }

    fn move_group(&mut self, id: &GroupId) -> bool {
        let members = self.groups[id].members.clone();
        let fabric = members.first().and_then(|vm| self.fabric(vm));
        let Some(others) = fabric.and_then(|f| self.free.take_elsewhere(f, members.len())) else {
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

    fn count(&self, model: &ModelId) -> usize {
        let groups = self.groups.values();
        groups.filter(|group| group.model == *model).count()
    }

    fn form_one(&mut self, model: &ModelRecord) -> bool {
        let size = usize::from(model.vms_per_group);
        let broken = self.broken.iter().position(|(_, g)| g.model == model.id);
        let old = broken.map(|index| self.broken[index].1.members.clone());
        let preferred = old.unwrap_or_default();
        let fabric = preferred.iter().find_map(|vm| self.fabric(vm));
        let Some(members) = self.free.take_best(fabric, size, &preferred) else {
            return false;
        };
        let formed = self.input.previous.fencing_token.next();
        let (id, dispatcher) = match broken.map(|index| self.broken.remove(index)) {
            Some((id, group)) => (id, Some(group.dispatcher)),
            None => (self.new_id(&model.id), None),
        };
        // Without a node the group can't be dispatched to, so it isn't formed.
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

    /// Names a group by its model and the write that forms it, so that no id is used again.
    fn new_id(&self, model: &ModelId) -> GroupId {
        let fence = self.input.previous.fencing_token.next();
        let name = &model.as_str()[..model.as_str().len().min(MAX_MODEL_BYTES_IN_ID)];
        let taken = |id: &GroupId| {
            self.groups.contains_key(id) || self.broken.iter().any(|(other, _)| other == id)
        };
        let ids = (0..).map(|n| {
            format!("{name}-{fence}.{n}")
                .parse()
                .expect("ids are ASCII")
        });
        ids.into_iter()
            .find(|id| !taken(id))
            .expect("numbers don't end")
    }

    /// Keeps broken groups whose survivors nobody needed: a member that returns completes them.
    fn keep_unrepaired(&mut self) {
        for (id, group) in std::mem::take(&mut self.broken) {
            let used = self.groups.values().flat_map(|group| &group.members);
            let used: BTreeSet<&VmId> = used.collect();
            if !group.members.iter().any(|vm| used.contains(vm)) && self.can_return(&group) {
                self.groups.insert(id, group);
            }
        }
    }

    /// Tells whether a broken group could become whole by its members' return alone.
    fn can_return(&self, group: &Group) -> bool {
        let members = &group.members;
        let listed = |vm: &VmId| self.input.vms.get(vm).is_some_and(|vm| !vm.leaving);
        members.iter().all(listed) && self.one_fabric(members)
    }

    fn finish(self) -> Option<Placement> {
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
