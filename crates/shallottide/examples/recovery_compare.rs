//! Compares recovery policies on the same random failures of one failure domain:
//! `cargo run --release -p shallottide --example recovery_compare`.
//!
//! `restart in place` keeps every group on its VMs and waits for a failed VM to return.
//! `planner` is [`PlacementPlanner`] with the timing of the groups service. Time is simulated; there are no
//! sockets.

use std::collections::{BTreeMap, BTreeSet};

use shallottide::groups::{PlacementPlanner, PlanInput, rendezvous};
use shallottide_types::id::{FencingToken, GroupId, ModelId, VmId};
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;
use shallottide_types::record::ModelRecord;

/// Fabric domains of the failure domain, and VMs in each.
const FABRICS: u16 = 10;
const VMS_PER_FABRIC: u16 = 16;
/// VMs in one group.
const VMS_PER_GROUP: u8 = 4;
/// Accelerators in one VM.
const ACCELERATORS_PER_VM: u64 = 8;
/// Length of a day in seconds, and simulated days.
const DAY_S: u64 = 86_400;
const DAYS: u64 = 30;
/// Failures and restarts per day in the failure domain, in tenths: a fifth of 12 and of 69.
const FAILURES_PER_DAY_TENTHS: u64 = 24;
const RESTARTS_PER_DAY_TENTHS: u64 = 138;
/// Outage of a failed VM, of a restarted VM, and of a failed fabric domain, in seconds.
const REPAIR_S: u64 = 2 * 3_600;
const RESTART_S: u64 = 180;
const FABRIC_REPAIR_S: u64 = 4 * 3_600;
/// Delay until the loss of a VM is detected, and until its return is, in seconds.
const DETECT_LOSS_S: u64 = 7;
const DETECT_RETURN_S: u64 = 2;
/// Time that a group takes to load weights, in seconds, and groups that may load at once.
const LOAD_S: u64 = 90;
const MAX_LOADING: usize = 4;

/// A period, in seconds, in which a VM is down.
#[derive(Debug, Clone)]
struct Outage {
    vm: VmId,
    from: u64,
    to: u64,
}

/// A deterministic random number generator.
struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        rendezvous::weight(self.seed, &self.drawn.to_string()) % bound
    }
}

fn build_vms() -> BTreeMap<VmId, Vm> {
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

/// Draws the outages of the whole run: failures and restarts of single VMs, and one failure of a
/// fabric domain.
fn draw_outages(seed: u64, vms: &BTreeMap<VmId, Vm>) -> Vec<Outage> {
    let mut random = SeededRandom { seed, drawn: 0 };
    let ids: Vec<&VmId> = vms.keys().collect();
    let mut outages = Vec::new();
    for (tenths, length) in [
        (FAILURES_PER_DAY_TENTHS, REPAIR_S),
        (RESTARTS_PER_DAY_TENTHS, RESTART_S),
    ] {
        for _ in 0..tenths * DAYS / 10 {
            let from = random.below(DAYS * DAY_S);
            let vm = ids[usize::try_from(random.below(ids.len() as u64)).expect("small")];
            let (vm, to) = (vm.clone(), from + length);
            outages.push(Outage { vm, from, to });
        }
    }
    let failed_fabric = format!("rack-{}", random.below(u64::from(FABRICS)));
    let from = random.below(DAYS * DAY_S);
    for vm in vms
        .values()
        .filter(|vm| vm.fabric.as_str() == failed_fabric)
    {
        let (vm, to) = (vm.id.clone(), from + FABRIC_REPAIR_S);
        outages.push(Outage { vm, from, to });
    }
    outages
}

/// One simulation of one policy.
struct Simulation<'a> {
    vms: &'a BTreeMap<VmId, Vm>,
    outages: &'a [Outage],
    models: BTreeMap<ModelId, ModelRecord>,
    placement: Placement,
    /// Whether the planner places groups again after failures.
    replans: bool,
    /// The fencing token with which a group was formed, and when its load began; the group is
    /// ready `LOAD_S` later.
    loads: BTreeMap<GroupId, (FencingToken, u64)>,
    totals: Totals,
}

#[derive(Debug, Default)]
struct Totals {
    /// Group-seconds of groups that were wanted and not serving.
    down: u64,
    /// Accelerator-seconds of idle VMs that missing groups could have used.
    stranded: u64,
    /// Writes of the placement.
    moves: u64,
}

impl<'a> Simulation<'a> {
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

    /// Returns whether a VM is down at a time.
    fn is_down(&self, vm: &VmId, at: u64) -> bool {
        let mut own = self.outages.iter().filter(|outage| outage.vm == *vm);
        own.any(|outage| (outage.from..outage.to).contains(&at))
    }

    /// Returns the VMs whose loss the controller has detected.
    fn lost(&self, at: u64) -> BTreeSet<VmId> {
        let known = |o: &&Outage| (o.from + DETECT_LOSS_S..o.to + DETECT_RETURN_S).contains(&at);
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

    /// Returns the times at which anything may change.
    fn event_times(&self) -> BTreeSet<u64> {
        let mut times = BTreeSet::from([0, DAYS * DAY_S]);
        for outage in self.outages {
            let (from, to) = (outage.from, outage.to);
            times.extend([from, from + DETECT_LOSS_S, to, to + DETECT_RETURN_S]);
        }
        times.retain(|time| *time <= DAYS * DAY_S);
        times
    }

    fn run(mut self) -> Totals {
        let mut times = self.event_times();
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

    /// Starts, restarts and removes loads. An outage of a member ends its group's load.
    fn update_loads(&mut self, now: u64, times: &mut BTreeSet<u64>) {
        let placed = &self.placement.groups;
        let up = |group: &Group| group.members.iter().all(|vm| !self.is_down(vm, now));
        let intact: BTreeSet<GroupId> = placed
            .iter()
            .filter(|(_, group)| up(group))
            .map(|(id, _)| id.clone())
            .collect();
        self.loads.retain(|id, (formed, _)| {
            intact.contains(id) && placed.get(id).is_some_and(|g| g.formed == *formed)
        });
        let mut loading = self
            .loads
            .values()
            .filter(|(_, at)| at + LOAD_S > now)
            .count();
        for id in intact {
            if loading < MAX_LOADING && !self.loads.contains_key(&id) {
                let formed = self.placement.groups[&id].formed;
                self.loads.insert(id, (formed, now));
                times.insert(now + LOAD_S);
                loading += 1;
            }
        }
    }

    /// Adds `time` seconds of downtime and stranded accelerators to the totals.
    fn account(&mut self, now: u64, time: u64) {
        let ready = |id: &GroupId| {
            self.loads
                .get(id)
                .is_some_and(|(_, at)| at + LOAD_S <= now || *at == 0)
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
        // Idle VMs count as stranded only if missing groups could use them.
        let usable = idle.min(missing * u64::from(VMS_PER_GROUP));
        self.totals.stranded += usable * ACCELERATORS_PER_VM * time;
    }
}

fn main() {
    let vms = build_vms();
    println!(
        "| seed | groups | policy | group downtime, s | stranded accelerator-seconds | writes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for seed in 1..=3 {
        let outages = draw_outages(seed, &vms);
        for (groups, replans, name) in [
            (40, false, "restart in place"),
            (38, false, "restart in place"),
            (38, true, "planner"),
            (40, true, "planner"),
        ] {
            let totals = Simulation::new(&vms, &outages, groups, replans).run();
            let Totals {
                down,
                stranded,
                moves,
            } = totals;
            println!("| {seed} | {groups} | {name} | {down} | {stranded} | {moves} |");
        }
    }
}
