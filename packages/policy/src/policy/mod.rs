//! The tunables of coralnotch.
//!
//! The default policy, which is embedded in the program, defines each tunable by an expression over
//! the platform's settings.  A policy file of the operators replaces single definitions.  [`check()`]
//! evaluates both and reports all errors together.

pub mod check;
pub mod syntax;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::config::Config;
use check::{suggest, Evaluation, PolicyError, SourcedDefinition, Value};

const DEFAULT_POLICY: &str = include_str!("default.policy");
const DEFAULT_POLICY_NAME: &str = "(default policy)";

/// A type that the value of a tunable can be converted to.
trait Tunable: Sized {
    /// Name of the policy type with its article, as [`Value::kind`] returns it.
    const KIND: &'static str;
    /// Returns `None` if the value has another type or is out of range.
    fn from_value(value: Value) -> Option<Self>;
}

impl Tunable for Duration {
    const KIND: &'static str = "a duration";
    fn from_value(value: Value) -> Option<Self> {
        match value {
            Value::Duration(s) => Duration::try_from_secs_f64(s).ok(),
            _ => None,
        }
    }
}

/// A duration that a [`Policy`] holds as a number of seconds.
#[derive(Debug, Clone, Copy)]
struct Seconds(f64);

impl Tunable for Seconds {
    const KIND: &'static str = "a duration";
    fn from_value(value: Value) -> Option<Self> {
        match value {
            Value::Duration(s) => Some(Seconds(s)),
            _ => None,
        }
    }
}

impl Tunable for f64 {
    const KIND: &'static str = "a number";
    fn from_value(value: Value) -> Option<Self> {
        match value {
            Value::Number(n) => Some(n),
            _ => None,
        }
    }
}

impl Tunable for usize {
    const KIND: &'static str = "a number";
    fn from_value(value: Value) -> Option<Self> {
        match value {
            Value::Number(n) if n >= 0.0 => Some(n as usize),
            _ => None,
        }
    }
}

impl From<Seconds> for f64 {
    fn from(seconds: Seconds) -> f64 {
        seconds.0
    }
}

