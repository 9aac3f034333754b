//! Tracks engine reports and polls, and which engines count as lost.

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

/// Age from which a shared report counts as stale, so that the controller polls the engine itself.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Time without an answer to a poll after which the engine is polled again.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// The latest report of each engine and the state of the polls sent by this node.
#[derive(Debug)]
pub(super) struct ReportTracker {
    poll_interval: Duration,
    resend_interval: Duration,
    lost_after: Duration,
    reports: BTreeMap<VmId, TimedReport>,
    polls: BTreeMap<VmId, Poll>,
    /// When a peer last sent a report about a VM, and whether the report was stale.
    peer_reports: BTreeMap<VmId, (Instant, bool)>,
    first_seen: BTreeMap<VmId, Instant>,
    sent_copies: BTreeMap<VmId, SentCopy>,
}

#[derive(Debug, Default)]
struct Poll {
    sent_at: Option<Instant>,
    /// When the oldest unanswered poll was sent.
    unanswered_since: Option<Instant>,
    failed: bool,
}

/// The report about a VM that was last sent to the controller candidates.
#[derive(Debug)]
struct SentCopy {
    at: Instant,
    read_at: Instant,
    report: EngineReport,
    stale: bool,
}

impl ReportTracker {
    pub(super) fn new(options: &GroupOptions) -> Self {
        Self {
            poll_interval: options.poll_interval,
            resend_interval: options.resend_interval,
            lost_after: options.lost_after,
            reports: BTreeMap::new(),
            polls: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            sent_copies: BTreeMap::new(),
        }
    }

    pub(super) fn reports(&self) -> &BTreeMap<VmId, TimedReport> {
        &self.reports
    }

    pub(super) fn report(&self, vm: &VmId) -> Option<&EngineReport> {
        self.reports.get(vm).map(|timed| &timed.report)
    }

