//! What engines report, who polls them next, and which count as lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use shallottide_types::engine::EngineReport;
use shallottide_types::id::{GroupId, VmId};
use shallottide_types::peer::ReportCopy;
use shallottide_types::placement::{Group, Placement};
use shallottide_types::platform::Vm;

use super::GroupOptions;
use super::member_index::MemberIndex;
use crate::view::TimedReport;

/// Age from which a report is shared as stale and other nodes poll the engine themselves.
const STALE: Duration = Duration::from_secs(2);

/// Longest wait for the answer to one poll; then the engine is polled again.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// The latest report of each engine and the state of its polling here.
#[derive(Debug)]
pub(super) struct ReportBook {
    poll_every: Duration,
    repeat_every: Duration,
    lost_after: Duration,
    reports: BTreeMap<VmId, TimedReport>,
    polls: BTreeMap<VmId, Poll>,
    /// When a peer last shared anything about a VM, and whether it was stale.
    heard: BTreeMap<VmId, (Instant, bool)>,
    first_seen: BTreeMap<VmId, Instant>,
    shared: BTreeMap<VmId, Shared>,
}

#[derive(Debug, Default)]
struct Poll {
    sent_at: Option<Instant>,
    /// When the oldest poll without an answer was sent.
    unanswered_since: Option<Instant>,
    failed: bool,
}

/// What candidates were last told of a VM.
#[derive(Debug)]
struct Shared {
    at: Instant,
    read_at: Instant,
    report: EngineReport,
    stale: bool,
}

