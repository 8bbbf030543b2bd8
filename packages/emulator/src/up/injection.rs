//! Injection of faults into a running cluster.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::Name;
use smol::LocalExecutor;

use super::deployment::limits_after;
use super::processes::Processes;
use crate::environment::Environment;
use crate::faults::Fault;
use crate::state::Limits;

/// Injects faults into the environment and the controllers, and ends each fault that has a duration.
pub(super) struct FaultInjector {
    environment: Rc<Environment>,
    executor: Rc<LocalExecutor<'static>>,
    /// Current limits of the state service.
    limits: Limits,
}

/// The way in which machines are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineLoss {
    /// The machines fail without notice.
    Crash,
    /// The cloud reclaims spot machines after a notice.
    Reclaim,
}

impl FaultInjector {
    /// Creates an injector; `limits` are the current limits of the state service.
    pub(super) fn new(
        environment: Rc<Environment>,
        executor: Rc<LocalExecutor<'static>>,
        limits: Limits,
    ) -> FaultInjector {
        FaultInjector { environment, executor, limits }
    }

    /// Injects a fault.  A fault with a duration ends without another call.
    pub(super) fn inject(&mut self, processes: &mut Processes, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Crash { node } => processes.crash(node),
            Fault::Upgrade { node } => processes.upgrade(node),
            Fault::Down { duration } => processes.crash_all(now + duration),
            Fault::StateLimits { .. } => {
                self.limits = limits_after(self.limits, fault);
                self.environment.state.borrow_mut().set_limits(self.limits);
            }
            Fault::StateOutage { duration } => {
                self.environment.state.borrow_mut().begin_outage();
                self.run_after(duration, |environment| environment.state.borrow_mut().end_outage(Instant::now()));
            }
            Fault::Refused { node, duration } => {
                self.environment.refused_controllers.borrow_mut().insert(node);
                self.run_after(duration, move |environment| {
                    environment.refused_controllers.borrow_mut().remove(&node);
                });
            }
            Fault::Delay { latency, duration } => {
                self.environment.state_response_delay.set(latency);
                self.run_after(duration, |environment| environment.state_response_delay.set(Duration::ZERO));
            }
            Fault::CloudOutage { duration } => {
                self.environment.cloud.borrow_mut().begin_outage();
                self.run_after(duration, |environment| environment.cloud.borrow_mut().end_outage());
            }
            Fault::KillMachines { count } => self.lose_machines(count, MachineLoss::Crash, now),
            Fault::SpotWave { count } => self.lose_machines(count, MachineLoss::Reclaim, now),
        }
    }

    /// Runs `end_fault` after a delay, unless the executor is dropped before.
    fn run_after(&self, delay: Duration, end_fault: impl FnOnce(&Environment) + 'static) {
        let environment = self.environment.clone();
        let task = async move {
            smol::Timer::after(delay).await;
            end_fault(&environment);
        };
        self.executor.spawn(task).detach();
    }

    /// Causes the loss of up to `count` machines, chosen at random.
    fn lose_machines(&self, count: usize, loss: MachineLoss, now: Instant) {
        let mut rng = self.environment.rng.borrow_mut();
        let mut names: Vec<Name> = self.environment.worker_pool.borrow().machines().keys().cloned().collect();
        rng.shuffle(&mut names);
        let mut cloud = self.environment.cloud.borrow_mut();
        let lose = |name: &Name| match loss {
            MachineLoss::Crash => cloud.kill(name, now),
            MachineLoss::Reclaim => cloud.reclaim(name, &mut rng, now),
        };
        // machines that cannot be lost in this way, such as on-demand ones in a reclaim, are skipped
        // and do not count
        let events = names.iter().filter_map(lose).take(count).collect();
        drop((cloud, rng));
        self.environment.apply_cloud_events(&self.executor, events);
    }
}