    /// Returns the VMs in the list that are due for a poll, and records the poll as sent.
    pub(super) fn take_due_polls<'a>(&mut self, vms: &'a [Vm], now: Instant) -> Vec<&'a Vm> {
        let mut due = Vec::new();
        for vm in vms {
            let poll = self.polls.entry(vm.id.clone()).or_default();
            let since = poll
                .sent_at
                .map(|sent_at| now.saturating_duration_since(sent_at));
            let wait = match poll.unanswered_since {
                Some(_) => POLL_TIMEOUT,
                None => self.poll_interval,
            };
            if since.is_none_or(|since| since >= wait) {
                poll.sent_at = Some(now);
                poll.unanswered_since.get_or_insert(now);
                due.push(vm);
            }
        }
        due
    }

    /// Records the result of a poll sent by this node.
    pub(super) fn record_poll_result(
        &mut self,
        vm: &VmId,
        result: Result<EngineReport, String>,
        now: Instant,
    ) {
        let poll = self.polls.entry(vm.clone()).or_default();
        // The answer may belong to any unanswered poll, so the report is dated by the oldest one.
        let read_at = poll.unanswered_since.take().unwrap_or(now);
        // An answer that names another VM says nothing about this one.
        let report = result.ok().filter(|report| report.vm == *vm);
        poll.failed = report.is_none();
        if let Some(report) = report {
            self.insert(report, read_at);
        }
    }

    /// Records a report that a peer read.
    pub(super) fn record_peer_report(&mut self, copy: ReportCopy, now: Instant) {
        let stale = copy.age >= STALE_AFTER;
        let vm = copy.report.vm.clone();
        if let Some(poll) = self.polls.get_mut(&vm).filter(|_| !stale) {
            poll.failed = false;
        }
        self.peer_reports.insert(vm, (now, stale));
        if let Some(read_at) = now.checked_sub(copy.age) {
            self.insert(copy.report, read_at);
        }
    }

    /// Keeps the newer of two reports; a report of an earlier engine incarnation never replaces
    /// one of a later incarnation.
    fn insert(&mut self, report: EngineReport, read_at: Instant) {
        let newer = self.reports.get(&report.vm).is_none_or(|known| {
            (report.incarnation, read_at) >= (known.report.incarnation, known.read_at)
        });
        if newer {
            let timed = TimedReport { report, read_at };
            self.reports.insert(timed.report.vm.clone(), timed);
        }
    }

    /// Drops all state of VMs that are no longer listed.
    pub(super) fn retain(&mut self, vms: &BTreeMap<VmId, Vm>, now: Instant) {
        for vm in vms.keys() {
            self.first_seen.entry(vm.clone()).or_insert(now);
        }
        self.reports.retain(|vm, _| vms.contains_key(vm));
        self.polls.retain(|vm, _| vms.contains_key(vm));
        self.peer_reports.retain(|vm, _| vms.contains_key(vm));
        self.first_seen.retain(|vm, _| vms.contains_key(vm));
        self.sent_copies.retain(|vm, _| vms.contains_key(vm));
    }

    /// Returns whether the controller must poll a VM itself: the VM's poller sends no reports, or
    /// reports that the engine doesn't answer.
    pub(super) fn is_suspect(&self, vm: &VmId, now: Instant) -> bool {
        let silent_after = self.resend_interval + STALE_AFTER;
        let silent = |at: &Instant| now.saturating_duration_since(*at) > silent_after;
        match self.peer_reports.get(vm) {
            Some((at, stale)) => *stale || silent(at),
            None => self.first_seen.get(vm).is_some_and(silent),
        }
    }

    /// Returns the VMs confirmed not to answer: the last poll sent by this node failed, and no
    /// node has read a report for `lost_after`.
    pub(super) fn lost(&self, now: Instant) -> BTreeSet<VmId> {
        let is_lost = |vm: &&VmId| {
            let failed = self.polls.get(*vm).is_some_and(|poll| poll.failed);
            failed && self.age(vm, now) >= self.lost_after
        };
        self.first_seen.keys().filter(is_lost).cloned().collect()
    }

    /// Returns the VMs known to answer.
    pub(super) fn answering(&self, now: Instant) -> BTreeSet<VmId> {
        let limit = self.resend_interval + self.lost_after;
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

    /// Returns the time since the last report of an engine, or since its VM was first listed.
    fn age(&self, vm: &VmId, now: Instant) -> Duration {
        let read_at = self.reports.get(vm).map(|timed| timed.read_at);
        let since = read_at.max(self.first_seen.get(vm).copied());
        since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the reports of polled VMs to send to the candidates now: changed reports at once,
    /// unchanged ones every `resend_interval`.
    pub(super) fn take_due_copies(
        &mut self,
        polled: &[Vm],
        placement: Option<&Placement>,
        now: Instant,
    ) -> Vec<ReportCopy> {
        let members = MemberIndex::new(placement);
        let mut copies = Vec::new();
        for vm in polled {
            let Some(timed) = self.reports.get(&vm.id) else {
                continue;
            };
            let age = now.saturating_duration_since(timed.read_at);
            let stale = age >= STALE_AFTER;
            let sent = self.sent_copies.get(&vm.id);
            let due = sent.is_none_or(|sent| {
                now.saturating_duration_since(sent.at) >= self.resend_interval
                    || sent.stale != stale
                    || differs_in_state(&sent.report, &timed.report)
                    || (sent.read_at < timed.read_at && is_draining(&timed.report, &members))
            });
            if due {
                let report = timed.report.clone();
                let sent_copy = SentCopy {
                    at: now,
                    read_at: timed.read_at,
                    report: report.clone(),
                    stale,
                };
                self.sent_copies.insert(vm.id.clone(), sent_copy);
                copies.push(ReportCopy { report, age });
            }
        }
        copies
    }

    /// Sends all reports again; called when the controller candidates change.
    pub(super) fn resend_all_reports(&mut self) {
        self.sent_copies.clear();
    }
}

/// Returns whether two reports differ in more than their load.
fn differs_in_state(sent: &EngineReport, current: &EngineReport) -> bool {
    sent.incarnation != current.incarnation
        || sent.assignment != current.assignment
        || sent.state != current.state
}

/// Returns whether an engine must give up its assignment; the controller waits for its requests
/// to finish.
fn is_draining(report: &EngineReport, members: &MemberIndex<'_>) -> bool {
    let placed = members.get(&report.vm).map(|member| member.group.formed);
    let held = report.assignment.as_ref().map(|held| held.formed);
    held.is_some() && held != placed
}
