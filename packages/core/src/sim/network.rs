//! Model of the network, which delivers each message after a random delay, and some requests
//! twice.

use super::*;

/// Order of delivery: by time, and in the order of sending for messages of the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct DeliveryKey {
    pub(super) at: Ms,
    pub(super) sequence: u64,
}

impl World {
    /// Sends a message.  Most messages arrive in the next step, some up to 3 s later and a few up
    /// to 70 s later.  A request may be delivered a second time, and the response to the
    /// duplicate is dropped.
    pub(super) fn send(&mut self, message: Message) {
        let delay = match self.rng.u32(0..100) {
            0..=89 => STEP,
            90..=96 => self.rng.u64(1..30) * STEP,
            _ => self.rng.u64(10..700) * STEP,
        };
        // the message of a paused sender leaves when the sender resumes
        let sent_at = message.sender().map_or(self.now, |i| self.faults.paused_until[i].max(self.now));
        let duplicate = (self.rng.u32(0..30) == 0).then(|| message.late_duplicate()).flatten();
        self.enqueue(sent_at + delay, message);
        if let Some(duplicate) = duplicate {
            let additional_delay = self.rng.u64(1..600) * STEP;
            self.enqueue(sent_at + delay + additional_delay, duplicate);
        }
    }

    /// Delivers a watch event.  The delay covers a watch that hangs, which is reopened within a
    /// third of `cancel_s`.
    pub(super) fn send_watch_event(&mut self, message: Message) {
        let at = self.now + self.rng.u64(1..200) * STEP;
        self.enqueue(at, message);
    }

    /// Schedules the delivery of a message at the given time.
    pub(super) fn enqueue(&mut self, at: Ms, message: Message) {
        self.last_sequence += 1;
        self.in_flight.insert(DeliveryKey { at, sequence: self.last_sequence }, message);
    }

    /// Delivers all messages that are due, in order.
    pub(super) fn deliver_due_messages(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().at <= self.now) {
            let message = entry.remove();
            self.deliver(message);
        }
    }
}
