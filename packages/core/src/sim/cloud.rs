//! The cloud: machines that are created and listed.

use super::*;

pub(super) fn list_entry(w: &Worker) -> ListedMachine {
    ListedMachine {
        name: w.name.clone(),
        kind: "t".into(),
        zone: w.zone.clone(),
        spot: w.spot,
        state: MachineState::Running,
        age_s: 60.0,
    }
}

impl World {
    /// The fleet is kept up; new machines appear through their reports.
    pub(super) fn scale_out(&mut self) {
        while self.workers.iter().filter(|w| w.alive).count() < self.scale - 1 {
            let i = self.workers.len();
            self.workers.push(Worker::new(i, self.now, self.now + 1000));
        }
    }

    /// A list of the cloud's, of now or of some seconds ago.
    pub(super) fn stale_machine_list(&mut self) -> Vec<ListedMachine> {
        let now: Vec<ListedMachine> = self.workers.iter().filter(|w| w.alive).map(list_entry).collect();
        match self.machine_lists.len() {
            0 => now,
            n => self.machine_lists[self.rng.usize(0..n)].clone(),
        }
    }
}
