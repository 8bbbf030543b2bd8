//! Formatting of job states and of the status of a controller as text for people.

use crate::model::{JobExplanation, JobState};
use crate::operators::status::{LeaderStatus, Status};
use crate::operators::telemetry::Latency;

/// Formats the state of a job.
pub fn job_text(job: &JobState) -> String {
    match job.stage.as_str() {
        "done" | "cancelled" => format!("{} is {}", job.id, job.stage),
        stage => format!("{} is {stage}: {} tasks running, {} done", job.id, job.running, job.done),
    }
}

/// Formats the state of a job, with the jobs that it waits for or was cancelled with.
pub fn explained_text(job: &JobExplanation) -> String {
    let mut text = job_text(&job.state);
    if !job.unfinished_dependencies.is_empty() {
        let ids: Vec<&str> = job.unfinished_dependencies.iter().map(|id| &**id).collect();
        text += &format!("; it waits for {}", ids.join(", "));
    }
    if let Some(dependency) = &job.cancelled_with {
        text += &format!(", as its dependency {dependency} is cancelled");
    }
    text
}

/// Formats the status of a controller, on several lines.
pub fn status_text(status: &Status) -> String {
    let mut lines = vec![format!("{} (version {})", status.name, status.version), leader_line(status)];
    if !status.served {
        lines.push("  requests to the state service fail".into());
    }
    lines.push(format!("  {} jobs known", status.known_jobs));
    lines.push(dependencies_line(status));
    if let Some(leader) = &status.leading {
        add_leader_lines(&mut lines, leader);
    }
    lines.extend(status.latencies.iter().map(|(operation, latency)| latency_line(operation, latency)));
    let nonzero = status.counters.iter().filter(|(_, count)| **count > 0);
    let counters: Vec<String> = nonzero.map(|(name, count)| format!("{name} {count}")).collect();
    if !counters.is_empty() {
        lines.push(format!("  {}", counters.join(", ")));
    }
    lines.join("\n")
}

fn leader_line(status: &Status) -> String {
    match (&status.leader, &status.leading) {
        (_, Some(leader)) => format!("  leader in term {}, for {:.0} s", leader.term, leader.since_s),
        (Some(name), None) => format!("  the leader is {name}"),
        (None, None) => "  no leader is known".into(),
    }
}

/// Formats whether jobs with dependencies are accepted, and if not, why.
fn dependencies_line(status: &Status) -> String {
    if status.dependencies_enabled {
        return "  job dependencies are enabled".into();
    }
    if status.versions.is_empty() {
        return "  job dependencies are not enabled yet: no other controller has reported its version".into();
    }
    let versions: Vec<String> = status.versions.iter().map(|(name, version)| format!("{name} {version}")).collect();
    format!("  job dependencies are not enabled yet; versions of the controllers: {}", versions.join(", "))
}

/// Adds the part of the status that only the leader has.
fn add_leader_lines(lines: &mut Vec<String>, leader: &LeaderStatus) {
    if leader.dependent_jobs > 0 {
        lines.push(format!("  {} jobs wait for their dependencies", leader.dependent_jobs));
    }
    lines.push(format!(
        "  {} unfinished jobs, {} tasks waiting, {} tasks assigned",
        leader.jobs, leader.waiting_tasks, leader.assigned_tasks
    ));
    let pending = [
        (leader.in_doubt, "machines with an unconfirmed start"),
        (leader.unstored_starts, "starts not stored yet"),
        (leader.rentals, "rentals in progress or unconfirmed"),
    ];
    let nonzero = pending.iter().filter(|(count, _)| *count > 0);
    let pending: Vec<String> = nonzero.map(|(count, what)| format!("{count} {what}")).collect();
    if !pending.is_empty() {
        lines.push(format!("  {}", pending.join(", ")));
    }
    for (zone, states) in &leader.machines {
        let is_cut_off = leader.partitioned_zones.iter().any(|cut_off| **cut_off == **zone);
        let suffix = if is_cut_off { ", probably partitioned off" } else { "" };
        let states: Vec<String> = states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        lines.push(format!("  {zone}: {}{suffix}", states.join(", ")));
    }
    for job in &leader.longest_waiting {
        let reason = if job.why.is_empty() { "not reached in the queue yet" } else { &job.why };
        lines.push(format!(
            "  {} ({}) has waited {:.0} s with {} tasks: {reason}",
            job.id, job.class, job.since_s, job.tasks
        ));
    }
}

fn latency_line(operation: &str, latency: &Latency) -> String {
    format!(
        "  {operation}: {} samples, p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        latency.count, latency.p50_ms, latency.p99_ms, latency.max_ms
    )
}

#[cfg(test)]
mod tests;
