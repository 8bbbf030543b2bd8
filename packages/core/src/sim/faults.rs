//! Injected faults: crashes, pauses, outages and partitions, each with an end time.

use super::*;

/// Selects the controller that crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CrashTarget {
    /// The controller whose leader key is stored at the time of the crash.
    CurrentLeader,
    /// The controller with this index.
    Controller(usize),
}

/// A controller crash that is scheduled for a later time.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScheduledCrash {
    at: Ms,
    target: CrashTarget,
}

/// A pause of a controller's process that begins in the middle of the controller's next step.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pause {
    pub(super) controller: usize,
    pub(super) duration: Ms,
}

/// The active and the scheduled faults, with their end times.  Arrays are indexed by
/// controller or by zone; each controller is in the zone with the same index.
pub(super) struct FaultSchedule {
    /// Average number of steps between two faults.
    pub(super) steps_between_faults: u32,
    pub(super) scheduled_crashes: Vec<ScheduledCrash>,
    /// Time until which the controller's process is not running.
    pub(super) controller_down_until: [Ms; 3],
    pub(super) next_pause: Option<Pause>,
    /// Time until which the process is paused while its clocks advance.  Messages to it wait,
    /// and messages that it was about to send leave when it resumes.
    pub(super) paused_until: [Ms; 3],
    /// Time until which the controller cannot renew its leader lease.
    pub(super) lease_renewal_blocked_until: [Ms; 3],
    /// Time until which the state service refuses all controllers.
    pub(super) state_store_outage_until: Ms,
    /// Time until which the state service refuses this controller.
    pub(super) state_store_refuses_until: [Ms; 3],
    /// Time until which the cloud API is unavailable.
    pub(super) cloud_outage_until: Ms,
    /// Time until which the controller and its peers cannot reach each other.
    pub(super) peers_unreachable_until: [Ms; 3],
    /// Time until which the controller and the workers cannot reach each other.
    pub(super) workers_unreachable_until: [Ms; 3],
    /// Time until which the zone is partitioned from the others.
    pub(super) zone_partitioned_until: [Ms; 3],
    /// Time until which users submit five single-task jobs a second, slightly faster than real
    /// users do.
    pub(super) submission_burst_until: Ms,
    /// Time until which users cancel jobs right after the last task has completed.
    pub(super) cancel_on_completion_until: Ms,
}

impl FaultSchedule {
    /// Creates a schedule without faults.
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

    /// Shortens faults so that they end by `end`, and a burst of submissions so that it ends at
    /// `now`.
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
    /// Crashes a controller's process.  Messages that it has sent stay in flight.
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

    /// Crashes the controllers whose scheduled crashes are due.
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
            13 | 14 => self.refuse_leader_at_state_store(),
            15 => self.isolate_leader(),
            16 => self.lose_messages(|worker, until| worker.inbound_lost_until = until),
            17 => self.crash_leaders_repeatedly(),
            18 => self.faults.submission_burst_until = self.random_end(100..600),
            19 => self.faults.cancel_on_completion_until = self.random_end(100..600),
            20 => self.lose_messages(|worker, until| worker.outbound_lost_until = until),
            _ => self.cancel_jobs_and_hang_machines(),
        }
    }

    /// Returns the end time of a fault that lasts a random number of steps.
    fn random_end(&mut self, steps: std::ops::Range<u64>) -> Ms {
        self.now + self.rng.u64(steps) * STEP
    }

    /// Crashes a controller, and schedules up to three further crashes of it.  The process often
    /// restarts quickly, so that the next crash falls into its first steps.
    fn crash_repeatedly(&mut self) {
        let i = self.rng.usize(0..3);
        self.crash_controller(i);
        for n in 1..=self.rng.u64(0..4) {
            let at = self.now + n * self.rng.u64(3..15) * STEP;
            self.faults.schedule_crash(at, CrashTarget::Controller(i));
        }
    }

    /// Crashes all controllers, one time in three for longer than a worker's lease.
    fn crash_all_controllers(&mut self) {
        (0..3).for_each(|i| self.crash_controller(i));
        if self.rng.u32(0..3) == 0 {
            let until = self.random_end(310..450);
            self.faults.controller_down_until.fill(until);
        }
    }

    /// Schedules ten crashes of the current leader within two minutes.
    fn crash_leaders_repeatedly(&mut self) {
        for n in 0..10 {
            self.faults.schedule_crash(self.now + n * 12_000, CrashTarget::CurrentLeader);
        }
    }

    /// Pauses a controller's process, for a shorter or a longer time than the leader lease.
    fn pause_controller(&mut self) {
        let is_short = self.rng.bool();
        let steps = if is_short { self.rng.u64(5..60) } else { self.rng.u64(160..500) };
        let controller = self.rng.usize(0..3);
        self.faults.next_pause = Some(Pause { controller, duration: steps * STEP });
    }

    /// Has the state service refuse only the leader, for a shorter or a longer time than the
    /// leader lease.  Afterwards it may refuse all controllers, for longer than a cancellation
    /// takes.
    fn refuse_leader_at_state_store(&mut self) {
        let leader = self.leader_or_first();
        let refused_until = self.random_end(10..80);
        self.faults.state_store_refuses_until[leader] = refused_until;
        // users cancel jobs meanwhile; another controller, which may have stored the
        // cancellations, may crash or lose its peers shortly afterwards
        (0..4).for_each(|_| drop(self.cancel_random_job()));
        let other = (leader + self.rng.usize(1..3)) % 3;
        match self.rng.u32(0..3) {
            0 => self.faults.schedule_crash(self.now + 5 * STEP, CrashTarget::Controller(other)),
            1 => self.faults.peers_unreachable_until[other] = self.random_end(300..1000),
            _ => {}
        }
        if self.rng.bool() && self.machine_count <= 100 {
            self.faults.state_store_outage_until = refused_until - 500 + self.rng.u64(300..1000) * STEP;
        }
    }

    /// Cuts the leader's connection to its peers and, in half of the cases, to the state
    /// service.  The leader still reaches workers.
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

    /// Partitions a zone, in half of the cases together with an outage of the cloud API.
    fn partition_zone(&mut self) {
        let zone = self.rng.usize(0..3);
        let until = self.random_end(100..1000);
        self.faults.zone_partitioned_until[zone] = until;
        if self.rng.bool() {
            self.faults.cloud_outage_until = until;
        }
        (0..2).for_each(|_| drop(self.cancel_random_job()));
    }

    /// Drops the messages of some machines in one direction, while those in the other arrive.
    fn lose_messages(&mut self, lose_until: impl Fn(&mut Worker, Ms)) {
        for _ in 0..self.machine_count.div_ceil(4) {
            let i = self.rng.usize(0..self.workers.len());
            let until = self.random_end(50..600);
            lose_until(&mut self.workers[i], until);
        }
    }

    /// Applies a failure to one random machine in a small cluster, and to dozens in a large one,
    /// then replaces machines that no longer exist.
    fn fail_workers(&mut self, fail: impl Fn(&mut Worker, Ms)) {
        for _ in 0..self.machine_count.div_ceil(30) {
            let i = self.rng.usize(0..self.workers.len());
            let until = self.random_end(10..400);
            fail(&mut self.workers[i], until);
        }
        self.scale_out();
    }

    /// Cancels up to four jobs, and hangs up to two machines of each; the leader may crash
    /// shortly afterwards.
    fn cancel_jobs_and_hang_machines(&mut self) {
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
