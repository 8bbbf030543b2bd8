//! Model of the cloud, which creates, deletes and lists machines.

use super::*;

/// Number of past machine lists that are kept, at one a second.
const KEPT_LISTS: usize = 10;

impl World {
    /// Replaces lost machines until at most one of `machine_count` is missing.  Controllers learn
    /// of a new machine by its heartbeats.
    pub(super) fn scale_out(&mut self) {
        while self.workers.iter().filter(|worker| worker.alive).count() < self.machine_count - 1 {
            let i = self.workers.len();
            self.workers.push(Worker::new(i, self.now, self.now + 1000));
        }
    }

    /// Deletes machines for a controller, unless the cloud API is unavailable.
    pub(super) fn delete_machines(&mut self, names: Vec<Name>, from: usize, incarnation: u64) {
        if self.now < self.faults.cloud_outage_until {
            return;
        }
        for worker in self.workers.iter_mut().filter(|worker| names.contains(&worker.name)) {
            worker.alive = false;
            worker.tasks.clear();
        }
        self.send(Message::MachinesDeleted { names, to: from, incarnation });
        self.scale_out();
    }

    /// Records the current list of machines for later responses.
    pub(super) fn record_machine_list(&mut self) {
        self.machine_lists.push(self.machine_list());
        if self.machine_lists.len() > KEPT_LISTS {
            self.machine_lists.remove(0);
        }
    }

    /// Returns the cloud's response to a list request, which may be some seconds old.
    pub(super) fn stale_machine_list(&mut self) -> Vec<ListedMachine> {
        match self.machine_lists.len() {
            0 => self.machine_list(),
            kept => self.machine_lists[self.rng.usize(0..kept)].clone(),
        }
    }

    fn machine_list(&self) -> Vec<ListedMachine> {
        self.workers.iter().filter(|worker| worker.alive).map(list_entry).collect()
    }
}

fn list_entry(worker: &Worker) -> ListedMachine {
    ListedMachine {
        name: worker.name.clone(),
        machine_type: "t".into(),
        zone: worker.zone.clone(),
        spot: worker.spot,
        state: MachineState::Running,
        age_s: 60.0,
    }
}
