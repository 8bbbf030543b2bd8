//! The executor of the controller's one thread: control tasks before requests.
//!
//! With all tasks in one queue, each step of a lease renewal waits for a round of every
//! connection.  Seen with four thousand workers after a restart: rounds of a second or more, a
//! lease lost without any fault, and the next leader begins with the same flood.  So control
//! tasks have a queue of their own, which is emptied before a request is run.  Control tasks are
//! few and limit themselves (`pass_share`, `plan_share`, the store's rate limits); the number of
//! requests is not limited.
//!
//! The executor must not depend on what it runs.

use std::future::Future;
use std::rc::Rc;

use futures_lite::future::{or, yield_now};
use smol::LocalExecutor;

/// Requests that run before the reactor is polled: an event for a control task waits no longer
/// than these take.
const REQUESTS_PER_POLL: usize = 48;

/// A single-threaded executor with two priorities.
#[derive(Clone, Default)]
pub struct PriorityExecutor {
    /// Leadership, the state store, placement, the fleet and peers: what all requests depend on.
    pub control: Rc<LocalExecutor<'static>>,
    /// Connections of users and workers.
    pub requests: Rc<LocalExecutor<'static>>,
}

impl PriorityExecutor {
    /// Spawns a control task; it runs until it ends or the executor is dropped.
    pub fn spawn_control(&self, work: impl Future<Output = ()> + 'static) {
        self.control.spawn(work).detach();
    }

    /// Runs all tasks until `main` ends.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let tasks = async {
            loop {
                self.run_ready_control_tasks();
                if self.run_ready_requests() {
                    yield_now().await;
                } else {
                    or(self.control.tick(), self.requests.tick()).await;
                }
            }
        };
        or(main, tasks).await
    }

    /// Runs some ready requests, with the control tasks that become ready in between; whether
    /// there were any.
    fn run_ready_requests(&self) -> bool {
        let mut has_run = false;
        for _ in 0..REQUESTS_PER_POLL {
            if !self.requests.try_tick() {
                break;
            }
            has_run = true;
            self.run_ready_control_tasks();
        }
        has_run
    }

    fn run_ready_control_tasks(&self) {
        while self.control.try_tick() {}
    }
}

#[cfg(test)]
mod tests;
