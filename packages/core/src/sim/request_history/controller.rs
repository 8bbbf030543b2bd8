//! One controller: what it knows of jobs, and how it learns of them.

use super::*;

/// Ended jobs that a controller keeps in memory.
pub(super) const MAX_ENDED_JOBS: usize = 3;
/// Cancellations that a controller keeps for its peers.
const MAX_CANCELLATIONS: usize = 50;

/// A submission that waits to be stored.
pub(super) struct Submission {
    pub(super) request: RequestId,
    pub(super) spec: Arc<JobSpec>,
    /// Whether the job ends at once, as one that it needs is cancelled.
    pub(super) needs_cancelled_job: bool,
}

/// A job with the revision of its record.
pub(super) struct StoredJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) revision: u64,
}

/// A page of the initial scan that was read, and is not applied yet.
pub(super) struct PendingPage {
    prefix: &'static str,
    page: RangePage,
}

/// One controller's knowledge of jobs.
pub(super) struct ModelController {
    pub(super) jobs: JobIndex,
    pub(super) cancellations: CancellationLog,
    pub(super) notices: CancellationNotices,
    scan: Option<InitialScan>,
    /// The revision up to which the watch was read; `None` before a scan has begun.
    watched_revision: Option<u64>,
    /// Whether a scan has been completed.
    pub(super) is_synced: bool,
    pub(super) submissions: Vec<Submission>,
    /// Jobs that this controller has stored, and whose responses are not read yet.
    pub(super) unread_responses: Vec<StoredJob>,
    pending_page: Option<PendingPage>,
    /// Results of its look-ups, for `ReuseLookupResult`.
    pub(super) lookup_results: HashMap<Name, LookupResult>,
}

impl ModelController {
    /// A new process, which knows nothing yet.
    pub(super) fn new(incarnation: u64) -> ModelController {
        ModelController {
            jobs: JobIndex::new(MAX_ENDED_JOBS),
            cancellations: CancellationLog::new(incarnation, MAX_CANCELLATIONS),
            notices: CancellationNotices::new(2, MAX_CANCELLATIONS),
            scan: None,
            watched_revision: None,
            is_synced: false,
            submissions: Vec::new(),
            unread_responses: Vec::new(),
            pending_page: None,
            lookup_results: HashMap::new(),
        }
    }

    /// Learns of an outcome, from whatever source.
    pub(super) fn apply_outcome(&mut self, job: &str, outcome: JobOutcome, revision: u64, now: Instant) {
        if outcome == JobOutcome::Cancelled {
            self.cancellations.record(revision, job, now);
        }
        self.jobs.apply_outcome(job, outcome);
    }

    /// Begins to read all records, and to watch changes from the same revision on.
    fn begin_scan(&mut self, revision: u64, now: Instant) {
        self.jobs.raise_floor(revision);
        self.cancellations.begin_watch(revision, now);
        self.watched_revision = Some(revision);
        self.scan = Some(InitialScan::new(HashSet::new()));
    }

    /// Forgets how far it has read: all is read again.
    fn restart_scan(&mut self) {
        self.scan = None;
        self.pending_page = None;
        self.is_synced = false;
        self.watched_revision = None;
    }

    /// Applies the page that was read last, and reads the next one.
    fn read_next_page(&mut self, state_store: &WatchedStore, limit: usize, defect: InjectedDefect) {
        let Some(scan) = self.scan.as_mut() else { return };
        if let Some(PendingPage { prefix, page }) = self.pending_page.take() {
            scan.add_page(prefix, page.entries, page.is_truncated);
            scan.apply_pages(&mut self.jobs, |_| {});
        }
        if let Some(next) = scan.next_page() {
            let page = state_store.read_range(next.prefix, &next.after_key, limit);
            self.pending_page = Some(PendingPage { prefix: next.prefix, page });
            return;
        }
        self.scan = None;
        self.is_synced = true;
        if defect == InjectedDefect::WatchFromScanEnd {
            self.watched_revision = Some(state_store.store.last_revision);
        }
    }

    /// Applies one change that the watch shows.
    fn apply_watch_event(&mut self, event: &WatchEvent, defect: InjectedDefect, now: Instant) {
        let (Some(path), Some(value)) = (event.set.as_deref(), event.value.clone()) else { return };
        if let Some(job) = path.strip_prefix(key::OUTCOME) {
            if let (Some(scan), true) = (self.scan.as_mut(), defect != InjectedDefect::ScanIgnoresWatchedOutcomes) {
                scan.mark_ended([job.into()].into_iter());
            }
            let record = read_value::<OutcomeRecord>(path, value).expect("our own record");
            self.apply_outcome(job, record.outcome, event.revision, now);
        } else if path.starts_with(key::JOB) {
            let spec = read_value::<JobSpec>(path, value).expect("our own record");
            self.jobs.insert_seen(Arc::new(spec), event.revision);
        }
    }
}

impl RequestHistory {
    /// Takes a controller's initial scan one page further.
    pub(super) fn advance_scan(&mut self, index: usize) {
        if self.outage {
            return;
        }
        // a scan takes some thirty pages, whatever the number of records
        let limit = self.rng.usize(1..6) + self.state_store.store.kv.len() / 60;
        let now = self.at();
        let controller = &mut self.controllers[index];
        if controller.scan.is_none() && !controller.is_synced {
            controller.begin_scan(self.state_store.store.last_revision, now);
        }
        controller.read_next_page(&self.state_store, limit, self.defect);
    }

    /// A controller's watch is answered with all changes since the last answer.
    pub(super) fn poll_watch(&mut self, index: usize) {
        let now = self.at();
        let controller = &mut self.controllers[index];
        let Some(watched) = controller.watched_revision.filter(|_| !self.outage) else { return };
        if self.defect == InjectedDefect::WatchFromScanEnd && controller.scan.is_some() {
            return;
        }
        if watched < self.state_store.compacted_revision {
            // 410: all is read again, also if this comes in the middle of a scan
            self.coverage.restarted_scans += u32::from(controller.scan.is_some());
            controller.restart_scan();
            return;
        }
        for event in self.state_store.changes_since(watched) {
            controller.apply_watch_event(event, self.defect, now);
        }
        let revision = self.state_store.store.last_revision;
        controller.watched_revision = Some(revision);
        controller.jobs.raise_floor(revision);
    }

    /// A controller reads the responses to its own transactions.
    pub(super) fn read_responses(&mut self, index: usize) {
        let defect = self.defect == InjectedDefect::ApplyLateResponses;
        let controller = &mut self.controllers[index];
        for StoredJob { spec, revision } in controller.unread_responses.drain(..) {
            match defect {
                true => controller.jobs.insert_seen(spec, revision),
                false => controller.jobs.insert_stored(spec, revision),
            };
        }
    }

    /// A controller notifies a peer of cancellations whose users wait for a reply.
    pub(super) fn notify_peer(&mut self, index: usize) {
        let now = self.at();
        // the peer's number as this controller counts its peers
        let peer = self.rng.usize(0..2);
        let receiver = (index + 1 + peer) % 3;
        let controller = &mut self.controllers[index];
        let sent = controller.notices.for_peer(peer, &controller.cancellations, &self.policy, now).cancellations;
        for notice in &sent {
            self.controllers[receiver].apply_outcome(&notice.id, JobOutcome::Cancelled, notice.revision, now);
        }
        self.controllers[index].notices.mark_acknowledged(peer, &sent);
    }

    /// A controller's process crashes and restarts: its requests get no reply.
    pub(super) fn restart_controller(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = ModelController::new(self.last_incarnation);
        self.pending.retain(|_, request| request.controller != index);
    }
}
