//! The commands that talk to a running controller, as a user's program would.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::http::{self, Client};
use crate::model::{valid_id, JobExplanation, JobState};
use crate::operators::status::Status;

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// What was given can't be sent.
    #[error("{0}")]
    Input(String),
    /// The controller refused for good.
    #[error("the controller answers {status}: {why}")]
    Refused {
        /// Status.
        status: u16,
        /// Its reason.
        why: String,
    },
    /// Nobody took the request in time.
    #[error("gave up after {after} s: {why}; is a controller running at {node}?")]
    GaveUp {
        /// How long it was tried.
        after: u64,
        /// What the last try came to.
        why: String,
        /// The address.
        node: SocketAddr,
    },
}

#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// Exit code for settings and other input that can't be used.
pub(crate) const EXIT_BAD_INPUT: u8 = 2;
/// How long one try may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A controller that is talked to.
pub struct ControllerClient {
    node: SocketAddr,
    http: Client,
    patience: Duration,
}

impl ControllerClient {
    /// The controller at an address, with patience for refusals.
    pub fn new(node: SocketAddr, patience: Duration) -> ControllerClient {
        ControllerClient { node, http: Client::default(), patience }
    }

    /// Sends a request until it gets an answer that is not "later".
    async fn request<T: for<'a> Deserialize<'a>>(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, Error> {
        let began = Instant::now();
        loop {
            let why = match self.http.send(self.node, method, path, body, REQUEST_TIMEOUT).await {
                Ok((200 | 201, body)) => {
                    return http::decode(&body).map_err(|e| Error::Input(format!("the answer can't be read: {e}")));
                }
                Ok((status @ (400 | 404 | 405 | 413 | 422), body)) => {
                    let why = http::decode::<ErrorBody>(&body).unwrap_or_default().error;
                    return Err(Error::Refused { status, why });
                }
                Ok((status, body)) => {
                    format!("status {status}, {}", http::decode::<ErrorBody>(&body).unwrap_or_default().error)
                }
                Err(e) => e.to_string(),
            };
            if began.elapsed() + Duration::from_secs(1) > self.patience {
                return Err(Error::GaveUp { after: began.elapsed().as_secs(), why, node: self.node });
            }
            smol::Timer::after(Duration::from_secs(1)).await;
        }
    }

    /// How a job stands.
    pub async fn job(&self, id: &str) -> Result<JobExplanation, Error> {
        self.request("GET", &format!("/v2/runs/{}?why", validate_id(id)?), None).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &str) -> Result<JobState, Error> {
        self.request("POST", &format!("/v2/runs/{}/withdraw", validate_id(id)?), None).await
    }

    /// How the controller stands.
    pub async fn status(&self) -> Result<Status, Error> {
        self.request("GET", "/v2/status", None).await
    }
}

fn validate_id(id: &str) -> Result<&str, Error> {
    match valid_id(id) {
        true => Ok(id),
        false => Err(Error::Input(format!("{id:?} is no job id: j- and digits, like j-000412"))),
    }
}

/// What a command prints: for programs as JSON, else as `text` says.
pub fn print<T: Serialize>(value: &T, json: bool, text: impl FnOnce(&T) -> String) -> String {
    match json {
        true => serde_json::to_string_pretty(value).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}")),
        false => text(value),
    }
}

/// A job's state in words.
pub fn job_text(s: &JobState) -> String {
    match s.stage.as_str() {
        "done" | "cancelled" => format!("{} is {}", s.id, s.stage),
        stage => format!("{} is {stage}: {} tasks run, {} are done", s.id, s.running, s.done),
    }
}

/// A job's state and what it has to do with others, in words.
pub fn explained_text(e: &JobExplanation) -> String {
    let mut text = job_text(&e.state);
    if !e.waits_for.is_empty() {
        let names: Vec<&str> = e.waits_for.iter().map(|n| &**n).collect();
        text += &format!("; it waits for {}", names.join(", "));
    }
    if let Some(n) = &e.cancelled_with {
        text += &format!(" with {n}, which it needs");
    }
    text
}

/// A controller's status in words.
pub fn status_text(s: &Status) -> String {
    let mut lines = vec![format!("{} (version {})", s.name, s.version)];
    lines.push(match (&s.leader, &s.leading) {
        (_, Some(f)) => format!("  leads, term {}, for {:.0} s", f.term, f.since_s),
        (Some(l), None) => format!("  {l} leads"),
        (None, None) => "  nobody is known to lead".into(),
    });
    if !s.served {
        lines.push("  the state service does not carry out its requests".into());
    }
    lines.push(format!("  knows {} jobs", s.known_jobs));
    let versions: Vec<String> = s.versions.iter().map(|(n, v)| format!("{n} {v}")).collect();
    lines.push(match (s.dependencies_enabled, versions.is_empty()) {
        (true, _) => "  jobs may wait for others".into(),
        (false, true) => "  jobs may not wait for others yet: no sibling has told what it has".into(),
        (false, false) => format!("  jobs may not wait for others yet: {}", versions.join(", ")),
    });
    if let Some(f) = &s.leading {
        if f.dependent_jobs > 0 {
            lines.push(format!("  {} jobs wait for others", f.dependent_jobs));
        }
        lines.push(format!("  {} jobs open, {} tasks wait, {} placed", f.jobs, f.waiting_tasks, f.assigned_tasks));
        let busy =
            [(f.in_doubt, "machines in doubt"), (f.unstored_starts, "starts to store"), (f.rentals, "rentals open")];
        let busy: Vec<String> = busy.iter().filter(|b| b.0 > 0).map(|b| format!("{} {}", b.0, b.1)).collect();
        if !busy.is_empty() {
            lines.push(format!("  {}", busy.join(", ")));
        }
        for (zone, states) in &f.machines {
            let cut = if f.partitioned_zones.iter().any(|c| **c == **zone) { ", seems cut off" } else { "" };
            let states: Vec<String> = states.iter().map(|(s, n)| format!("{n} {s}")).collect();
            lines.push(format!("  {zone}: {}{cut}", states.join(", ")));
        }
        for w in &f.longest_waiting {
            let why = if w.why.is_empty() { "its turn has not come" } else { &w.why };
            lines.push(format!("  {} ({}) waits {:.0} s with {} tasks: {why}", w.id, w.class, w.since_s, w.tasks));
        }
    }
    for (what, l) in &s.latencies {
        lines.push(format!(
            "  {what}: {} times, half within {:.1} ms, 99 of 100 within {:.1} ms, longest {:.1} ms",
            l.count, l.p50_ms, l.p99_ms, l.max_ms
        ));
    }
    let counters: Vec<String> = s.counters.iter().filter(|c| *c.1 > 0).map(|(n, c)| format!("{n} {c}")).collect();
    if !counters.is_empty() {
        lines.push(format!("  {}", counters.join(", ")));
    }
    lines.join("\n")
}

/// Prints a line.  A reader that has gone away, such as `head`, is no failure.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

#[cfg(test)]
mod tests;