impl ReportBook {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            poll_every: options.poll_every,
            repeat_every: options.repeat_every,
            lost_after: options.lost_after,
            reports: BTreeMap::new(),
            polls: BTreeMap::new(),
            heard: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            shared: BTreeMap::new(),
        }
    }

    pub(super) fn reports(&self) -> &BTreeMap<VmId, TimedReport> {
        &self.reports
    }

    pub(super) fn report(&self, vm: &VmId) -> Option<&EngineReport> {
        self.reports.get(vm).map(|timed| &timed.report)
    }

    /// Returns the VMs of the list that are due for a poll, and notes that they are polled.
    pub(super) fn due<'a>(&mut self, vms: &'a [Vm], now: Instant) -> Vec<&'a Vm> {
        let mut due = Vec::new();
        for vm in vms {
            let poll = self.polls.entry(vm.id.clone()).or_default();
            let since = poll
                .sent_at
                .map(|sent_at| now.saturating_duration_since(sent_at));
            let wait = match poll.unanswered_since {
                Some(_) => POLL_TIMEOUT,
                None => self.poll_every,
            };
            if since.is_none_or(|since| since >= wait) {
                poll.sent_at = Some(now);
                poll.unanswered_since.get_or_insert(now);
                due.push(vm);
            }
        }
        due
    }

    /// Takes the result of a poll sent here.
    pub(super) fn polled(&mut self, vm: &VmId, result: Result<EngineReport, String>, now: Instant) {
        let poll = self.polls.entry(vm.clone()).or_default();
        // The report may be as old as the oldest request that it can be the answer to.
        let read_at = poll.unanswered_since.take().unwrap_or(now);
        // An answer that names another VM tells nothing of this one.
        let report = result.ok().filter(|report| report.vm == *vm);
        poll.failed = report.is_none();
        if let Some(report) = report {
            self.insert(report, read_at);
        }
    }

    /// Takes a report that a peer read.
    pub(super) fn heard(&mut self, copy: ReportCopy, now: Instant) {
        let stale = copy.age >= STALE;
        let vm = copy.report.vm.clone();
        if let Some(poll) = self.polls.get_mut(&vm).filter(|_| !stale) {
            poll.failed = false;
        }
        self.heard.insert(vm, (now, stale));
        if let Some(read_at) = now.checked_sub(copy.age) {
            self.insert(copy.report, read_at);
        }
    }

    /// Keeps the later of two reports; an earlier start of an engine never replaces a later one.
    fn insert(&mut self, report: EngineReport, read_at: Instant) {
        let newer = self.reports.get(&report.vm).is_none_or(|known| {
            (report.incarnation, read_at) >= (known.report.incarnation, known.read_at)
        });
        if newer {
            let timed = TimedReport { report, read_at };
            self.reports.insert(timed.report.vm.clone(), timed);
        }
    }

    /// Forgets VMs that are no longer known.
    pub(super) fn retain(&mut self, vms: &BTreeMap<VmId, Vm>, now: Instant) {
        for vm in vms.keys() {
            self.first_seen.entry(vm.clone()).or_insert(now);
        }
        self.reports.retain(|vm, _| vms.contains_key(vm));
        self.polls.retain(|vm, _| vms.contains_key(vm));
        self.heard.retain(|vm, _| vms.contains_key(vm));
        self.first_seen.retain(|vm, _| vms.contains_key(vm));
        self.shared.retain(|vm, _| vms.contains_key(vm));
    }

    /// Tells whether the controller has to poll a VM itself: its poller is silent or says
    /// that the engine is.
    pub(super) fn is_suspect(&self, vm: &VmId, now: Instant) -> bool {
        let silent_after = self.repeat_every + STALE;
        let silent = |at: &Instant| now.saturating_duration_since(*at) > silent_after;
        match self.heard.get(vm) {
            Some((at, stale)) => *stale || silent(at),
            None => self.first_seen.get(vm).is_some_and(silent),
        }
    }

    /// Returns the VMs that certainly don't answer: the last poll sent from here failed, and
    /// nobody has had a report for `lost_after`.
    pub(super) fn lost(&self, now: Instant) -> BTreeSet<VmId> {
        let is_lost = |vm: &&VmId| {
            let failed = self.polls.get(*vm).is_some_and(|poll| poll.failed);
            failed && self.age(vm, now) >= self.lost_after
        };
        self.first_seen.keys().filter(is_lost).cloned().collect()
    }

    /// Returns the VMs that are known to answer.
    pub(super) fn answering(&self, now: Instant) -> BTreeSet<VmId> {
        let limit = self.repeat_every + self.lost_after;
        let answers = |(_, timed): &(&VmId, &TimedReport)| {
            now.saturating_duration_since(timed.read_at) < limit
        };
        let reports = self.reports.iter().filter(answers);
        let vms = reports.map(|(vm, _)| vm.clone());
        let failed = |vm: &VmId| self.polls.get(vm).is_some_and(|poll| poll.failed);
        vms.filter(|vm| !failed(vm)).collect()
    }

    /// Returns the groups whose members hold their assignment and are ready.
    pub(super) fn complete_groups(&self, placement: &Placement) -> BTreeSet<GroupId> {
        let ready = |vm: &VmId, group: &Group| {
            let report = self.report(vm).filter(|report| report.state.is_ready());
            let held = report.and_then(|report| report.assignment.as_ref());
            held.is_some_and(|held| held.formed == group.formed)
        };
        let groups = placement.groups.iter();
        let complete = groups.filter(|(_, group)| group.members.iter().all(|vm| ready(vm, group)));
        complete.map(|(id, _)| id.clone()).collect()
    }

    /// Time since the last sign of an engine, or since its VM was first seen.
    fn age(&self, vm: &VmId, now: Instant) -> Duration {
        let read_at = self.reports.get(vm).map(|timed| timed.read_at);
        let since = read_at.max(self.first_seen.get(vm).copied());
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the reports of polled VMs that candidates should hear now: changed ones at
    /// once, the others from time to time.
    pub(super) fn take_due_copies(
        &mut self,
        polled: &[Vm],
        placement: Option<&Placement>,
        now: Instant,
    ) -> Vec<ReportCopy> {
        let members = MemberIndex::of(placement);
        let mut copies = Vec::new();
        for vm in polled {
            let Some(timed) = self.reports.get(&vm.id) else {
                continue;
            };
            let age = now.saturating_duration_since(timed.read_at);
            let stale = age >= STALE;
            let told = self.shared.get(&vm.id);
            let due = told.is_none_or(|told| {
                now.saturating_duration_since(told.at) >= self.repeat_every
                    || told.stale != stale
                    || differs(&told.report, &timed.report)
                    || (told.read_at < timed.read_at && drains(&timed.report, &members))
            });
            if due {
                let report = timed.report.clone();
                let shared = Shared {
                    at: now,
                    read_at: timed.read_at,
                    report: report.clone(),
                    stale,
                };
                self.shared.insert(vm.id.clone(), shared);
                copies.push(ReportCopy { report, age });
            }
        }
        copies
    }

    /// Tells candidates everything anew; called when they change.
    pub(super) fn share_again(&mut self) {
        self.shared.clear();
    }
}

/// Tells whether two reports differ in more than their load.
fn differs(told: &EngineReport, now: &EngineReport) -> bool {
    told.incarnation != now.incarnation
        || told.assignment != now.assignment
        || told.state != now.state
}

/// Tells whether an engine is to give up what it holds: the controller waits for its work
/// to end.
fn drains(report: &EngineReport, members: &MemberIndex<'_>) -> bool {
    let placed = members.get(&report.vm).map(|member| member.group.formed);
    let held = report.assignment.as_ref().map(|held| held.formed);
    held.is_some() && held != placed
}
