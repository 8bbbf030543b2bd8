//! Defects that are injected to show that the invariants are checked.

/// An invariant that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    /// Nothing is wrong.
    None,
    /// Tasks of a machine without a heartbeat for 5 s are released.
    ReleaseAfterMissedHeartbeats,
    /// Commands are sent before their start is stored.
    StartBeforeCommit,
    /// A direct start without a response is forgotten at once.
    ForgetUnansweredStart,
    /// Heartbeats are ordered by the time they are read, however late they are.
    OrderHeartbeatsByArrival,
    /// Tasks of a machine that a list lacks are released.
    ReleaseUnlistedMachines,
    /// A job with dependencies starts when it is submitted.
    IgnoreDependencies,
    /// An outcome that is not stored yet unblocks the jobs that depend on it.
    UnblockBeforeCommit,
    /// A new leader blocks jobs that have started already.
    BlockStartedJobs,
    /// Jobs that depend on a cancelled one are left as they are.
    SkipCascadingCancellation,
    /// Garbage collection uses the token of the direct start that it ends.
    KeepTokenOfDirectStart,
    /// A candidate does not check whether another one was quicker.
    ElectWithoutPreconditions,
    /// Leases are renewed in an outage and in a partitioned zone whatever is known of
    /// cancellations.
    RenewLeasesUnchecked,
    /// A cancellation is confirmed to its user at once, whoever knows of it.
    ConfirmCancellationAtOnce,
    /// A job without an outcome is reported as unfinished whatever became of its
    /// dependencies.
    ReportUnfinishedUnchecked,
    /// What some of the peers know is taken for what all know.
    TrustPartialPeerKnowledge,
    /// A controller that does not know a job reports that no task of it is left, though it
    /// does not lead, or has not read the records.
    ReportNoTasksUnchecked,
    /// A heartbeat that repeats an earlier one counts as new, whatever came in between.
    AcceptAnyUnchangedHeartbeat,
    /// A controller that was paused trusts the lease it had before, and its writes have no
    /// precondition on the leader key.
    TrustExpiredLease,
}
