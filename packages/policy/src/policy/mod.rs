//! The tunables. Their one home is the embedded default policy, written as
//! expressions over the platform's settings; an operators' file replaces
//! single definitions. [`check()`] finds all errors in one go.

pub mod check;
pub mod syntax;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::config::Config;
use check::{nearest, Evaluation, Fault, Sourced, Value};

const DEFAULT: &str = include_str!("default.policy");
const DEFAULT_NAME: &str = "(default policy)";

/// How a value becomes a field, and back.
trait Tunable: Sized {
    const KIND: &'static str;
    fn from(v: Value) -> Option<Self>;
}

impl Tunable for Duration {
    const KIND: &'static str = "a duration";
    fn from(v: Value) -> Option<Self> {
        match v {
            Value::Duration(s) => Duration::try_from_secs_f64(s).ok(),
            _ => None,
        }
    }
}

/// A duration that is reckoned with in seconds.
#[derive(Debug, Clone, Copy)]
struct Seconds(f64);

impl Tunable for Seconds {
    const KIND: &'static str = "a duration";
    fn from(v: Value) -> Option<Self> {
        match v {
            Value::Duration(s) => Some(Seconds(s)),
            _ => None,
        }
    }
}

impl Tunable for f64 {
    const KIND: &'static str = "a number";
    fn from(v: Value) -> Option<Self> {
        match v {
            Value::Number(n) => Some(n),
            _ => None,
        }
    }
}

impl Tunable for usize {
    const KIND: &'static str = "a number";
    fn from(v: Value) -> Option<Self> {
        match v {
            Value::Number(n) if n >= 0.0 => Some(n as usize),
            _ => None,
        }
    }
}

impl From<Seconds> for f64 {
    fn from(s: Seconds) -> f64 {
        s.0
    }
}

