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

/// Injects faults, and ends those that last for a while.
pub(super) struct FaultInjector {
    environment: Rc<Environment>,
    executor: Rc<LocalExecutor<'static>>,
    /// The state service's limits now.
    limits: Limits,
}

/// How machines are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineLoss {
    /// They die without notice.
    Crash,
    /// The cloud reclaims spot machines, with notice.
    Reclaim,
}

impl FaultInjector {
    pub(super) fn new(
        environment: Rc<Environment>,
        executor: Rc<LocalExecutor<'static>>,
        limits: Limits,
    ) -> FaultInjector {
        FaultInjector { environment, executor, limits }
    }

    /// Injects a fault; what lasts for a while ends by itself.
    pub(super) fn inject(&mut self, processes: &mut Processes, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Crash { node } => processes.crash(node),
            Fault::Upgrade { node } => processes.upgrade(node),
            Fault::Down { lasts } => processes.crash_all(now + lasts),
            Fault::StateLimits { .. } => {
                self.limits = limits_after(self.limits, fault);
                self.environment.state.borrow_mut().set_limits(self.limits);
            }
            Fault::StateOutage { lasts } => {
                self.environment.state.borrow_mut().begin_outage();
                self.after(lasts, |environment| environment.state.borrow_mut().end_outage(Instant::now()));
            }
            Fault::Refused { node, lasts } => {
                self.environment.refused.borrow_mut().insert(node);
                self.after(lasts, move |environment| {
                    environment.refused.borrow_mut().remove(&node);
                });
            }
            Fault::Delay { by, lasts } => {
                self.environment.delay.set(by);
                self.after(lasts, |environment| environment.delay.set(Duration::ZERO));
            }
            Fault::CloudOutage { lasts } => {
                self.environment.cloud.borrow_mut().begin_outage();
                self.after(lasts, |environment| environment.cloud.borrow_mut().end_outage());
            }
            Fault::KillMachines { count } => self.lose_machines(count, MachineLoss::Crash, now),
            Fault::SpotWave { count } => self.lose_machines(count, MachineLoss::Reclaim, now),
        }
    }

    /// Runs `end` after a delay, unless the executor ends before.
    fn after(&self, delay: Duration, end: impl FnOnce(&Environment) + 'static) {
        let environment = self.environment.clone();
        let task = async move {
            smol::Timer::after(delay).await;
            end(&environment);
        };
        self.executor.spawn(task).detach();
    }

    /// Lets `count` machines be lost, chosen at random.
    fn lose_machines(&self, count: usize, loss: MachineLoss, now: Instant) {
        let mut rng = self.environment.rng.borrow_mut();
        let mut names: Vec<Name> = self.environment.worker_pool.borrow().machines().keys().cloned().collect();
        rng.shuffle(&mut names);
        let mut cloud = self.environment.cloud.borrow_mut();
        let lose = |name: &Name| match loss {
            MachineLoss::Crash => cloud.kill(name, now),
            MachineLoss::Reclaim => cloud.reclaim(name, &mut rng, now),
        };
        // machines that cannot be lost in this way are passed over and do not count
        let events = names.iter().filter_map(lose).take(count).collect();
        drop((cloud, rng));
        self.environment.apply_cloud_events(&self.executor, events);
    }
}
