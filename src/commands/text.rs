//! Jobs and status in words, for people.

use crate::model::{JobExplanation, JobState};
use crate::operators::status::{LeaderStatus, Status};
use crate::operators::telemetry::Latency;

/// The state of a job.
pub fn job_text(job: &JobState) -> String {
    match job.stage.as_str() {
        "done" | "cancelled" => format!("{} is {}", job.id, job.stage),
        stage => format!("{} is {stage}: {} tasks run, {} are done", job.id, job.running, job.done),
    }
}

/// The state of a job, and what it has to do with other jobs.
pub fn explained_text(job: &JobExplanation) -> String {
    let mut text = job_text(&job.state);
    if !job.waits_for.is_empty() {
        let ids: Vec<&str> = job.waits_for.iter().map(|id| &**id).collect();
        text += &format!("; it waits for {}", ids.join(", "));
    }
    if let Some(dependency) = &job.cancelled_with {
        text += &format!(" with {dependency}, which it needs");
    }
    text
}

/// A controller's status, over several lines.
pub fn status_text(status: &Status) -> String {
    let mut lines = vec![format!("{} (version {})", status.name, status.version), leader_line(status)];
    if !status.served {
        lines.push("  the state service does not carry out its requests".into());
    }
    lines.push(format!("  knows {} jobs", status.known_jobs));
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
        (_, Some(leader)) => format!("  leads, term {}, for {:.0} s", leader.term, leader.since_s),
        (Some(name), None) => format!("  {name} leads"),
        (None, None) => "  nobody is known to lead".into(),
    }
}

/// Whether jobs with dependencies are accepted, and if not, why.
fn dependencies_line(status: &Status) -> String {
    if status.dependencies_enabled {
        return "  jobs may wait for others".into();
    }
    if status.versions.is_empty() {
        return "  jobs may not wait for others yet: no sibling has told what it has".into();
    }
    let versions: Vec<String> = status.versions.iter().map(|(name, version)| format!("{name} {version}")).collect();
    format!("  jobs may not wait for others yet: {}", versions.join(", "))
}

/// What only the leader knows.
fn add_leader_lines(lines: &mut Vec<String>, leader: &LeaderStatus) {
    if leader.dependent_jobs > 0 {
        lines.push(format!("  {} jobs wait for others", leader.dependent_jobs));
    }
    lines.push(format!(
        "  {} jobs open, {} tasks wait, {} placed",
        leader.jobs, leader.waiting_tasks, leader.assigned_tasks
    ));
    let pending = [
        (leader.in_doubt, "machines in doubt"),
        (leader.unstored_starts, "starts to store"),
        (leader.rentals, "rentals open"),
    ];
    let nonzero = pending.iter().filter(|(count, _)| *count > 0);
    let pending: Vec<String> = nonzero.map(|(count, what)| format!("{count} {what}")).collect();
    if !pending.is_empty() {
        lines.push(format!("  {}", pending.join(", ")));
    }
    for (zone, states) in &leader.machines {
        let is_cut_off = leader.partitioned_zones.iter().any(|cut_off| **cut_off == **zone);
        let suffix = if is_cut_off { ", seems cut off" } else { "" };
        let states: Vec<String> = states.iter().map(|(state, count)| format!("{count} {state}")).collect();
        lines.push(format!("  {zone}: {}{suffix}", states.join(", ")));
    }
    for job in &leader.longest_waiting {
        let reason = if job.why.is_empty() { "its turn has not come" } else { &job.why };
        lines.push(format!(
            "  {} ({}) waits {:.0} s with {} tasks: {reason}",
            job.id, job.class, job.since_s, job.tasks
        ));
    }
}

fn latency_line(operation: &str, latency: &Latency) -> String {
    format!(
        "  {operation}: {} times, half within {:.1} ms, 99 of 100 within {:.1} ms, longest {:.1} ms",
        latency.count, latency.p50_ms, latency.p99_ms, latency.max_ms
    )
}

#[cfg(test)]
mod tests;
