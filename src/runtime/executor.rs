//! A single-threaded executor that runs control tasks before requests.
//!
//! With all tasks in one queue, each step of a lease renewal waits until every ready connection has
//! run.  With four thousand workers after a restart, that took a second or more: the leader lost
//! its lease without any fault, and the next leader met the same load.  So control tasks have a
//! queue of their own, which is emptied before each request is run.  Control tasks are few and
//! limit themselves (`pass_share`, `plan_share`, the store's rate limits), while the number of
//! requests is unbounded.
//!
//! The executor must not depend on the code that it runs.

use std::future::Future;
use std::rc::Rc;

use futures_lite::future::{or, yield_now};
use smol::LocalExecutor;

/// Most requests that run before the I/O reactor is polled again.  An I/O event for a control task
/// waits no longer than these requests take.
const REQUESTS_PER_POLL: usize = 48;

/// A single-threaded executor with two priorities: control tasks and requests.
#[derive(Clone, Default)]
pub struct PriorityExecutor {
    /// Executor of control tasks, on which all requests depend: leadership, the state service,
    /// placement, the fleet and the peers.
    pub control: Rc<LocalExecutor<'static>>,
    /// Executor of requests: the connections of users and workers.
    pub requests: Rc<LocalExecutor<'static>>,
}

impl PriorityExecutor {
    /// Spawns a detached control task, which runs until it ends or the executor is dropped.
    pub fn spawn_control(&self, work: impl Future<Output = ()> + 'static) {
        self.control.spawn(work).detach();
    }

    /// Runs all spawned tasks until `main` ends; returns the result of `main`.
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

    /// Runs at most [`REQUESTS_PER_POLL`] ready requests, and after each of them the control tasks
    /// that have become ready.  Reports whether any request was run.
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
