//! Start and removal of machines as the cloud boots and removes them.

use std::rc::Rc;
use std::time::Instant;

use coralnotch_wire::model::{MachineType, Name};
use smol::channel::Sender;
use smol::{LocalExecutor, Task};

use super::Environment;
use crate::cloud::Event;

/// A running worker; dropping the value stops the worker and closes its sockets.
pub(super) struct RunningWorker {
    /// Tells the worker that its machine has changed and a heartbeat is due early.
    wake_sender: Sender<()>,
    _task: Task<()>,
}

/// A machine that has finished booting.
#[derive(Debug, Clone)]
pub struct BootedMachine {
    /// Name of the machine, which the cloud assigns.
    pub name: Name,
    /// Machine type.
    pub kind: MachineType,
    /// Zone in which the machine was rented.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
}

impl Environment {
    /// Applies the cloud's events: starts workers, passes on reclaim notices and removes machines.
    pub fn apply_cloud_events(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Booted(name) => {
                    if let Some(machine) = self.booted_machine(&name) {
                        self.start_worker(executor, machine);
                    }
                }
                Event::ReclaimNotice(name, at) => self.schedule_reclaim(&name, at),
                Event::Removed(name) => self.remove_machine(&name),
            }
        }
    }

    /// Returns a rented machine's description; `None` if the cloud does not know the machine or its
    /// type.
    pub fn booted_machine(&self, name: &Name) -> Option<BootedMachine> {
        let cloud = self.cloud.borrow();
        let machine = cloud.machines().get(name)?;
        let kind = cloud.machine_type(&machine.kind)?.clone();
        Some(BootedMachine { name: name.clone(), kind, zone: machine.zone.clone(), spot: machine.spot })
    }

    /// Starts the worker of a booted machine.
    pub fn start_worker(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, machine: BootedMachine) {
        let (wake_sender, wake_receiver) = smol::channel::bounded(1);
        let name = machine.name.clone();
        let task = executor.spawn(self.clone().run_worker(machine, wake_receiver));
        self.workers.borrow_mut().insert(name, RunningWorker { wake_sender, _task: task });
    }

    /// Tells a machine's worker when the cloud will reclaim the machine.
    pub fn schedule_reclaim(&self, name: &Name, at: Instant) {
        self.worker_pool.borrow_mut().schedule_reclaim(name, at);
        self.wake_changed_workers();
    }

    /// Removes a machine and its tasks, and stops its worker.
    pub fn remove_machine(&self, name: &Name) {
        self.worker_pool.borrow_mut().remove_machine(name);
        self.workers.borrow_mut().remove(name);
    }

    /// Wakes the workers whose machines have changed since the last call.
    pub(super) fn wake_changed_workers(&self) {
        let changed = self.worker_pool.borrow_mut().take_changed_machines();
        let workers = self.workers.borrow();
        for worker in changed.iter().filter_map(|name| workers.get(name)) {
            let _ = worker.wake_sender.try_send(());
        }
    }
}
