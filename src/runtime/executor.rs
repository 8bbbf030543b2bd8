//! Whose turn it is on the controller's one thread: duties before requests.
//!
//! All tasks in one queue mean that each step of a renewal waits for a round of
//! every connection.  Seen with four thousand workers after a restart: rounds of
//! a second or more, a lease lost that no fault explains, and the next leader
//! begins with the same flood.  So a leader's duties have a queue of their own,
//! which is empty before a request gets its turn.  Duties are few, and bound
//! themselves (`pass_share`, `plan_share`, the store's budget); requests are as
//! many as come.
//!
//! Must not know what is run.

use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future::{or, yield_now};
use smol::LocalExecutor;

/// Requests in a row before the reactor is asked what else has come: an event
/// for a duty waits no longer than these take.
const REQUESTS_IN_A_ROW: usize = 48;

/// How long a request waits for its turn: what a timer among them comes late.
/// It tells of too much work from any cause, and needs no estimate of costs; what
/// can wait goes by it.
#[derive(Debug, Default)]
pub struct SchedulingDelay(AtomicU64);

impl SchedulingDelay {
    /// How long requests have lately waited.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// A timer came so late.  What was seen before fades by half.
    fn record(&self, late: Duration) {
        let late = u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
        self.0.store(late.max(self.0.load(Ordering::Relaxed) / 2), Ordering::Relaxed);
    }

    /// Measures, as one of the requests, for as long as it is run.
    pub async fn measure(&self, every: Duration) {
        loop {
            let due = Instant::now() + every;
            smol::Timer::at(due).await;
            self.record(due.elapsed());
        }
    }
}

/// The two queues.
#[derive(Clone, Default)]
pub struct PriorityExecutor {
    /// Leadership, the store, the queue, the fleet, siblings: what all requests
    /// hang on.
    pub control: Rc<LocalExecutor<'static>>,
    /// Connections of users and workers.
    pub requests: Rc<LocalExecutor<'static>>,
}

impl PriorityExecutor {
    /// Runs a duty of its own.
    pub fn spawn_control(&self, work: impl Future<Output = ()> + 'static) {
        self.control.spawn(work).detach();
    }

    /// Runs everything until `main` comes to its end.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let rounds = async {
            loop {
                self.run_ready_control_tasks();
                let mut some = false;
                for _ in 0..REQUESTS_IN_A_ROW {
                    if !self.requests.try_tick() {
                        break;
                    }
                    some = true;
                    self.run_ready_control_tasks();
                }
                if some {
                    yield_now().await;
                } else {
                    or(self.control.tick(), self.requests.tick()).await;
                }
            }
        };
        or(main, rounds).await
    }

    /// Runs duties until none is ready.
    fn run_ready_control_tasks(&self) {
        while self.control.try_tick() {}
    }
}

#[cfg(test)]
mod tests;
