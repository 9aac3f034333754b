//! The placement planner under seeded random sequences of failures, and in single cases.

mod group_support;

use std::collections::{BTreeMap, BTreeSet};

use group_support::{domain, id, model, node_ids, vms};
use shallottide::groups::{PlacementPlanner, PlanInput, rendezvous};
use shallottide_types::cases;
use shallottide_types::id::{FencingToken, GroupId, ModelId, NodeId, UpstreamId, VmId};
use shallottide_types::placement::Placement;
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

/// The state of a failure domain that the planner reads.
struct PlannerScenario {
    previous: Placement,
    models: BTreeMap<ModelId, ModelRecord>,
    upstreams: BTreeSet<UpstreamId>,
    vms: BTreeMap<VmId, Vm>,
    complete: BTreeSet<GroupId>,
    lost: BTreeSet<VmId>,
    nodes: Vec<NodeId>,
}

impl PlannerScenario {
    fn new(fabrics: &[(&str, u16)], models: &[ModelRecord]) -> Self {
        let models = models.iter().map(|model| (model.id.clone(), model.clone()));
        let vms = vms(fabrics).into_iter().map(|vm| (vm.id.clone(), vm));
        Self {
            previous: Placement::empty(domain()),
            models: models.collect(),
            upstreams: (0..5).map(|n| id(&format!("depot-{n}"))).collect(),
            vms: vms.collect(),
            complete: BTreeSet::new(),
            lost: BTreeSet::new(),
            nodes: node_ids(4),
        }
    }

    fn answering(&self) -> BTreeSet<VmId> {
        let vms = self.vms.keys().filter(|vm| !self.lost.contains(vm));
        vms.cloned().collect()
    }

    fn plan(&self) -> Option<Placement> {
        PlacementPlanner::plan(&PlanInput {
            previous: &self.previous,
            models: &self.models,
            upstreams: &self.upstreams,
            vms: &self.vms,
            answering: &self.answering(),
            complete: &self.complete,
            lost: &self.lost,
            nodes: &self.nodes,
            max_imbalance: 2,
        })
    }

    /// Plans until nothing changes, checking each plan.
    fn settle(&mut self) {
        for _ in 0..100 {
            let Some(next) = self.plan() else {
                self.check_no_group_missing();
                return;
            };
            self.check(&next);
            self.previous = next;
        }
        panic!("plans never settle: {:?}", self.previous);
    }

    fn may_serve(&self, vm: &VmId) -> bool {
        let listed = self.vms.get(vm).is_some_and(|vm| !vm.leaving);
        listed && !self.lost.contains(vm)
    }

    fn check(&self, next: &Placement) {
        assert_eq!(next.fencing_token, self.previous.fencing_token.next());
        let mut used = BTreeSet::new();
        for (group_id, group) in &next.groups {
            let record = &self.models[&group.model];
            assert_eq!(group.members.len(), usize::from(record.vms_per_group));
            let fabrics = group.members.iter().map(|vm| &self.vms[vm].fabric);
            assert_eq!(fabrics.collect::<BTreeSet<_>>().len(), 1, "{group_id}");
            for vm in &group.members {
                assert!(used.insert(vm.clone()), "{vm} is in two groups");
                assert!(!self.vms[vm].leaving, "{vm} is leaving");
            }
            assert!(self.nodes.contains(&group.dispatcher), "{group_id}");
            let old = self.previous.groups.get(group_id);
            let same = old.is_some_and(|old| old.members == group.members);
            let formed = old
                .filter(|_| same)
                .map_or(next.fencing_token, |old| old.formed);
            assert_eq!(group.formed, formed, "{group_id}");
        }
        for (model, record) in &self.models {
            let count = next.groups.values().filter(|g| g.model == *model).count();
            assert!(count <= record.groups[&domain()] as usize);
        }
        self.check_kept(next);
        let served: BTreeSet<UpstreamId> = next.services.keys().cloned().collect();
        assert_eq!(served, self.upstreams);
        assert!(next.services.values().all(|node| self.nodes.contains(node)));
    }

