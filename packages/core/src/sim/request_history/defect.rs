//! Defects that are injected to show that wrong answers are found.

/// What is left out on purpose, to see that it is noticed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    None,
    /// What is not in memory was never accepted.
    TreatEvictedAsUnknown,
    /// An answer that is read late enters its job all the same.
    ApplyLateResponses,
    /// The scan is not told of ends that the watch shows meanwhile.
    ScanIgnoresWatchedOutcomes,
    /// The watch begins where the scan ended.
    WatchFromScanEnd,
    /// "Not over" is said without asking the store.
    SkipConfirmation,
    /// In an outage, nothing found is nothing there.
    TreatOutageAsNotFound,
    /// What the store said to an earlier question is good for the next one.
    ReuseLookupResult,
    /// A submission without an answer was carried out.
    AcceptUnknownSubmission,
    /// A cancellation without an answer was carried out.
    ConfirmUnknownCancellation,
    /// Each request believes its own idea of whether its job ends with what it needs,
    /// whatever was stored.
    TrustLocalCancellation,
}
