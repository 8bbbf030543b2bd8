//! Which requests to send now.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coralnotch_wire::model::Name;

use super::shared::Shared;
use crate::counters::increment;
use crate::model::Action;

/// What is to be done for a job now.
pub(super) struct PendingRequest {
    pub(super) id: Name,
    pub(super) action: Action,
    pub(super) endpoint: Option<SocketAddr>,
    /// It repeats one that did not go through.
    pub(super) is_retry: bool,
}

/// Least time until the next look.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(1);

impl Shared {
    /// What is due, as far as requests under way, endpoints and the budget of
    /// retries allow; and when to look again.
    pub(super) fn next_requests(&self, in_flight: usize, now: Instant) -> (Vec<PendingRequest>, Option<Instant>) {
        let mut guard = self.lock();
        let i = &mut *guard;
        let mut requests = Vec::new();
        let mut room = self.settings.max_in_flight.saturating_sub(in_flight);
        let mut look = None;
        // who waited for the budget goes before who comes now
        while room > 0 && !i.awaiting_budget.is_empty() {
            let to = match i.endpoints.choose(now).and_then(|to| i.budget.try_spend(now).map(|()| to)) {
                Ok(to) => to,
                Err(wait) => {
                    look = Some(now + wait.max(MIN_RECHECK_DELAY));
                    break;
                }
            };
            let Some(id) = i.awaiting_budget.pop_front() else { break };
            let Some(t) = i.jobs.get_mut(&id).filter(|t| t.job.due_at().is_some()) else { continue };
            increment(&self.counters.retries);
            requests.push(PendingRequest { action: t.job.action(), id, endpoint: Some(to), is_retry: true });
            room -= 1;
        }
        while room > 0 {
            let Some((at, id)) = i.due_jobs.first().cloned().filter(|d| d.0 <= now) else { break };
            i.due_jobs.remove(&(at, id.clone()));
            let first = i.first_unaccepted_dependency(&id);
            let Some(tracked) = i.jobs.get_mut(&id) else { continue };
            if let Some(first) = first {
                tracked.in_flight = true;
                i.awaiting_dependency.entry(first).or_default().push(id);
                continue;
            }
            let (action, again) = (tracked.job.action(), tracked.job.is_retry());
            let mut to = None;
            if action != Action::RecordAnswer {
                match i.endpoints.choose(now) {
                    Err(rest) => {
                        tracked.job.postpone(now + rest.max(MIN_RECHECK_DELAY));
                        i.schedule(&id, None);
                        continue;
                    }
                    Ok(addr) => to = Some(addr),
                }
                match again {
                    false => i.budget.record_first_attempt(now),
                    // in its turn: others may be held already
                    true if self.settings.retry_budget => {
                        let wait =
                            if i.awaiting_budget.is_empty() { i.budget.try_spend(now) } else { Err(MIN_RECHECK_DELAY) };
                        if let Err(wait) = wait {
                            increment(&self.counters.held_back);
                            tracked.in_flight = true;
                            i.awaiting_budget.push_back(id);
                            let at = now + wait.max(MIN_RECHECK_DELAY);
                            look = Some(look.map_or(at, |l: Instant| l.min(at)));
                            continue;
                        }
                        increment(&self.counters.retries);
                    }
                    true => increment(&self.counters.retries),
                }
            }
            tracked.in_flight = true;
            requests.push(PendingRequest { id, action, endpoint: to, is_retry: again });
            room -= 1;
        }
        let next = i.due_jobs.first().map(|d| d.0);
        (requests, [next, look].into_iter().flatten().min())
    }
}