    /// Checks that intact groups that are still within the target count keep their members.
    ///
    /// A group may move only to make room for a larger group that forms in the same plan.
    fn check_kept(&self, next: &Placement) {
        for (group_id, group) in &self.previous.groups {
            let intact = group.members.iter().all(|vm| self.may_serve(vm));
            let target = self.models[&group.model].groups[&domain()] as usize;
            let groups = self.previous.groups.values();
            let count = groups.filter(|other| other.model == group.model).count();
            if intact && count <= target {
                let kept = next.groups.get(group_id).map(|kept| &kept.members);
                let moved = kept.is_some_and(|kept| *kept != group.members);
                let larger = next.groups.values().any(|other| {
                    other.formed == next.fencing_token && other.members.len() > group.members.len()
                });
                let made_room = moved && larger;
                let same = kept == Some(&group.members);
                assert!(same || made_room, "{group_id} was intact");
            }
        }
    }

    /// Checks that no missing group could be formed from VMs without a group.
    fn check_no_group_missing(&self) {
        let intact = |g: &&shallottide_types::placement::Group| {
            g.members.iter().all(|vm| self.may_serve(vm))
        };
        let groups: Vec<_> = self.previous.groups.values().filter(intact).collect();
        let used: BTreeSet<&VmId> = groups.iter().flat_map(|g| &g.members).collect();
        for (model, record) in &self.models {
            let count = groups.iter().filter(|group| group.model == *model).count();
            if count >= record.groups[&domain()] as usize {
                continue;
            }
            let mut free: BTreeMap<_, usize> = BTreeMap::new();
            for vm in self.vms.values() {
                if self.may_serve(&vm.id) && !used.contains(&vm.id) {
                    *free.entry(&vm.fabric).or_default() += 1;
                }
            }
            let most = free.values().copied().max().unwrap_or(0);
            assert!(
                most < usize::from(record.vms_per_group),
                "{model}: {most} idle"
            );
        }
    }
}

/// Deterministic random numbers from a seed.
struct SeededRandom {
    seed: u64,
    draws: u64,
}

impl SeededRandom {
    fn below(&mut self, bound: usize) -> usize {
        self.draws += 1;
        let number = rendezvous::weight(self.seed, &self.draws.to_string());
        usize::try_from(number % bound as u64).expect("bound fits")
    }
}

/// Makes one random change to the state of a VM, the set of nodes or the target count of groups.
fn change_randomly(scenario: &mut PlannerScenario, random: &mut SeededRandom) {
    let vms: Vec<VmId> = scenario.vms.keys().cloned().collect();
    let vm = &vms[random.below(vms.len())];
    match random.below(6) {
        0 | 1 => drop(scenario.lost.insert(vm.clone())),
        2 => drop(scenario.lost.remove(vm)),
        3 => {
            let vm = scenario.vms.get_mut(vm).expect("known VM");
            vm.leaving = !vm.leaving;
        }
        4 => {
            let models = scenario.models.len();
            let record = scenario.models.values_mut().nth(random.below(models));
            let record = record.expect("known model");
            let target = u32::try_from(random.below(4)).expect("small");
            record.groups.insert(domain(), target);
        }
        _ => {
            let count = 1 + random.below(6);
            scenario.nodes = node_ids(count);
        }
    }
}

fn random_sequence_keeps_invariants(seed: u64) {
    let models = [
        model("tide", 4, 3, 5),
        model("brook", 2, 2, 1),
        model("drop", 1, 2, 0),
    ];
    let mut scenario = PlannerScenario::new(&[("a", 9), ("b", 7), ("c", 5)], &models);
    let mut random = SeededRandom { seed, draws: 0 };
    scenario.settle();
    for _ in 0..200 {
        for _ in 0..=random.below(3) {
            change_randomly(&mut scenario, &mut random);
        }
        scenario.settle();
    }
}

cases! {
    random_sequence_keeps_invariants;
    random_sequence_1: 1;
    random_sequence_2: 2;
    random_sequence_3: 3;
    random_sequence_4: 4;
    random_sequence_5: 5;
    random_sequence_6: 6;
    random_sequence_7: 7;
    random_sequence_8: 8;
}

