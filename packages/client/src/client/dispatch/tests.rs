use std::sync::Mutex;

use coralnotch_wire::example::job_array;
use coralnotch_wire::http;
use coralnotch_wire::model::{JobSpec, JobState};
use event_listener::Event;

use super::*;
use crate::client::transport::{CompletedRequest, RequestResult};
use crate::client::{initial_state, track_job};
use crate::counters::AtomicCounters;
use crate::model::{JobRecord, Outcome, Transition};
use crate::settings::Settings;

/// Returns the shared state of a client that has neither a journal nor a driver.
fn shared(now: Instant) -> Shared {
    let settings = Settings::new(vec![SocketAddr::from(([127, 0, 0, 1], 1))]);
    let (change_sender, _) = async_broadcast::broadcast(1);
    Shared {
        http: http::Client::new(0),
        state: Mutex::new(initial_state(&settings, now)),
        settings,
        journal: None,
        work_available: Event::new(),
        job_ended: Event::new(),
        counters: AtomicCounters::default(),
        change_sender,
    }
}

fn add_job(shared: &Shared, id: &str, needs: &[&str], now: Instant) {
    let dependencies = needs.iter().map(|id| Name::from(*id)).collect();
    let spec = JobSpec { dependencies, ..(*job_array(id, 1)).clone() };
    track_job(&mut shared.lock(), &shared.counters, JobRecord::new(&spec), now);
}

fn complete(shared: &Shared, request: PendingRequest, outcome: Outcome, now: Instant) -> Transition {
    shared.apply_completion(CompletedRequest { request, result: RequestResult::Classified(outcome) }, now)
}

fn ids(plan: &DispatchPlan) -> Vec<&str> {
    plan.requests.iter().map(|request| &*request.id).collect()
}

#[test]
fn job_is_submitted_once_its_dependency_is_accepted() {
    let now = Instant::now();
    let shared = shared(now);
    add_job(&shared, "j-1", &["j-2"], now);
    add_job(&shared, "j-2", &[], now);
    let mut plan = shared.next_requests(0, now);
    assert_eq!(ids(&plan), ["j-2"]);
    assert!(shared.next_requests(1, now).requests.is_empty());
    let pending = JobState { id: "j-2".into(), stage: "pending".into(), done: 0, running: 0 };
    let request = plan.requests.remove(0);
    assert_eq!(complete(&shared, request, Outcome::State(pending), now), Transition::Accepted);
    let plan = shared.next_requests(0, now);
    assert_eq!(ids(&plan), ["j-1"]);
    assert_eq!(plan.requests[0].action, Action::Submit);
}

#[test]
fn no_more_requests_are_started_than_the_limit_allows() {
    let now = Instant::now();
    let shared = shared(now);
    for id in ["j-1", "j-2", "j-3"] {
        add_job(&shared, id, &[], now);
    }
    let max_in_flight = shared.settings.max_in_flight;
    assert!(shared.next_requests(max_in_flight, now).requests.is_empty());
    assert_eq!(ids(&shared.next_requests(max_in_flight - 2, now)), ["j-1", "j-2"]);
    assert_eq!(ids(&shared.next_requests(max_in_flight - 1, now)), ["j-3"]);
}

#[test]
fn retry_that_waits_for_the_budget_is_sent_before_a_new_job() {
    let start = Instant::now();
    let shared = shared(start);
    add_job(&shared, "j-1", &[], start);
    add_job(&shared, "j-2", &[], start);
    for request in shared.next_requests(0, start).requests {
        assert!(!request.is_retry);
        complete(&shared, request, Outcome::Indeterminate, start);
    }
    // Both retries are due.  The budget has 1.6 tokens: 1 initial token, 0.2 for
    // each of the two first attempts, and 0.2 for the second that has passed.
    let now = start + Duration::from_secs(1);
    let plan = shared.next_requests(0, now);
    assert_eq!(plan.requests.len(), 1);
    assert!(plan.requests[0].is_retry);
    assert_eq!(shared.counters.snapshot().delayed_retries, 1);
    let wait = plan.recheck_at.expect("a retry waits for the budget").duration_since(now);
    assert!(
        (1.99..2.01).contains(&wait.as_secs_f64()),
        "{wait:?} is not the time for 0.4 tokens at 0.2 tokens per second"
    );
    let waiting = if ids(&plan) == ["j-1"] { "j-2" } else { "j-1" };
    let now = now + wait + Duration::from_millis(1);
    add_job(&shared, "j-3", &[], now);
    let plan = shared.next_requests(1, now);
    assert_eq!(ids(&plan), [waiting, "j-3"]);
    assert_eq!([plan.requests[0].is_retry, plan.requests[1].is_retry], [true, false]);
    assert_eq!(shared.counters.snapshot().retries, 2);
}

#[test]
fn jobs_are_postponed_while_the_circuit_breakers_of_all_endpoints_are_open() {
    let now = Instant::now();
    let shared = shared(now);
    for id in ["j-1", "j-2", "j-3"] {
        add_job(&shared, id, &[], now);
    }
    for request in shared.next_requests(0, now).requests {
        complete(&shared, request, Outcome::RetryLater(None), now);
    }
    add_job(&shared, "j-4", &[], now);
    let plan = shared.next_requests(0, now);
    assert!(plan.requests.is_empty());
    let cooldown = shared.settings.endpoint_cooldown;
    let due_at = shared.lock().jobs["j-4"].job.due_at();
    assert_eq!(due_at, Some(now + cooldown));
    assert_eq!(shared.counters.snapshot().retry_later, 3);
}
