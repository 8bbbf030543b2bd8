//! One controller: what it knows of jobs, and how it learns of them.

use super::*;

/// Ended jobs that a controller keeps.
pub(super) const MAX_ENDED_JOBS: usize = 3;

/// One controller's knowledge of jobs.
pub(super) struct ModelController {
    pub(super) jobs: JobIndex,
    pub(super) cancellations: CancellationLog,
    pub(super) notices: CancellationNotices,
    pub(super) scan: Option<InitialScan>,
    /// Watched up to here; `None` before a scan has begun.
    pub(super) since: Option<u64>,
    pub(super) synced: bool,
    /// Submissions that wait to be stored: requests, and whether they end at once.
    pub(super) queue: Vec<(u64, Arc<JobSpec>, bool)>,
    /// Own transactions that were carried out, and whose answers are not read yet.
    pub(super) unread_responses: Vec<(Arc<JobSpec>, u64)>,
    /// A page that was read and is not taken in yet.
    pub(super) pending_page: Option<(&'static str, Vec<KeyValue>, bool)>,
    /// Results of its look-ups, for one defect.
    pub(super) lookup_results: HashMap<Name, LookupResult>,
}

impl ModelController {
    pub(super) fn new(incarnation: u64) -> ModelController {
        ModelController {
            jobs: JobIndex::new(MAX_ENDED_JOBS),
            cancellations: CancellationLog::new(incarnation, 50),
            notices: CancellationNotices::new(2, 50),
            scan: None,
            since: None,
            synced: false,
            queue: Vec::new(),
            unread_responses: Vec::new(),
            pending_page: None,
            lookup_results: HashMap::new(),
        }
    }

    /// Learns of an end, however.
    pub(super) fn ends(&mut self, id: &str, outcome: JobOutcome, revision: u64, now: Instant) {
        if outcome == JobOutcome::Cancelled {
            self.cancellations.record(revision, id, now);
        }
        self.jobs.apply_outcome(id, outcome);
    }
}

impl RequestHistory {
    /// Brings a controller's knowledge forward by one step.
    pub(super) fn advance_scan(&mut self, index: usize) {
        if self.outage {
            return;
        }
        // a read takes some thirty pages, however much there is
        let (most, now) = (self.rng.usize(1..6) + self.state_store.store.kv.len() / 60, self.at());
        let controller = &mut self.controllers[index];
        if controller.scan.is_none() && !controller.synced {
            let epoch = self.state_store.store.epoch;
            controller.jobs.raise_floor(epoch);
            controller.cancellations.begin_watch(epoch, now);
            (controller.since, controller.scan) = (Some(epoch), Some(InitialScan::new(HashSet::new())));
        }
        if let Some(s) = controller.scan.as_mut() {
            if let Some((under, rows, truncated)) = controller.pending_page.take() {
                s.add_page(under, rows, truncated);
                s.apply_pages(&mut controller.jobs, |_| {});
            }
            match s.next_page() {
                Some(n) => {
                    let (rows, truncated) = self.state_store.page(n.under, &n.since, most);
                    controller.pending_page = Some((n.under, rows, truncated));
                }
                None => {
                    (controller.scan, controller.synced) = (None, true);
                    if self.defect == InjectedDefect::WatchFromScanEnd {
                        controller.since = Some(self.state_store.store.epoch);
                    }
                }
            }
        }
    }

    pub(super) fn poll_watch(&mut self, index: usize) {
        let now = self.at();
        let controller = &mut self.controllers[index];
        let Some(since) = controller.since.filter(|_| !self.outage) else { return };
        if self.defect == InjectedDefect::WatchFromScanEnd && controller.scan.is_some() {
            return;
        }
        if since < self.state_store.compacted_revision {
            // 410: all is read again, also if this comes in the middle of a read
            self.coverage[2] += u32::from(controller.scan.is_some());
            (controller.scan, controller.pending_page, controller.synced, controller.since) = (None, None, false, None);
            return;
        }
        let mut news: Vec<&WatchEvent> =
            self.state_store.changes.iter().filter(|c| c.0 > since).map(|c| &c.1).collect();
        // a job and its end may be of one transaction
        news.sort_by_key(|e| (e.revision, e.set.as_ref().is_some_and(|p| p.starts_with(key::OUTCOME))));
        for e in news {
            let (Some(path), Some(data)) = (e.set.as_deref(), e.value.clone()) else { continue };
            if let Some(id) = path.strip_prefix(key::OUTCOME) {
                if let (Some(s), true) =
                    (controller.scan.as_mut(), self.defect != InjectedDefect::ScanIgnoresWatchedOutcomes)
                {
                    s.mark_ended([id.into()].into_iter());
                }
                let f = read_value::<OutcomeRecord>(path, data).expect("our own record");
                controller.ends(id, f.outcome, e.revision, now);
            } else if path.starts_with(key::JOB) {
                let spec = read_value::<JobSpec>(path, data).expect("our own record");
                controller.jobs.insert_seen(Arc::new(spec), e.revision);
            }
        }
        controller.since = Some(self.state_store.store.epoch);
        controller.jobs.raise_floor(self.state_store.store.epoch);
    }

    pub(super) fn read_responses(&mut self, index: usize) {
        let delayed_txns = self.defect == InjectedDefect::ApplyLateResponses;
        let controller = &mut self.controllers[index];
        for (spec, revision) in controller.unread_responses.drain(..) {
            if delayed_txns {
                controller.jobs.insert_seen(spec, revision);
            } else {
                controller.jobs.insert_stored(spec, revision);
            }
        }
    }

    /// A controller ends: whoever waits there receives nothing.
    pub(super) fn restart_controller(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = ModelController::new(self.last_incarnation);
        self.pending.retain(|_, a| a.controller != index);
    }
}
