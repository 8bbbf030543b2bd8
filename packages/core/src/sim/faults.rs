//! Faults: crashes, pauses, outages and partitions, each until a given time.

use super::*;

/// Which controller crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CrashTarget {
    /// Whichever leads at that moment.
    CurrentLeader,
    /// The controller of this index.
    Controller(usize),
}

/// A crash at a later time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScheduledCrash {
    at: Ms,
    target: CrashTarget,
}

/// A pause of a controller's process, which begins in the middle of its next step.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pause {
    pub(super) controller: usize,
    pub(super) duration: Ms,
}

/// What is broken, and until when.  Arrays are by controller; the controller of an index
/// is in the zone of the same index.
pub(super) struct FaultSchedule {
    /// Steps between two faults, on average.
    pub(super) steps_between_faults: u32,
    pub(super) scheduled_crashes: Vec<ScheduledCrash>,
    /// The process does not run.
    pub(super) controller_down_until: [Ms; 3],
    pub(super) next_pause: Option<Pause>,
    /// The process is paused while its clocks run on: messages to it wait, and what it
    /// was about to send leaves as it resumes.
    pub(super) paused_until: [Ms; 3],
    /// The controller can't renew its leader lease.
    pub(super) lease_renewal_blocked_until: [Ms; 3],
    /// The state service serves nobody.
    pub(super) state_store_outage_until: Ms,
    /// The state service refuses this controller alone.
    pub(super) state_store_refuses_until: [Ms; 3],
    /// The cloud's interface is down.
    pub(super) cloud_outage_until: Ms,
    /// The controller does not reach its peers.
    pub(super) peers_unreachable_until: [Ms; 3],
    /// The controller and the workers do not reach each other.
    pub(super) workers_unreachable_until: [Ms; 3],
    /// The zone is cut off from the others.
    pub(super) zone_partitioned_until: [Ms; 3],
    /// Users submit five jobs of one task a second, a little faster than real users.
    pub(super) submission_burst_until: Ms,
    /// Users cancel jobs as their last tasks end.
    pub(super) cancel_on_completion_until: Ms,
}

impl FaultSchedule {
    /// No fault yet.
    pub(super) fn new(steps_between_faults: u32) -> FaultSchedule {
        FaultSchedule {
            steps_between_faults,
            scheduled_crashes: Vec::new(),
            controller_down_until: [0; 3],
            next_pause: None,
            paused_until: [0; 3],
            lease_renewal_blocked_until: [0; 3],
            state_store_outage_until: 0,
            state_store_refuses_until: [0; 3],
            cloud_outage_until: 0,
            peers_unreachable_until: [0; 3],
            workers_unreachable_until: [0; 3],
            zone_partitioned_until: [0; 3],
            submission_burst_until: 0,
            cancel_on_completion_until: 0,
        }
    }

    fn schedule_crash(&mut self, at: Ms, target: CrashTarget) {
        self.scheduled_crashes.push(ScheduledCrash { at, target });
    }

    /// Lets faults end by a given time, and a burst of submissions now.
    pub(super) fn end_by(&mut self, now: Ms, end: Ms) {
        self.scheduled_crashes.retain(|crash| crash.at < end);
        self.submission_burst_until = self.submission_burst_until.min(now);
        self.cancel_on_completion_until = self.cancel_on_completion_until.min(end);
        let by_controller = [
            &mut self.state_store_refuses_until,
            &mut self.peers_unreachable_until,
            &mut self.zone_partitioned_until,
            &mut self.workers_unreachable_until,
            &mut self.paused_until,
        ];
        let outages = [&mut self.state_store_outage_until, &mut self.cloud_outage_until];
        for until in by_controller.into_iter().flatten().chain(outages) {
            *until = end.min(*until);
        }
    }
}

impl World {
    /// A controller's process crashes; what it had sent is still under way.
    fn crash_controller(&mut self, i: usize) {
        self.controllers[i] = None;
        self.candidates[i] = None;
        let downtime = if self.rng.bool() { 200 } else { 3000 };
        self.faults.controller_down_until[i] = self.now + downtime;
        self.faults.paused_until[i] = 0;
        self.last_incarnation += 1;
        self.snapshots[i] = OutcomeSnapshot::new(self.last_incarnation);
        self.forwarding[i] = HeartbeatForwarding::default();
    }

