//! Defects that are injected to show that the checker detects them.

/// A deliberate defect in the decisions or in the I/O of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    /// No defect is injected.
    None,
    /// The leader releases the tasks of a machine without a heartbeat for 5 s.
    ReleaseAfterMissedHeartbeats,
    /// The leader sends start commands before the starts are stored.
    StartBeforeCommit,
    /// The leader immediately releases the tasks of a direct start that got no response.
    ForgetUnansweredStart,
    /// The leader orders heartbeats by their time of arrival instead of their sequence number.
    OrderHeartbeatsByArrival,
    /// The leader releases the tasks of a machine that is missing from a machine list.
    ReleaseUnlistedMachines,
    /// Controllers ignore the dependencies of a job.
    IgnoreDependencies,
    /// An outcome unblocks the jobs that depend on it before the outcome is stored.
    UnblockBeforeCommit,
    /// A new leader blocks jobs that have started already.
    BlockStartedJobs,
    /// Jobs that depend on a cancelled one are not cancelled.
    SkipCascadingCancellation,
    /// A command that follows a direct start reuses the fencing token of that start, so that a
    /// late copy of the start is not rejected.
    KeepTokenOfDirectStart,
    /// The transaction of a candidate has no preconditions, so that it succeeds even if another
    /// candidate was elected first.
    ElectWithoutPreconditions,
    /// Worker leases are renewed, also in an outage or a partitioned zone, without a check
    /// that the controller's knowledge of cancellations is recent enough.
    RenewLeasesUnchecked,
    /// A cancellation is confirmed to its user immediately, even if some controllers do not
    /// know of it.
    ConfirmCancellationAtOnce,
    /// A job without an outcome is reported as unfinished even if one of its dependencies is
    /// cancelled.
    ReportUnfinishedUnchecked,
    /// The knowledge of cancellations counts as complete once a single peer has responded.
    TrustPartialPeerKnowledge,
    /// A controller without the leader lease reports that no task of a job is left, although it
    /// does not know the job's tasks.
    ReportNoTasksUnchecked,
    /// A forwarded heartbeat that is marked as unchanged counts as new, even if other heartbeats
    /// arrived in between.
    AcceptAnyUnchangedHeartbeat,
    /// A controller that resumes from a pause trusts its earlier leader lease, and its
    /// transactions have no precondition on the leader key.
    TrustExpiredLease,
}
