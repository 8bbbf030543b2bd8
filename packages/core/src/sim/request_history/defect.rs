//! Defects that are injected to show that the checker detects wrong replies.

/// A deliberate defect in the decisions or in the I/O of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    /// No defect is injected.
    None,
    /// A job that is not in memory counts as never accepted.
    TreatEvictedAsUnknown,
    /// The response to a submission adds its job even if newer information has arrived since.
    ApplyLateResponses,
    /// The scan ignores outcomes that the watch shows while the scan is running.
    ScanIgnoresWatchedOutcomes,
    /// The watch starts at the revision at which the scan ended instead of the one at which it
    /// began.
    WatchFromScanEnd,
    /// A controller replies that a job is unfinished without confirming this with the state
    /// service.
    SkipConfirmation,
    /// A look-up during an outage reports that the job does not exist.
    TreatOutageAsNotFound,
    /// The result of an earlier look-up of a job is reused for the next one.
    ReuseLookupResult,
    /// A submission without a response counts as stored.
    AcceptUnknownSubmission,
    /// A cancellation without a response counts as stored.
    ConfirmUnknownCancellation,
    /// A controller trusts its own view of whether a job is cancelled together with one of its
    /// dependencies, regardless of what was stored.
    TrustLocalCancellation,
}
