//! Model of one controller: the jobs it knows, and the scan, watch and notices by which it
//! learns of them.

use super::*;

/// Maximum number of ended jobs that a controller keeps in memory.
pub(super) const MAX_ENDED_JOBS: usize = 3;
/// Maximum number of cancellations that a controller keeps for its peers.
const MAX_CANCELLATIONS: usize = 50;

/// A queued submission that is not stored yet.
pub(super) struct Submission {
    pub(super) request: RequestId,
    pub(super) spec: Arc<JobSpec>,
    /// Whether the job is stored as cancelled, because a job that it depends on is cancelled.
    pub(super) depends_on_cancelled_job: bool,
}

/// A stored job with the revision of its record.
pub(super) struct StoredJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) revision: u64,
}

/// A page of the initial scan that was read but is not applied yet.
pub(super) struct PendingPage {
    prefix: &'static str,
    page: RangePage,
}

/// The state of one controller that concerns user requests.
pub(super) struct ModelController {
    pub(super) jobs: JobIndex,
    pub(super) cancellations: CancellationLog,
    pub(super) notices: CancellationNotices,
    scan: Option<InitialScan>,
    /// Revision up to which the watch was read; `None` before a scan has begun.
    watched_revision: Option<u64>,
    /// Whether a scan has completed since the process started or last fell behind its watch.
    pub(super) is_synced: bool,
    pub(super) submissions: Vec<Submission>,
    /// Jobs that this controller has stored, and whose transaction responses it has not read yet.
    pub(super) unread_responses: Vec<StoredJob>,
    pending_page: Option<PendingPage>,
    /// Results of this controller's look-ups, for the defect `ReuseLookupResult`.
    pub(super) lookup_results: HashMap<Name, LookupResult>,
}

impl ModelController {
    /// Creates the empty state of a process that has just started.
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

    /// Applies the outcome of a job, from any source.
    pub(super) fn apply_outcome(&mut self, job: &str, outcome: JobOutcome, revision: u64, now: Instant) {
        if outcome == JobOutcome::Cancelled {
            self.cancellations.record(revision, job, now);
        }
        self.jobs.apply_outcome(job, outcome);
    }

    /// Starts a scan of all records, and a watch of changes from the same revision on.
    fn begin_scan(&mut self, revision: u64, now: Instant) {
        self.jobs.raise_covered_revision(revision);
        self.cancellations.begin_watch(revision, now);
        self.watched_revision = Some(revision);
        self.scan = Some(InitialScan::new(HashSet::new()));
    }

    /// Discards the progress of the scan and of the watch, so that all records are read again.
    fn restart_scan(&mut self) {
        self.scan = None;
        self.pending_page = None;
        self.is_synced = false;
        self.watched_revision = None;
    }

    /// Applies the page that was read last and reads the next one, or completes the scan.
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

    /// Applies one watch event.
    fn apply_watch_event(&mut self, event: &WatchEvent, defect: InjectedDefect, now: Instant) {
        let (Some(path), Some(value)) = (event.set_key.as_deref(), event.value.clone()) else { return };
        if let Some(job) = path.strip_prefix(key::OUTCOME) {
            if let (Some(scan), true) = (self.scan.as_mut(), defect != InjectedDefect::ScanIgnoresWatchedOutcomes) {
                scan.mark_ended([job.into()].into_iter());
            }
            let record = decode_value::<OutcomeRecord>(path, value).expect("a stored record is readable");
            self.apply_outcome(job, record.outcome, event.revision, now);
        } else if path.starts_with(key::JOB) {
            let spec = decode_value::<JobSpec>(path, value).expect("a stored record is readable");
            self.jobs.insert_seen(Arc::new(spec), event.revision);
        }
    }
}

impl RequestHistory {
    /// Advances a controller's initial scan by one page, and starts the scan if necessary.
    pub(super) fn advance_scan(&mut self, index: usize) {
        if self.outage {
            return;
        }
        // the page size grows with the number of keys, so that a scan never takes many more than
        // thirty pages for each key prefix
        let limit = self.rng.usize(1..6) + self.state_store.store.kv.len() / 60;
        let now = self.now_instant();
        let controller = &mut self.controllers[index];
        if controller.scan.is_none() && !controller.is_synced {
            controller.begin_scan(self.state_store.store.last_revision, now);
        }
        controller.read_next_page(&self.state_store, limit, self.defect);
    }

    /// Applies to a controller all changes since its last watch response.
    pub(super) fn poll_watch(&mut self, index: usize) {
        let now = self.now_instant();
        let controller = &mut self.controllers[index];
        let Some(watched) = controller.watched_revision.filter(|_| !self.outage) else { return };
        if self.defect == InjectedDefect::WatchFromScanEnd && controller.scan.is_some() {
            return;
        }
        if watched < self.state_store.compacted_revision {
            // the watch is compacted (HTTP 410): all records are read again, even during a scan
            self.coverage.restarted_scans += u32::from(controller.scan.is_some());
            controller.restart_scan();
            return;
        }
        for event in self.state_store.changes_since(watched) {
            controller.apply_watch_event(event, self.defect, now);
        }
        let revision = self.state_store.store.last_revision;
        controller.watched_revision = Some(revision);
        controller.jobs.raise_covered_revision(revision);
    }

    /// Applies the responses to a controller's own submission transactions.
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

    /// Notifies a random peer of the cancellations whose users wait for a reply.
    pub(super) fn notify_peer(&mut self, index: usize) {
        let now = self.now_instant();
        // position of the peer among the controller's peers
        let peer = self.rng.usize(0..2);
        let receiver = (index + 1 + peer) % 3;
        let controller = &mut self.controllers[index];
        let sent =
            controller.notices.pending_for_peer(peer, &controller.cancellations, &self.policy, now).cancellations;
        for notice in &sent {
            self.controllers[receiver].apply_outcome(&notice.id, JobOutcome::Cancelled, notice.revision, now);
        }
        self.controllers[index].notices.mark_acknowledged(peer, &sent);
    }

    /// Crashes and restarts a controller's process.  Its pending requests get no reply.
    pub(super) fn restart_controller(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = ModelController::new(self.last_incarnation);
        self.pending.retain(|_, request| request.controller != index);
    }
}