macro_rules! tunables {
    ($($(#[$doc:meta])* $name:ident: $field:ty as $kind:ty, $low:literal ..= $high:literal;)*) => {
        /// All tunables, worked out for one deployment.
        #[derive(Debug, Clone)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $field,)*
        }

        /// Name, type and range (of seconds, for durations).
        const SCHEMA: &[(&str, &str, f64, f64)] = &[$((stringify!($name), <$kind as Tunable>::KIND, $low, $high),)*];

        impl Policy {
            fn build(values: &HashMap<String, Option<Value>>) -> Option<Policy> {
                let get = |name: &str| values.get(name).copied().flatten();
                Some(Policy { $($name: <$kind as Tunable>::from(get(stringify!($name))?)?.into(),)* })
            }
        }
    };
}

tunables! {
    /// Life of the leader's lease.
    ttl: Duration as Duration, 0.5 ..= 600.0;
    /// Interval of renewals.
    renew: Duration as Duration, 0.05 ..= 300.0;
    /// Share of the state service's requests that one controller's reads of
    /// many pages may take.
    read_share: f64 as f64, 0.001 ..= 1.0;
    /// Share of the state service's requests that one controller's queries for
    /// jobs it does not know may take.
    lookup_share: f64 as f64, 0.001 ..= 1.0;
    /// Ended jobs that a controller keeps in memory.
    ended_kept: usize as usize, 1.0 ..= 10000000.0;
    /// A machine is used while its newest report is younger than this.
    fresh: Duration as Duration, 0.1 ..= 3600.0;
    /// A machine silent for so long is returned, and its tasks replaced.
    silent: Duration as Duration, 0.1 ..= 3600.0;
    /// The lease of a machine that was silent for so long has run out, unless a
    /// controller in its zone renews it.
    lease_over: Duration as Duration, 0.1 ..= 3600.0;
    /// A leader that hears no worker for so long asks whether siblings do.
    deaf: Duration as Duration, 0.1 ..= 3600.0;
    /// … and hands over after so long if no sibling answers.
    deaf_alone: Duration as Duration, 0.1 ..= 3600.0;
    /// Between two signs of life of a controller: more, and it stood still.
    stood_still: Duration as Duration, 0.1 ..= 600.0;
    /// Share of the machines that may be silent before silence is taken for
    /// the network's.
    silent_share: f64 as f64, 0.0 ..= 1.0;
    /// Most tasks on a machine, so that its record fits into a value.
    most_tasks: usize as usize, 1.0 ..= 100000.0;
    /// An empty machine is returned after so long.
    idle: Duration as Duration, 0.0 ..= 86400.0;
    /// … or after so many times what one of its images took to arrive,
    idle_images: f64 as f64, 0.0 ..= 100.0;
    /// … at most this.
    idle_most: f64 as Seconds, 0.0 ..= 86400.0;
    /// A machine that is not up after so many times its usual boot time is
    /// given back.
    boot_factor: f64 as f64, 1.0 ..= 100.0;
    /// Heterogeneity from which machines count as different (the paper's).
    variance_threshold: f64 as f64, 0.0 ..= 1000.0;
    /// Load from which the queue counts as long (the paper's).
    load_threshold: f64 as f64, 0.0 ..= 1000000.0;
    /// Tasks that a dry run looks at.
    dry_run_tasks: usize as usize, 1.0 ..= 10000.0;
    /// Interval of the cloud's list.
    list_every: Duration as Duration, 0.1 ..= 3600.0;
    /// How long a list may lag.
    list_lag: Duration as Duration, 0.0 ..= 3600.0;
    /// How long an answered rental stays on record: until lists have it.
    rental_kept: Duration as Duration, 0.0 ..= 3600.0;
    /// A machine that lists miss is given up after so long a silence.
    missed: Duration as Duration, 0.1 ..= 3600.0;
    /// No capacity: how long that kind is not asked for again.
    capacity_rest: Duration as Duration, 0.0 ..= 3600.0;
    /// Share of all guarantees that is kept on hand, busy or not: a guarantee
    /// is worth nothing without the machines.
    kept_share: f64 as f64, 0.0 ..= 10.0;
    /// … but no more than so many times what is drawn on.
    kept_multiple: f64 as f64, 0.0 ..= 100.0;
    /// Share of all guarantees that is kept free for what comes next.
    headroom_share: f64 as f64, 0.0 ..= 10.0;
    /// … but no more than so many times what is drawn on.
    headroom_multiple: f64 as f64, 0.0 ..= 100.0;
    /// Tasks for which room is kept, of each class whose tasks should start
    /// sooner than a machine boots.
    urgent_room: usize as usize, 0.0 ..= 1000.0;
    /// Queued work of arrays is to be done within this, in seconds.
    horizon_s: f64 as Seconds, 1.0 ..= 86400.0;
    /// … and if its jobs may use spot machines, these come for what waits longer
    /// than this.
    spot_horizon_s: f64 as Seconds, 0.1 ..= 86400.0;
    /// Rest of a machine or a job after a failure, doubled by each further.
    failure_rest: Duration as Duration, 0.0 ..= 600.0;
    /// Within this a cancelled job's tasks have to be gone.
    cancel: Duration as Duration, 1.0 ..= 86400.0;
    /// How long a worker keeps its tasks without an answer.
    lease: Duration as Duration, 0.1 ..= 86400.0;
    /// Most machines that are rented, as long as the leader has not learned how
    /// many it can listen to.
    most_machines: usize as usize, 1.0 ..= 100000000.0;
    /// Above so many machines all controllers take reports and forward them to the leader.
    spread_from: usize as usize, 1.0 ..= 100000000.0;
    /// Rentals that may be asked for at once.
    rentals_at_once: usize as usize, 1.0 ..= 1000.0;
    /// Direct commands that may be under way at once.
    direct_calls: usize as usize, 1.0 ..= 100000.0;
    /// Share of the processor that passes over the queue may take.
    pass_share: f64 as f64, 0.01 ..= 1.0;
    /// Share of the processor that plans of the fleet may take.
    plan_share: f64 as f64, 0.01 ..= 1.0;
    /// Passes and plans rest for so many times what requests wait for their
    /// turn,
    lag_rest: f64 as f64, 0.0 ..= 1000.0;
    /// … at most this.
    lag_rest_most: Duration as Duration, 0.0 ..= 3600.0;
    /// When requests wait longer than this for their turn, the leader has more
    /// machines than it can listen to.
    lag_most: Duration as Duration, 0.01 ..= 60.0;
    /// Machines that one pass looks at, for all tasks together: what is left
    /// of the queue is the next pass's.
    pass_looks: usize as usize, 1.0 ..= 1000000000.0;
    /// Least time between two passes.
    pass_gap: Duration as Duration, 0.001 ..= 10.0;
    /// How long an idle user's or worker's connection is kept, and how long a
    /// request may take to arrive.
    connection_idle: Duration as Duration, 1.0 ..= 3600.0;
    /// Share of the connections from which on workers' are closed between
    /// their reports, so that users find one.
    scarce_share: f64 as f64, 0.01 ..= 1.0;
    /// How long queries wait for one another, to be confirmed together.
    confirm_gap: Duration as Duration, 0.0 ..= 1.0;
    /// How long a machine that is gone is remembered.
    tombstone: Duration as Duration, 1.0 ..= 864000.0;
    /// The tasks of an array count as arriving so long after one another.
    task_spacing_s: f64 as Seconds, 0.0 ..= 3600.0;
    /// Work within a guarantee should start within this.
    guarantee_wait_s: f64 as Seconds, 0.0 ..= 3600.0;
    /// A controller that has reached nobody for so long takes itself for cut
    /// off with its zone, and renews the leases of the zone's workers …
    cut_after: Duration as Duration, 0.1 ..= 3600.0;
    /// What a controller has shown that it has counts for so long after it was
    /// last heard: a cut takes no version away.
    cut_keep: Duration as Duration, 0.0 ..= 86400.0;
    /// How long a sibling may take to answer.
    peer_limit: Duration as Duration, 0.05 ..= 60.0;
    /// How long a direct command may take.
    direct_limit: Duration as Duration, 0.05 ..= 60.0;
    /// How long an answer to a report waits for the store.
    commit_wait: Duration as Duration, 0.0 ..= 3.0;
    /// Reports that come within this are forwarded together.
    batch_gap: Duration as Duration, 0.0 ..= 1.0;
    /// A controller that does not lead watches the store anew after this.
    watch_gap: Duration as Duration, 0.0 ..= 60.0;
    /// An image's fetch that takes a smaller share than this of the time
    /// within which a task should start is no reason for a dearer machine.
    image_share: f64 as f64, 0.0 ..= 1.0;
    /// Waits for images that differ by less than this count as equal.
    fetch_grain_s: f64 as Seconds, 0.001 ..= 600.0;
    /// A replica moves no sooner than this after it began to run.
    settled: Duration as Duration, 0.0 ..= 86400.0;
    /// Share of the replicas that may be down at once for a move.
    move_share: f64 as f64, 0.0 ..= 1.0;
    /// Drift of a steady clock.
    drift: f64 as f64, 0.0 ..= 0.1;
}

/// What has to hold between values, and why.
const RELATIONS: &[(&str, &str)] = &[
    ("renew * 2 < ttl", "a lease must survive one lost renewal"),
    ("missed > workers.report_s * 1.3", "a report may be late by a quarter"),
    ("fresh < silent", "a machine is avoided before it is given up"),
    ("silent < workers.lease_s", "tasks of a silent machine are replaced before they kill themselves"),
    ("read_share * size + lookup_share * size < 1", "renewals and transactions need their part of the requests"),
    ("deaf_alone > workers.report_s", "one report interval of quiet is ordinary"),
    ("stood_still > renew", "the pulse beats twice between renewals"),
    ("cut_after < workers.lease_s / 2", "a zone's leases must not run out before they are renewed"),
    ("commit_wait < workers.report_s", "an answer must not outlast the report interval"),
    ("lease >= workers.lease_s", "a worker keeps its tasks for so long"),
    ("cancel <= workers.cancel_s", "the rules say when cancelled tasks are gone"),
];

/// A checked policy with where each value comes from.
#[derive(Debug, Clone)]
pub struct Checked {
    /// The values.
    pub policy: Policy,
    /// Name, value and the definition that gave it.
    pub origins: Vec<(String, String, String)>,
}

fn settings(config: &Config) -> HashMap<String, Value> {
    let d = &config.deployment;
    let (n, s) = (Value::Number, Value::Duration);
    [
        ("workers.report_s", s(d.workers.report_s)),
        ("workers.lease_s", s(d.workers.lease_s)),
        ("workers.gang_wait_s", s(d.workers.gang_wait_s)),
        ("workers.gang_peer_s", s(d.workers.gang_peer_s)),
        ("workers.cancel_s", s(d.workers.cancel_s)),
        ("state.rps", n(d.state.rps)),
        ("state.write_rps", n(d.state.write_rps)),
        ("state.value_kb", n(d.state.value_kb)),
        ("state.txn_ops", n(d.state.txn_ops as f64)),
        ("cloud.rps", n(d.cloud.rps)),
        ("cloud.list_lag_s", s(d.cloud.list_lag_s)),
        ("quota.cores", n(d.quota.cores)),
        ("quota.ram_mb", n(d.quota.ram_mb)),
        ("quota.fd_limit", n(d.quota.fd_limit as f64)),
        ("size", n(d.size as f64)),
    ]
    .into_iter()
    .map(|(k, v)| (k.to_owned(), v))
    .collect()
}

/// Checks an operators' file (its name and text) on top of the default.
#[expect(
    clippy::too_many_lines,
    reason = "one step a fault, all faults at once; the policy package is not yet reworked"
)]
pub fn check(config: &Config, own: Option<(&str, &str)>) -> Result<Checked, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut definitions: BTreeMap<String, Sourced> = BTreeMap::new();
    for s in check::read(DEFAULT_NAME, DEFAULT, &mut faults) {
        definitions.insert(s.definition.name.clone(), s);
    }
    let settings = settings(config);
    let known = |n: &str| SCHEMA.iter().any(|s| s.0 == n);
    let mut given: BTreeMap<String, usize> = BTreeMap::new();
    for s in own.map(|(file, text)| check::read(file, text, &mut faults)).unwrap_or_default() {
        let n = s.definition.name.clone();
        let mut fault = |what: String, hint| {
            let Sourced { file, line, text, .. } = s.clone();
            faults.push(Fault { file, line, column: 1, text, what, hint });
        };
        if settings.contains_key(&n) {
            fault(format!("{n} is a setting of the platform's"), None);
        } else if s.definition.helper && known(&n) {
            fault(format!("{n} is a tunable: leave out `let`"), None);
        } else if !s.definition.helper && !known(&n) {
            fault(format!("there is no tunable {n}"), nearest(&n, SCHEMA.iter().map(|s| s.0)));
        } else if let Some(line) = given.insert(n.clone(), s.line) {
            fault(format!("{n} is defined twice, first in line {line}"), None);
        } else {
            definitions.insert(n, s);
        }
    }
    let mut e = Evaluation::new(&definitions, &settings);
    for name in definitions.keys() {
        e.value(name);
    }
    let (values, more) = (e.values, e.faults);
    faults.extend(more);
    let mut fault = |name: &str, what: String| {
        if let Some(Sourced { file, line, text, definition }) = definitions.get(name).cloned() {
            faults.push(Fault { file, line, column: definition.value.span.start + 1, text, what, hint: None });
        }
    };
    for (name, kind, low, high) in SCHEMA {
        let Some(v) = values.get(*name).copied().flatten() else { continue };
        match v {
            v if v.kind() != *kind => fault(name, format!("{name} has to be {kind}, not {}", v.kind())),
            Value::Number(n) | Value::Duration(n) if !(*low..=*high).contains(&n) => {
                fault(name, format!("{name} is {v}, outside {low} to {high}"));
            }
            _ => {}
        }
    }
    for (relation, why) in RELATIONS {
        // reported with the definition that comes first in it
        let mut all = definitions.clone();
        let mut none = Vec::new();
        for s in check::read("relation", &format!("let relation = {relation}"), &mut none) {
            all.insert("relation".into(), s);
        }
        let mut e = Evaluation::new(&all, &settings);
        if e.value("relation") == Some(Value::Bool(false)) {
            let subject = relation.split_whitespace().next().unwrap_or_default();
            fault(subject, format!("{relation} does not hold: {why}"));
        }
    }
    match Policy::build(&values) {
        Some(policy) if faults.is_empty() => {
            let origin = |(name, s): (&String, &Sourced)| {
                let value = values.get(name).copied().flatten().map_or_else(String::new, |v| v.to_string());
                let text = s.text.split_once('=').map_or("", |p| p.1).trim();
                (name.clone(), value, format!("{text}  ({}:{})", s.file, s.line))
            };
            let origins = definitions.iter().map(origin).collect();
            Ok(Checked { policy, origins })
        }
        _ => Err(faults),
    }
}

impl Policy {
    /// The default policy of a deployment. Settings so odd that the default
    /// does not hold for them are refused before anything starts.
    pub fn new(config: &Config) -> Result<Policy, Vec<Fault>> {
        check(config, None).map(|c| c.policy)
    }
}

#[cfg(test)]
mod tests;