#[test]
fn survivors_keep_their_ranks() {
    let mut scenario = PlannerScenario::new(&[("a", 6)], &[model("tide", 4, 1, 0)]);
    scenario.settle();
    let before = scenario
        .previous
        .groups
        .values()
        .next()
        .expect("formed")
        .clone();
    scenario.lost.insert(before.members[1].clone());
    scenario.settle();
    let after = scenario.previous.groups.values().next().expect("repaired");
    for rank in [0, 2, 3] {
        assert_eq!(after.members[rank], before.members[rank]);
    }
    assert_ne!(after.members[1], before.members[1]);
}

#[test]
fn survivors_of_two_groups_form_one() {
    let mut scenario = PlannerScenario::new(&[("a", 8)], &[model("tide", 4, 2, 0)]);
    scenario.settle();
    let groups: Vec<_> = scenario.previous.groups.values().cloned().collect();
    scenario.lost.insert(groups[0].members[0].clone());
    scenario.lost.insert(groups[1].members[0].clone());
    scenario.settle();
    assert_eq!(scenario.previous.groups.len(), 1);
}

/// Two fabric domains with two free VMs each have no room for a group of four, until the group of
/// two moves from one to the other.
#[test]
fn small_group_moves_to_make_room() {
    let models = [model("brook", 2, 1, 0), model("tide", 4, 0, 5)];
    let mut scenario = PlannerScenario::new(&[("a", 4), ("b", 2)], &models);
    let b: Vec<VmId> = scenario.vms.keys().skip(4).cloned().collect();
    scenario.lost.extend(b.clone());
    scenario.settle();
    scenario.lost.clear();
    let tide = scenario.models.get_mut(&id("tide")).expect("known");
    tide.groups.insert(domain(), 1);
    scenario.settle();
    let members = |model: &str| {
        let mut groups = scenario.previous.groups.values();
        let group = groups.find(|group| group.model.as_str() == model);
        group.expect("formed").members.clone()
    };
    assert_eq!(members("tide").len(), 4);
    assert_eq!(members("brook"), b);
}

/// Groups of an earlier size are replaced one by one, each after the previous replacement is
/// complete.
#[test]
fn new_group_size_rolls_out() {
    let mut scenario = PlannerScenario::new(&[("a", 8)], &[model("tide", 2, 3, 0)]);
    scenario.settle();
    let tide = scenario.models.get_mut(&id("tide")).expect("known");
    tide.vms_per_group = 1;
    for replaced in 1..=3 {
        while let Some(next) = scenario.plan() {
            scenario.previous = next;
        }
        let groups = scenario.previous.groups.iter();
        let (new, old): (Vec<_>, Vec<_>) = groups.partition(|(_, g)| g.members.len() == 1);
        assert_eq!((new.len(), old.len()), (replaced, 3 - replaced));
        scenario.complete = new.into_iter().map(|(id, _)| id.clone()).collect();
    }
}

#[test]
fn model_with_highest_priority_forms_first() {
    let models = [model("low", 4, 1, 0), model("tide", 4, 1, 9)];
    let mut scenario = PlannerScenario::new(&[("a", 6)], &models);
    scenario.settle();
    let placed = scenario.previous.groups.values().map(|g| g.model.as_str());
    assert_eq!(placed.collect::<Vec<_>>(), ["tide"]);
}

#[test]
fn dispatchers_stay_while_alive_and_spread() {
    let mut scenario = PlannerScenario::new(&[("a", 8)], &[model("drop", 1, 8, 0)]);
    scenario.upstreams.clear();
    scenario.settle();
    let before = scenario.previous.clone();
    let dead = scenario.nodes.remove(0);
    scenario.settle();
    let mut loads: BTreeMap<&NodeId, usize> = BTreeMap::new();
    for (group_id, group) in &scenario.previous.groups {
        *loads.entry(&group.dispatcher).or_default() += 1;
        let old = &before.groups[group_id].dispatcher;
        assert!(group.dispatcher == *old || *old == dead, "{group_id} moved");
    }
    assert!(
        loads.values().all(|load| (2..=3).contains(load)),
        "{loads:?}"
    );
}

#[test]
fn settled_placement_needs_no_change() {
    let mut scenario = PlannerScenario::new(&[("a", 9)], &[model("tide", 4, 2, 0)]);
    scenario.settle();
    assert!(scenario.previous.fencing_token > FencingToken(0));
    assert_eq!(scenario.plan(), None);
}
