//! Model of the cloud: it creates, deletes and lists machines.

use super::*;

/// How many machine lists are kept, one a second.
const KEPT_LISTS: usize = 10;

impl World {
    /// Keeps the fleet up; new machines become known by their heartbeats.
    pub(super) fn scale_out(&mut self) {
        while self.workers.iter().filter(|worker| worker.alive).count() < self.scale - 1 {
            let i = self.workers.len();
            self.workers.push(Worker::new(i, self.now, self.now + 1000));
        }
    }

    /// Deletes machines for a controller, unless the cloud's interface is down.
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

    /// Keeps the present list of machines, for later answers.
    pub(super) fn record_machine_list(&mut self) {
        self.machine_lists.push(self.machine_list());
        if self.machine_lists.len() > KEPT_LISTS {
            self.machine_lists.remove(0);
        }
    }

    /// The cloud's answer: the machines of now, or of some seconds ago.
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
        kind: "t".into(),
        zone: worker.zone.clone(),
        spot: worker.spot,
        state: MachineState::Running,
        age_s: 60.0,
    }
}
