//! Defects that are injected to show that wrong replies are found.

/// A part of the decisions or of the I/O that is wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    /// Nothing is wrong.
    None,
    /// A job that is not in memory was never accepted.
    TreatEvictedAsUnknown,
    /// The response to a submission enters its job even when it is read late.
    ApplyLateResponses,
    /// The scan does not learn of outcomes that the watch shows meanwhile.
    ScanIgnoresWatchedOutcomes,
    /// The watch begins at the revision where the scan ended.
    WatchFromScanEnd,
    /// "Unfinished" is replied without asking the state service.
    SkipConfirmation,
    /// In an outage, a look-up finds that there is no job.
    TreatOutageAsNotFound,
    /// The result of an earlier look-up answers the next one.
    ReuseLookupResult,
    /// A submission without a response was carried out.
    AcceptUnknownSubmission,
    /// A cancellation without a response was carried out.
    ConfirmUnknownCancellation,
    /// A controller trusts its own view of whether a job ends with a job that it needs,
    /// whatever was stored.
    TrustLocalCancellation,
}
