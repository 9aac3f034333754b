//! Compares recovery policies on the same seeded failures of one failure domain:
//! `cargo run --release -p shallottide --example recovery_compare`.
//!
//! `restart in place` keeps every group on its VMs and waits for a failed VM to return.
//! `planner` is [`PlacementPlanner`] with the service's timing. Simulated time, no sockets.

use std::collections::{BTreeMap, BTreeSet};

use shallottide::groups::{PlacementPlanner, PlanInput, rendezvous};
use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

/// Fabric domains of the failure domain, and VMs in each.
const FABRICS: u16 = 10;
const VMS_PER_FABRIC: u16 = 16;
/// VMs of one group.
const VMS_PER_GROUP: u8 = 4;
/// Accelerators of one VM.
const ACCELERATORS: u64 = 8;
/// Simulated time in seconds.
const DAY: u64 = 86_400;
const DAYS: u64 = 30;
/// Failures a day in the failure domain, in tenths: a fifth of 12, and of 69 restarts.
const FAILURES_A_DAY_TENTHS: u64 = 24;
const RESTARTS_A_DAY_TENTHS: u64 = 138;
/// Time until a failed or restarted VM, or a dark fabric domain, is back, in seconds.
const REPAIR: u64 = 2 * 3_600;
const RESTART: u64 = 180;
const FABRIC_REPAIR: u64 = 4 * 3_600;
/// Time until a silent VM counts as lost, and until a returned one is known, in seconds.
const NOTICE_LOSS: u64 = 7;
const NOTICE_RETURN: u64 = 2;
/// Time that a group loads weights, in seconds, and groups that may load at once.
const LOAD: u64 = 90;
const MAX_LOADING: usize = 4;

/// A VM's silence.
#[derive(Debug, Clone)]
struct Outage {
    vm: VmId,
    from: u64,
    to: u64,
}

/// Numbers that follow from a seed alone.
struct Seeded {
    seed: u64,
    drawn: u64,
}

impl Seeded {
    fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, &self.drawn.to_string()) % bound
    }
}

fn fleet() -> BTreeMap<VmId, Vm> {
    let mut vms = BTreeMap::new();
    for fabric in 0..FABRICS {
        for number in 0..VMS_PER_FABRIC {
            let port = 10_000 + fabric * VMS_PER_FABRIC + number;
            let vm = Vm {
                id: format!("vm-{fabric}-{number:02}")
                    .parse()
                    .expect("valid id"),
                address: ([127, 0, 0, 1], port).into(),
                domain: "jkpg".parse().expect("valid id"),
                fabric: format!("rack-{fabric}").parse().expect("valid id"),
                accelerators: 8,
                fences_orders: true,
                leaving: false,
            };
            vms.insert(vm.id.clone(), vm);
        }
    }
    vms
}

/// Draws the failures of the whole time: single VMs, restarts, and one dark fabric domain.
fn outages(seed: u64, vms: &BTreeMap<VmId, Vm>) -> Vec<Outage> {
    let mut seeded = Seeded { seed, drawn: 0 };
    let ids: Vec<&VmId> = vms.keys().collect();
    let mut outages = Vec::new();
    for (tenths, length) in [
        (FAILURES_A_DAY_TENTHS, REPAIR),
        (RESTARTS_A_DAY_TENTHS, RESTART),
    ] {
        for _ in 0..tenths * DAYS / 10 {
            let from = seeded.below(DAYS * DAY);
            let vm = ids[usize::try_from(seeded.below(ids.len() as u64)).expect("small")];
            let (vm, to) = (vm.clone(), from + length);
            outages.push(Outage { vm, from, to });
        }
    }
    let dark = format!("rack-{}", seeded.below(u64::from(FABRICS)));
    let from = seeded.below(DAYS * DAY);
    for vm in vms.values().filter(|vm| vm.fabric.as_str() == dark) {
        let (vm, to) = (vm.id.clone(), from + FABRIC_REPAIR);
        outages.push(Outage { vm, from, to });
    }
    outages
}

/// One run of one policy.
struct Run<'a> {
    vms: &'a BTreeMap<VmId, Vm>,
    outages: &'a [Outage],
    models: BTreeMap<ModelId, ModelRecord>,
    placement: Placement,
    replans: bool,
    /// The write that formed a group and when its load began; ready `LOAD` later.
    loads: BTreeMap<GroupId, (FencingToken, u64)>,
    totals: Totals,
}

#[derive(Debug, Default)]
struct Totals {
    down: u64,
    stranded: u64,
    moves: u64,
}

impl<'a> Run<'a> {
    fn new(vms: &'a BTreeMap<VmId, Vm>, outages: &'a [Outage], groups: u32, replans: bool) -> Self {
        let domain = "jkpg".parse().expect("valid id");
        let model = ModelRecord {
            id: "tide".parse().expect("valid id"),
            vms_per_group: VMS_PER_GROUP,
            groups: BTreeMap::from([(domain, groups)]),
            cold_limit: 2,
            full_limit: 16,
            priority: 0,
            resumable: true,
            other_domains: true,
            split: None,
        };
        let mut run = Self {
            vms,
            outages,
            models: BTreeMap::from([(model.id.clone(), model)]),
            placement: Placement::empty("jkpg".parse().expect("valid id")),
            replans,
            loads: BTreeMap::new(),
            totals: Totals::default(),
        };
        run.plan(&BTreeSet::new());
        let ready = |(id, group): (&GroupId, &Group)| (id.clone(), (group.formed, 0));
        run.loads = run.placement.groups.iter().map(ready).collect();
        run
    }

