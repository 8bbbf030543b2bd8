//! Defects that are injected to show that the invariants are checked.

/// An invariant broken on purpose, to see that the checker notices.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InjectedDefect {
    None,
    /// Tasks of a machine silent for 5 s are taken for gone.
    ReleaseAfterMissedHeartbeats,
    /// Commands leave before their start is stored.
    StartBeforeCommit,
    /// A direct start without an answer is forgotten at once.
    ForgetUnansweredStart,
    /// Reports are as new as the hour they are read, however late they are.
    OrderHeartbeatsByArrival,
    /// A machine that a list lacks is taken for gone.
    ReleaseUnlistedMachines,
    /// A job that waits for others starts when it comes.
    IgnoreDependencies,
    /// An end that is not stored yet releases what needs it.
    UnblockBeforeCommit,
    /// A new leader holds back what runs already.
    BlockStartedJobs,
    /// What needs a cancelled job is left as it is.
    SkipCascadingCancellation,
    /// A reap comes under the token of the direct start that it ends.
    KeepTokenOfDirectStart,
    /// Who stands for leader does not look whether another was quicker.
    ElectWithoutPreconditions,
    /// Leases are renewed in an outage and in a cut zone whatever is known of
    /// cancellations.
    RenewLeasesUnchecked,
    /// A user is told of a withdrawal at once, whoever knows of it.
    ConfirmCancellationAtOnce,
    /// A job without an end is called unfinished whatever became of what it needs.
    ReportUnfinishedUnchecked,
    /// The word of some of the siblings is taken for that of all.
    TrustPartialPeerKnowledge,
    /// Whoever does not know a job says that nothing is left of it, though it does not
    /// lead, or has not read what is on record.
    ReportNoTasksUnchecked,
    /// A heartbeat that repeats an earlier one counts as news, whatever submitted in between.
    AcceptAnyUnchangedHeartbeat,
    /// A controller that stood still trusts the authority it had before, and
    /// its writes are not guarded on the leader key.
    TrustExpiredLease,
}