    /// Carries out the crashes that are due.
    pub(super) fn crash_due_controllers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.faults.scheduled_crashes.extract_if(.., |crash| crash.at <= now).collect();
        for ScheduledCrash { target, .. } in due {
            match (target, self.state_store.leader) {
                (CrashTarget::Controller(i), _) => self.crash_controller(i),
                (CrashTarget::CurrentLeader, Some(leader)) => self.crash_controller(leader.controller),
                (CrashTarget::CurrentLeader, None) => {}
            }
        }
    }

    /// Starts a random fault.
    pub(super) fn inject_fault(&mut self) {
        match self.rng.u32(0..22) {
            0 => self.crash_repeatedly(),
            1 => self.crash_all_controllers(),
            2 => self.faults.state_store_outage_until = self.random_end(10..150),
            3 | 4 => {
                let i = self.rng.usize(0..3);
                self.faults.lease_renewal_blocked_until[i] = self.random_end(20..200);
            }
            5 => self.fail_workers(|worker, _| {
                worker.alive = false;
                worker.tasks.clear();
            }),
            6 | 7 => self.fail_workers(|worker, until| worker.hung_until = until),
            8 => self.fail_workers(|worker, _| worker.tasks_fail = !worker.tasks_fail),
            9 => self.partition_zone(),
            10 | 11 => self.pause_controller(),
            12 => {
                let until = self.random_end(20..600);
                let i = self.rng.usize(0..3);
                self.faults.workers_unreachable_until[i] = until;
            }
            13 | 14 => self.refuse_leader(),
            15 => self.isolate_leader(),
            16 => self.lose_messages(|worker, until| worker.inbound_lost_until = until),
            17 => self.change_leader_often(),
            18 => self.faults.submission_burst_until = self.random_end(100..600),
            19 => self.faults.cancel_on_completion_until = self.random_end(100..600),
            20 => self.lose_messages(|worker, until| worker.outbound_lost_until = until),
            _ => self.cancel_and_hang(),
        }
    }

    /// A time that is a random number of steps ahead.
    fn random_end(&mut self, steps: std::ops::Range<u64>) -> Ms {
        self.now + self.rng.u64(steps) * STEP
    }

    /// Often a process is back at once, and crashes again in its first steps.
    fn crash_repeatedly(&mut self) {
        let i = self.rng.usize(0..3);
        self.crash_controller(i);
        for n in 1..=self.rng.u64(0..4) {
            let at = self.now + n * self.rng.u64(3..15) * STEP;
            self.faults.schedule_crash(at, CrashTarget::Controller(i));
        }
    }

    /// All controllers crash, sometimes for longer than a worker's lease.
    fn crash_all_controllers(&mut self) {
        (0..3).for_each(|i| self.crash_controller(i));
        if self.rng.u32(0..3) == 0 {
            let until = self.random_end(310..450);
            self.faults.controller_down_until.fill(until);
        }
    }

    /// Leaders change ten times in two minutes.
    fn change_leader_often(&mut self) {
        for n in 0..10 {
            self.faults.schedule_crash(self.now + n * 12_000, CrashTarget::CurrentLeader);
        }
    }

    /// A controller's process is paused, for less or longer than its lease.
    fn pause_controller(&mut self) {
        let is_short = self.rng.bool();
        let steps = if is_short { self.rng.u64(5..60) } else { self.rng.u64(160..500) };
        let controller = self.rng.usize(0..3);
        self.faults.next_pause = Some(Pause { controller, duration: steps * STEP });
    }

    /// The state service refuses the leader alone, for less or longer than its lease;
    /// then everybody, for longer than a cancellation takes.
    fn refuse_leader(&mut self) {
        let leader = self.leader_or_first();
        let refused_until = self.random_end(10..80);
        self.faults.state_store_refuses_until[leader] = refused_until;
        // users cancel meanwhile, at one that may crash, or lose its peers, just after
        (0..4).for_each(|_| drop(self.cancel_random_job()));
        let other = (leader + self.rng.usize(1..3)) % 3;
        match self.rng.u32(0..3) {
            0 => self.faults.schedule_crash(self.now + 5 * STEP, CrashTarget::Controller(other)),
            1 => self.faults.peers_unreachable_until[other] = self.random_end(300..1000),
            _ => {}
        }
        if self.rng.bool() && self.scale <= 100 {
            self.faults.state_store_outage_until = refused_until - 500 + self.rng.u64(300..1000) * STEP;
        }
    }

    /// The leader loses its peers, and in half of the cases the state service too; it
    /// still reaches workers.
    fn isolate_leader(&mut self) {
        let leader = self.leader_or_first();
        let until = self.random_end(50..900);
        self.faults.peers_unreachable_until[leader] = until;
        if self.rng.bool() {
            self.faults.state_store_refuses_until[leader] = until;
        }
    }

    fn leader_or_first(&self) -> usize {
        self.state_store.leader.map_or(0, |leader| leader.controller)
    }

    /// A zone is cut off, in half of the cases together with the cloud's interface.
    fn partition_zone(&mut self) {
        let zone = self.rng.usize(0..3);
        let until = self.random_end(100..1000);
        self.faults.zone_partitioned_until[zone] = until;
        if self.rng.bool() {
            self.faults.cloud_outage_until = until;
        }
        (0..2).for_each(|_| drop(self.cancel_random_job()));
    }

    /// Messages of some machines are lost in one direction, and arrive in the other.
    fn lose_messages(&mut self, lose_until: impl Fn(&mut Worker, Ms)) {
        for _ in 0..self.scale.div_ceil(4) {
            let i = self.rng.usize(0..self.workers.len());
            let until = self.random_end(50..600);
            lose_until(&mut self.workers[i], until);
        }
    }

    /// A machine fails; dozens at once in a large world.
    fn fail_workers(&mut self, fail: impl Fn(&mut Worker, Ms)) {
        for _ in 0..self.scale.div_ceil(30) {
            let i = self.rng.usize(0..self.workers.len());
            let until = self.random_end(10..400);
            fail(&mut self.workers[i], until);
        }
        self.scale_out();
    }

    /// Running jobs are cancelled, and their machines hang; the leader may crash.
    fn cancel_and_hang(&mut self) {
        let hung_until = self.random_end(50..450);
        for _ in 0..4 {
            let Some(id) = self.cancel_random_job() else { continue };
            let runs_job = |worker: &&mut Worker| worker.tasks.keys().any(|task| task.job == id);
            for worker in self.workers.iter_mut().filter(runs_job).take(2) {
                worker.hung_until = hung_until;
            }
        }
        if self.rng.bool() {
            let at = self.random_end(1..20);
            self.faults.schedule_crash(at, CrashTarget::CurrentLeader);
        }
    }
}