    /// VMs that are silent at a time, when their last silence began and ended.
    fn is_down(&self, vm: &VmId, at: u64) -> bool {
        let mut own = self.outages.iter().filter(|outage| outage.vm == *vm);
        own.any(|outage| (outage.from..outage.to).contains(&at))
    }

    /// VMs that the controller knows to be silent.
    fn lost(&self, at: u64) -> BTreeSet<VmId> {
        let known = |o: &&Outage| (o.from + NOTICE_LOSS..o.to + NOTICE_RETURN).contains(&at);
        let lost = self.outages.iter().filter(known);
        lost.map(|outage| outage.vm.clone()).collect()
    }

    fn plan(&mut self, lost: &BTreeSet<VmId>) {
        let answering = self.vms.keys().filter(|vm| !lost.contains(vm));
        let answering = answering.cloned().collect();
        let nodes = ["entry-0".parse().expect("valid id")];
        while let Some(next) = PlacementPlanner::plan(&PlanInput {
            previous: &self.placement,
            models: &self.models,
            upstreams: &BTreeSet::new(),
            vms: self.vms,
            answering: &answering,
            complete: &BTreeSet::new(),
            lost,
            nodes: &nodes,
            max_imbalance: 2,
        }) {
            self.placement = next;
            self.totals.moves += 1;
        }
    }

    /// Times at which anything may change.
    fn times(&self) -> BTreeSet<u64> {
        let mut times = BTreeSet::from([0, DAYS * DAY]);
        for outage in self.outages {
            let (from, to) = (outage.from, outage.to);
            times.extend([from, from + NOTICE_LOSS, to, to + NOTICE_RETURN]);
        }
        times.retain(|time| *time <= DAYS * DAY);
        times
    }

    fn run(mut self) -> Totals {
        let mut times = self.times();
        while let Some(now) = times.pop_first() {
            if self.replans {
                let lost = self.lost(now);
                self.plan(&lost);
            }
            self.update_loads(now, &mut times);
            if let Some(next) = times.first() {
                self.account(now, next - now);
            }
        }
        self.totals
    }

    /// Begins, restarts and drops loads; a member's silence ends its group's load.
    fn update_loads(&mut self, now: u64, times: &mut BTreeSet<u64>) {
        let placed = &self.placement.groups;
        let up = |group: &Group| group.members.iter().all(|vm| !self.is_down(vm, now));
        let whole: BTreeSet<GroupId> = placed
            .iter()
            .filter(|(_, group)| up(group))
            .map(|(id, _)| id.clone())
            .collect();
        self.loads.retain(|id, (formed, _)| {
            whole.contains(id) && placed.get(id).is_some_and(|g| g.formed == *formed)
        });
        let mut loading = self
            .loads
            .values()
            .filter(|(_, at)| at + LOAD > now)
            .count();
        for id in whole {
            if loading < MAX_LOADING && !self.loads.contains_key(&id) {
                let formed = self.placement.groups[&id].formed;
                self.loads.insert(id, (formed, now));
                times.insert(now + LOAD);
                loading += 1;
            }
        }
    }

    /// Adds up what is down and stranded for a while.
    fn account(&mut self, now: u64, time: u64) {
        let ready = |id: &GroupId| {
            self.loads
                .get(id)
                .is_some_and(|(_, at)| at + LOAD <= now || *at == 0)
        };
        let wanted = u64::from(
            *self
                .models
                .values()
                .next()
                .expect("one model")
                .groups
                .values()
                .next()
                .expect("one domain"),
        );
        let groups = &self.placement.groups;
        let serving = groups.keys().filter(|id| ready(id)).count() as u64;
        self.totals.down += (wanted - serving) * time;
        let working: BTreeSet<&VmId> = groups
            .iter()
            .filter(|(id, _)| self.loads.contains_key(*id))
            .flat_map(|(_, group)| &group.members)
            .collect();
        let alive = self.vms.keys().filter(|vm| !self.is_down(vm, now));
        let idle = alive.filter(|vm| !working.contains(vm)).count() as u64;
        let missing = wanted
            - self
                .loads
                .len()
                .min(usize::try_from(wanted).expect("small")) as u64;
        // Spares are stranded only as far as missing groups could use them.
        let usable = idle.min(missing * u64::from(VMS_PER_GROUP));
        self.totals.stranded += usable * ACCELERATORS * time;
    }
}

fn main() {
    let vms = fleet();
    println!(
        "| seed | groups | policy | group downtime, s | stranded accelerator-seconds | writes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for seed in 1..=3 {
        let outages = outages(seed, &vms);
        for (groups, replans, name) in [
            (40, false, "restart in place"),
            (38, false, "restart in place"),
            (38, true, "planner"),
            (40, true, "planner"),
        ] {
            let totals = Run::new(&vms, &outages, groups, replans).run();
            let Totals {
                down,
                stranded,
                moves,
            } = totals;
            println!("| {seed} | {groups} | {name} | {down} | {stranded} | {moves} |");
        }
    }
}
