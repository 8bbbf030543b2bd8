//! The network of the simulation: each message is delivered after a random delay, sometimes twice.

use super::*;

impl World {
    pub(super) fn send(&mut self, m: Message) {
        // mostly at once, now and then late, rarely a minute late
        let delay = match self.rng.u32(0..100) {
            0..=89 => STEP,
            90..=96 => self.rng.u64(1..30) * STEP,
            _ => self.rng.u64(10..700) * STEP,
        };
        self.last_sequence += 1;
        // a sender that stands still has not sent it yet
        let leaves = m.sender().map_or(self.now, |i| self.paused_until[i].max(self.now));
        // a request may arrive once more, late, when nobody waits for an answer
        let again = (self.rng.u32(0..30) == 0).then(|| m.again()).flatten();
        self.in_flight.insert((leaves + delay, self.last_sequence), m);
        if let Some(m) = again {
            self.last_sequence += 1;
            let late = self.rng.u64(1..600) * STEP;
            self.in_flight.insert((leaves + delay + late, self.last_sequence), m);
        }
    }

    /// What the watch shows: one that hangs is opened anew within a third of
    /// `cancel_s`.
    pub(super) fn send_watch_event(&mut self, m: Message) {
        self.last_sequence += 1;
        let at = self.now + self.rng.u64(1..200) * STEP;
        self.in_flight.insert((at, self.last_sequence), m);
    }
}
