//! Machines that come and go with the cloud's decisions.

use std::rc::Rc;
use std::time::Instant;

use coralnotch_wire::model::{MachineType, Name};
use smol::channel::Sender;
use smol::{LocalExecutor, Task};

use super::Environment;
use crate::cloud::Event;

/// A machine's worker; it ends with its sockets when this is dropped.
pub(super) struct RunningWorker {
    /// Tells the worker that it has something to report.
    wake: Sender<()>,
    _task: Task<()>,
}

/// A machine that is up.
#[derive(Debug, Clone)]
pub struct BootedMachine {
    /// Its name.
    pub name: Name,
    /// Its type.
    pub kind: MachineType,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
}

impl Environment {
    /// Lets the cloud's decisions reach the machines.
    pub fn apply_cloud_events(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Up(name) => {
                    if let Some(machine) = self.booted_machine(&name) {
                        self.start_worker(executor, machine);
                    }
                }
                Event::ReclaimNotice(name, at) => self.schedule_reclaim(&name, at),
                Event::Gone(name) => self.remove_machine(&name),
            }
        }
    }

    /// A machine as the cloud describes it.
    pub fn booted_machine(&self, name: &Name) -> Option<BootedMachine> {
        let cloud = self.cloud.borrow();
        let machine = cloud.machines().get(name)?;
        let kind = cloud.machine_type(&machine.kind)?.clone();
        Some(BootedMachine { name: name.clone(), kind, zone: machine.zone.clone(), spot: machine.spot })
    }

    /// Starts the worker of a machine that is up.
    pub fn start_worker(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, machine: BootedMachine) {
        let (wake, woken) = smol::channel::bounded(1);
        let name = machine.name.clone();
        let task = executor.spawn(self.clone().run_worker(machine, woken));
        self.workers.borrow_mut().insert(name, RunningWorker { wake, _task: task });
    }

    /// Lets a machine's worker know when the cloud will reclaim the machine.
    pub fn schedule_reclaim(&self, name: &Name, at: Instant) {
        self.worker_pool.borrow_mut().schedule_reclaim(name, at);
        self.wake_changed_workers();
    }

    /// Removes a machine with its worker and sockets.
    pub fn remove_machine(&self, name: &Name) {
        self.worker_pool.borrow_mut().remove_machine(name);
        self.workers.borrow_mut().remove(name);
    }

    /// Wakes the workers that have something to report.
    pub(super) fn wake_changed_workers(&self) {
        let changed = self.worker_pool.borrow_mut().take_changed();
        let workers = self.workers.borrow();
        for worker in changed.iter().filter_map(|name| workers.get(name)) {
            let _ = worker.wake.try_send(());
        }
    }
}