macro_rules! tunables {
    ($($(#[$doc:meta])* $name:ident: $field:ty as $kind:ty, $low:literal ..= $high:literal;)*) => {
        /// The values of all tunables for one deployment.
        #[derive(Debug, Clone)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $field,)*
        }

        /// Name, type, minimum and maximum of each tunable; the limits of durations are in seconds.
        const SCHEMA: &[(&str, &str, f64, f64)] = &[$((stringify!($name), <$kind as Tunable>::KIND, $low, $high),)*];

        impl Policy {
            fn from_values(values: &HashMap<String, Option<Value>>) -> Option<Policy> {
                let get = |name: &str| values.get(name).copied().flatten();
                Some(Policy { $($name: <$kind as Tunable>::from_value(get(stringify!($name))?)?.into(),)* })
            }
        }
    };
}

tunables! {
    /// Duration of the leader's lease.
    ttl: Duration as Duration, 0.5 ..= 600.0;
    /// Interval between renewals of the leader's lease.
    renew: Duration as Duration, 0.05 ..= 300.0;
    /// Share of the state service's request limit that the paged reads of one controller may use.
    read_share: f64 as f64, 0.001 ..= 1.0;
    /// Share of the state service's request limit that one controller may use for queries about jobs
    /// that it does not know.
    lookup_share: f64 as f64, 0.001 ..= 1.0;
    /// Maximum number of ended jobs that a controller keeps in memory.
    ended_kept: usize as usize, 1.0 ..= 10000000.0;
    /// Maximum age of a machine's latest heartbeat for the machine to receive new tasks.
    fresh: Duration as Duration, 0.1 ..= 3600.0;
    /// Time without a heartbeat after which a machine is returned to the cloud and its tasks are
    /// replaced.
    silent: Duration as Duration, 0.1 ..= 3600.0;
    /// Time without a heartbeat after which a machine's lease has expired, unless a controller in the
    /// machine's zone renews it.
    lease_over: Duration as Duration, 0.1 ..= 3600.0;
    /// Time without a heartbeat of any worker after which the leader asks its peers whether they
    /// receive heartbeats.
    deaf: Duration as Duration, 0.1 ..= 3600.0;
    /// Time without a heartbeat of any worker after which the leader steps down if no peer answers.
    deaf_alone: Duration as Duration, 0.1 ..= 3600.0;
    /// Gap between two ticks of a controller's stall detector above which the controller counts as
    /// having been stalled.
    stood_still: Duration as Duration, 0.1 ..= 600.0;
    /// Share of the machines that may be unresponsive before the cause is taken to be the network.
    silent_share: f64 as f64, 0.0 ..= 1.0;
    /// Maximum number of tasks on a machine, so that the machine's record fits into one value of the
    /// state service.
    most_tasks: usize as usize, 1.0 ..= 100000.0;
    /// Minimum time for which an empty machine is kept.
    idle: Duration as Duration, 0.0 ..= 86400.0;
    /// An empty machine is kept for up to this multiple of the mean fetch time of the images that it
    /// holds, if that is longer than `idle`.
    idle_images: f64 as f64, 0.0 ..= 100.0;
    /// Upper bound of the time that `idle_images` yields, in seconds.
    idle_most: f64 as Seconds, 0.0 ..= 86400.0;
    /// Multiple of the usual boot time after which a machine that is not up is returned to the cloud.
    boot_factor: f64 as f64, 1.0 ..= 100.0;
    /// Variance of the machines' speeds from which the placement algorithm treats the machines as
    /// heterogeneous; the value is published in the paper.
    variance_threshold: f64 as f64, 0.0 ..= 1000.0;
    /// Ratio of queued to free cores from which the placement algorithm treats the queue as long; the
    /// value is published in the paper.
    load_threshold: f64 as f64, 0.0 ..= 1000000.0;
    /// Maximum number of queued tasks that a dry run of the placement considers.
    dry_run_tasks: usize as usize, 1.0 ..= 10000.0;
    /// Interval between requests for the cloud's machine list.
    list_every: Duration as Duration, 0.1 ..= 3600.0;
    /// Time by which the cloud's machine list may lag behind.
    list_lag: Duration as Duration, 0.0 ..= 3600.0;
    /// Time for which the record of an answered rental is kept, until the machine lists contain its
    /// machines.
    rental_kept: Duration as Duration, 0.0 ..= 3600.0;
    /// Time without a heartbeat after which a machine that is missing from the cloud's lists is given
    /// up.
    missed: Duration as Duration, 0.1 ..= 3600.0;
    /// Time for which a pool of machines is not requested again after the cloud had no capacity in it.
    capacity_rest: Duration as Duration, 0.0 ..= 3600.0;
    /// Share of all guarantees for which machines are kept, busy or idle, as a guarantee can be met in
    /// time only if the machines are already there.
    kept_share: f64 as f64, 0.0 ..= 10.0;
    /// Upper bound of the capacity kept by `kept_share`, as a multiple of the teams' current demand.
    kept_multiple: f64 as f64, 0.0 ..= 100.0;
    /// Share of all guarantees that is kept free for new work.
    headroom_share: f64 as f64, 0.0 ..= 10.0;
    /// Upper bound of the capacity kept free by `headroom_share`, as a multiple of the teams' current
    /// demand.
    headroom_multiple: f64 as f64, 0.0 ..= 100.0;
    /// Number of tasks for which room is kept free, for each class whose tasks should start sooner
    /// than a machine boots.
    urgent_room: usize as usize, 0.0 ..= 1000.0;
    /// Time within which the queued work of arrays should be finished, in seconds.
    horizon_s: f64 as Seconds, 1.0 ..= 86400.0;
    /// As `horizon_s`, for arrays that may run on spot machines: spot machines are rented for work that
    /// would otherwise wait longer than this, in seconds.
    spot_horizon_s: f64 as Seconds, 0.1 ..= 86400.0;
    /// Initial backoff of a machine or a job after a failure, doubled by each further failure.
    failure_rest: Duration as Duration, 0.0 ..= 600.0;
    /// Time within which the tasks of a cancelled job must have stopped.
    cancel: Duration as Duration, 1.0 ..= 86400.0;
    /// Time for which a worker keeps its tasks running without a reply.
    lease: Duration as Duration, 0.1 ..= 86400.0;
    /// Maximum number of rented machines until the leader has measured how many machines' heartbeats
    /// it can process.
    most_machines: usize as usize, 1.0 ..= 100000000.0;
    /// Number of machines above which all controllers receive heartbeats and forward them to the
    /// leader.
    spread_from: usize as usize, 1.0 ..= 100000000.0;
    /// Maximum number of rental requests at the same time.
    rentals_at_once: usize as usize, 1.0 ..= 1000.0;
    /// Maximum number of direct commands in flight.
    direct_calls: usize as usize, 1.0 ..= 100000.0;
    /// Share of the processor time that placement passes may use.
    pass_share: f64 as f64, 0.01 ..= 1.0;
    /// Share of the processor time that fleet plans may use.
    plan_share: f64 as f64, 0.01 ..= 1.0;
    /// Pause after a placement pass or a fleet plan, as a multiple of the time that requests wait to be
    /// run.
    lag_rest: f64 as f64, 0.0 ..= 1000.0;
    /// Upper bound of the pause that `lag_rest` yields.
    lag_rest_most: Duration as Duration, 0.0 ..= 3600.0;
    /// Time that requests may wait to be run; above it, the leader has more machines than it can
    /// receive heartbeats from.
    lag_most: Duration as Duration, 0.01 ..= 60.0;
    /// Maximum number of machines that one placement pass examines, counted for all tasks together.  The
    /// next pass continues with the rest of the queue.
    pass_looks: usize as usize, 1.0 ..= 1000000000.0;
    /// Minimum time between two placement passes.
    pass_gap: Duration as Duration, 0.001 ..= 10.0;
    /// Time for which an idle connection of a user or a worker is kept open, and within which a request
    /// must have arrived completely.
    connection_idle: Duration as Duration, 1.0 ..= 3600.0;
    /// Share of the available connections from which on connections of workers are closed between
    /// their heartbeats, so that users can still connect.
    scarce_share: f64 as f64, 0.01 ..= 1.0;
    /// Time for which queries are collected, so that one transaction confirms them together.
    confirm_gap: Duration as Duration, 0.0 ..= 1.0;
    /// Time for which a removed machine is remembered.
    tombstone: Duration as Duration, 1.0 ..= 864000.0;
    /// Interval at which the tasks of an array count as arriving in the queue one after another, in
    /// seconds.
    task_spacing_s: f64 as Seconds, 0.0 ..= 3600.0;
    /// Time within which work that is covered by a guarantee should start, in seconds.
    guarantee_wait_s: f64 as Seconds, 0.0 ..= 3600.0;
    /// Time without contact to anything outside its zone after which a controller assumes that the zone
    /// is partitioned off, and renews the leases of the zone's workers.
    cut_after: Duration as Duration, 0.1 ..= 3600.0;
    /// Time after the last contact for which a controller's known features remain valid, so that a
    /// network partition does not disable features.
    cut_keep: Duration as Duration, 0.0 ..= 86400.0;
    /// Timeout of a call to a peer.
    peer_limit: Duration as Duration, 0.05 ..= 60.0;
    /// Timeout of a direct command.
    direct_limit: Duration as Duration, 0.05 ..= 60.0;
    /// Maximum time for which the reply to a heartbeat waits for a commit to the state service.
    commit_wait: Duration as Duration, 0.0 ..= 3.0;
    /// Time for which heartbeats are collected, so that they are forwarded to the leader in one call.
    batch_gap: Duration as Duration, 0.0 ..= 1.0;
    /// Pause of a controller that does not lead before it watches the state service again.
    watch_gap: Duration as Duration, 0.0 ..= 60.0;
    /// Share of the time within which a task should start; an image fetch that takes less than this
    /// share does not justify a more expensive machine.
    image_share: f64 as f64, 0.0 ..= 1.0;
    /// Difference in image fetch time below which two machines count as equal, in seconds.
    fetch_grain_s: f64 as Seconds, 0.001 ..= 600.0;
    /// Minimum running time of a replica before it may be moved.
    settled: Duration as Duration, 0.0 ..= 86400.0;
    /// Maximum share of the replicas that may be down at the same time because of a move.
    move_share: f64 as f64, 0.0 ..= 1.0;
    /// Maximum drift of a monotonic clock, as a share of the elapsed time.
    drift: f64 as f64, 0.0 ..= 0.1;
}

/// Conditions that must hold between tunables and settings, each with its reason.
const RELATIONS: &[(&str, &str)] = &[
    ("renew * 2 < ttl", "a lease must survive one lost renewal"),
    ("missed > workers.report_s * 1.3", "a heartbeat may be late by a quarter of its interval"),
    ("fresh < silent", "a machine must stop receiving tasks before it is given up"),
    ("silent < workers.lease_s", "tasks of an unresponsive machine are replaced before its lease expires"),
    ("read_share * size + lookup_share * size < 1", "lease renewals and transactions need a share of the requests"),
    ("deaf_alone > workers.report_s", "one report interval without a heartbeat is normal"),
    ("stood_still > renew", "the stall detector ticks twice per renewal interval"),
    ("cut_after < workers.lease_s / 2", "leases in a partitioned zone must be renewed before they expire"),
    ("commit_wait < workers.report_s", "the reply to a heartbeat must not take longer than the report interval"),
    ("lease >= workers.lease_s", "a worker keeps its tasks for at least this time"),
    ("cancel <= workers.cancel_s", "the platform requires tasks of a cancelled job to stop within this time"),
];

/// A valid policy, with the origin of each value.
#[derive(Debug, Clone)]
pub struct CheckedPolicy {
    /// Values of all tunables.
    pub policy: Policy,
    /// Name, value, and expression with file and line, of each definition, in the order of the names.
    pub origins: Vec<(String, String, String)>,
}

/// Returns the settings that policy expressions may use, by name.
fn settings(config: &Config) -> HashMap<String, Value> {
    let deployment = &config.deployment;
    let (number, duration) = (Value::Number, Value::Duration);
    [
        ("workers.report_s", duration(deployment.workers.report_s)),
        ("workers.lease_s", duration(deployment.workers.lease_s)),
        ("workers.gang_wait_s", duration(deployment.workers.gang_wait_s)),
        ("workers.gang_peer_s", duration(deployment.workers.gang_peer_s)),
        ("workers.cancel_s", duration(deployment.workers.cancel_s)),
        ("state.rps", number(deployment.state.rps)),
        ("state.write_rps", number(deployment.state.write_rps)),
        ("state.value_kb", number(deployment.state.value_kb)),
        ("state.txn_ops", number(deployment.state.txn_ops as f64)),
        ("cloud.rps", number(deployment.cloud.rps)),
        ("cloud.list_lag_s", duration(deployment.cloud.list_lag_s)),
        ("quota.cores", number(deployment.quota.cores)),
        ("quota.ram_mb", number(deployment.quota.ram_mb)),
        ("quota.fd_limit", number(deployment.quota.fd_limit as f64)),
        ("size", number(deployment.size as f64)),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value))
    .collect()
}

/// Evaluates the default policy for a deployment, with the definitions of the operators' policy file
/// (its name and text) in place of the default ones.
///
/// # Errors
///
/// Returns all errors of the policy: syntax errors, unknown names, type errors, values out of range and
/// conditions between tunables that do not hold.
#[expect(clippy::too_many_lines, reason = "one step for each kind of error, as all errors are reported together")]
pub fn check(config: &Config, policy_file: Option<(&str, &str)>) -> Result<CheckedPolicy, Vec<PolicyError>> {
    let mut errors = Vec::new();
    let mut definitions: BTreeMap<String, SourcedDefinition> = BTreeMap::new();
    for sourced in check::parse_file(DEFAULT_POLICY_NAME, DEFAULT_POLICY, &mut errors) {
        definitions.insert(sourced.definition.name.clone(), sourced);
    }
    let settings = settings(config);
    let is_tunable = |name: &str| SCHEMA.iter().any(|tunable| tunable.0 == name);
    let mut first_lines: BTreeMap<String, usize> = BTreeMap::new();
    for sourced in policy_file.map(|(file, text)| check::parse_file(file, text, &mut errors)).unwrap_or_default() {
        let name = sourced.definition.name.clone();
        let mut add_error = |message: String, hint| {
            let SourcedDefinition { file, line, text, .. } = sourced.clone();
            errors.push(PolicyError { file, line, column: 1, text, message, hint });
        };
        if settings.contains_key(&name) {
            add_error(format!("{name} is a setting of the platform and cannot be defined in a policy file"), None);
        } else if sourced.definition.is_helper && is_tunable(&name) {
            add_error(format!("{name} is a tunable and must be defined without `let`"), None);
        } else if !sourced.definition.is_helper && !is_tunable(&name) {
            add_error(
                format!("unknown tunable {name} (helpers are defined by `let`)"),
                suggest(&name, SCHEMA.iter().map(|tunable| tunable.0)),
            );
        } else if let Some(line) = first_lines.insert(name.clone(), sourced.line) {
            add_error(format!("{name} is defined twice, first in line {line}"), None);
        } else {
            definitions.insert(name, sourced);
        }
    }
    let mut evaluation = Evaluation::new(&definitions, &settings);
    for name in definitions.keys() {
        evaluation.value(name);
    }
    let (values, evaluation_errors) = (evaluation.values, evaluation.errors);
    errors.extend(evaluation_errors);
    let mut add_error = |name: &str, message: String| {
        if let Some(SourcedDefinition { file, line, text, definition }) = definitions.get(name).cloned() {
            errors.push(PolicyError { file, line, column: definition.value.span.start + 1, text, message, hint: None });
        }
    };
    for (name, kind, low, high) in SCHEMA {
        let Some(value) = values.get(*name).copied().flatten() else { continue };
        match value {
            value if value.kind() != *kind => add_error(name, format!("{name} must be {kind}, not {}", value.kind())),
            Value::Number(n) | Value::Duration(n) if !(*low..=*high).contains(&n) => {
                add_error(
                    name,
                    format!("{name} is {value}, outside the allowed range {low} to {high} (in seconds for a duration)"),
                );
            }
            _ => {}
        }
    }
    for (relation, reason) in RELATIONS {
        // an error is reported at the definition that the condition names first
        let mut with_relation = definitions.clone();
        let mut ignored_errors = Vec::new();
        for sourced in check::parse_file("relation", &format!("let relation = {relation}"), &mut ignored_errors) {
            with_relation.insert("relation".into(), sourced);
        }
        let mut evaluation = Evaluation::new(&with_relation, &settings);
        if evaluation.value("relation") == Some(Value::Bool(false)) {
            let subject = relation.split_whitespace().next().unwrap_or_default();
            add_error(subject, format!("the required condition {relation} does not hold: {reason}"));
        }
    }
    match Policy::from_values(&values) {
        Some(policy) if errors.is_empty() => {
            let origin = |(name, sourced): (&String, &SourcedDefinition)| {
                let value = values.get(name).copied().flatten().map_or_else(String::new, |value| value.to_string());
                let text = sourced.text.split_once('=').map_or("", |parts| parts.1).trim();
                (name.clone(), value, format!("{text}  ({}:{})", sourced.file, sourced.line))
            };
            let origins = definitions.iter().map(origin).collect();
            Ok(CheckedPolicy { policy, origins })
        }
        _ => Err(errors),
    }
}

impl Policy {
    /// Evaluates the default policy for a deployment.
    ///
    /// # Errors
    ///
    /// Returns the errors of the default policy if the settings are so unusual that it is not valid for
    /// them.
    pub fn new(config: &Config) -> Result<Policy, Vec<PolicyError>> {
        check(config, None).map(|checked| checked.policy)
    }
}

#[cfg(test)]
mod tests;
