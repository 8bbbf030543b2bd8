//! Machines with their workers, as the protocol describes them.

use super::*;
use crate::cluster::raise_token;

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskProgress {
    Pulling { until: Ms },
    WaitingForGang { since: Ms },
    Running { until: Ms },
    Ended(ExitCause),
}

pub(super) struct Worker {
    pub(super) name: Name,
    pub(super) zone: Name,
    pub(super) spot: bool,
    pub(super) alive: bool,
    pub(super) hung_until: Ms,
    /// Until when what is sent to it is lost, though its reports arrive.
    pub(super) inbound_lost_until: Ms,
    /// Until when its reports are lost, though what is sent to it arrives.
    pub(super) outbound_lost_until: Ms,
    pub(super) tasks_fail: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) renewed: Ms,
    pub(super) next: Ms,
    /// Report in flight: number of it and when it was sent.
    pub(super) pending_heartbeat: Option<(u64, Ms)>,
    pub(super) tasks: BTreeMap<Task, (u64, TaskProgress)>,
}

impl Worker {
    pub(super) fn new(i: usize, renewed: Ms, next: Ms) -> Worker {
        Worker {
            name: format!("i-{i:06}").into(),
            zone: format!("z{}", i % 3).into(),
            spot: i % 4 == 3,
            alive: true,
            hung_until: 0,
            tasks_fail: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            renewed,
            next,
            pending_heartbeat: None,
            inbound_lost_until: 0,
            outbound_lost_until: 0,
            tasks: BTreeMap::new(),
        }
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let one = |(task, (attempt, work)): (&Task, &(u64, TaskProgress))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: match work {
                TaskProgress::Pulling { .. } => TaskState::Pulling,
                TaskProgress::WaitingForGang { .. } => TaskState::WaitingForGang,
                TaskProgress::Running { .. } => TaskState::Running,
                TaskProgress::Ended(_) => TaskState::Exited,
            },
            cause: if let TaskProgress::Ended(c) = work { Some(*c) } else { None },
            saved: None,
        };
        Heartbeat {
            machine: self.name.clone(),
            address: "127.0.0.1:9".into(),
            kind: "t".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: self.tasks.iter().map(one).collect(),
        }
    }
}

impl World {
    pub(super) fn execute_commands(&mut self, i: usize, orders: &[Command]) {
        for o in orders {
            match o {
                Command::Start { task, attempt } => {
                    let known = self.workers[i].tasks.get(task);
                    if known.is_some_and(|(a, _)| a == attempt) {
                        continue;
                    }
                    if known.is_some() {
                        continue; // busy: the listing shows the other attempt
                    }
                    let until = self.now + self.rng.u64(0..30) * STEP;
                    self.workers[i].tasks.insert(task.clone(), (*attempt, TaskProgress::Pulling { until }));
                }
                Command::Stop { task, attempt, .. } => {
                    let w = &mut self.workers[i];
                    if let Some((_, work)) =
                        w.tasks.get_mut(task).filter(|(a, w)| a == attempt && !matches!(w, TaskProgress::Ended(_)))
                    {
                        *work = TaskProgress::Ended(ExitCause::StoppedByCommand);
                        w.next = w.next.min(self.now + 500);
                    }
                }
                Command::Acknowledge { task, attempt } => {
                    let w = &mut self.workers[i];
                    if w.tasks.get(task).is_some_and(|(a, w)| a == attempt && matches!(w, TaskProgress::Ended(_))) {
                        w.tasks.remove(task);
                    }
                }
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn step_workers(&mut self) {
        for i in 0..self.workers.len() {
            if !self.workers[i].alive || self.now < self.workers[i].hung_until {
                continue;
            }
            let cut = self.now < self.zone_partitioned_until[i % 3];
            if cut && self.zone_without_controller != Some(i % 3) && self.may_renew_zone(i % 3) {
                let w = &mut self.workers[i];
                (w.renewed, w.pending_heartbeat) = (self.now, None);
                if self.peer_notices_required && self.now.is_multiple_of(3000) {
                    w.fencing_token = raise_token(w.fencing_token);
                }
                let over = |t: &Task| self.snapshots[i % 3].over.contains(&t.job);
                for (_, work) in w.tasks.iter_mut().filter(|(t, _)| over(t)).map(|(_, v)| v) {
                    if !matches!(work, TaskProgress::Ended(_)) {
                        *work = TaskProgress::Ended(ExitCause::StoppedByCommand);
                    }
                }
            }
            let lease = 30_000;
            if self.now.saturating_sub(self.workers[i].renewed) > lease {
                let w = &mut self.workers[i];
                w.tasks.clear();
                w.incarnation += 1;
                w.renewed = self.now;
                w.pending_heartbeat = None;
            }
            let tasks: Vec<Task> = self.workers[i].tasks.keys().cloned().collect();
            for task in tasks {
                let Some((attempt, work)) = self.workers[i].tasks.get(&task).copied() else { continue };
                let Some((spec, _)) = self.jobs.get(&task.job).cloned() else { continue };
                let next = match work {
                    TaskProgress::Pulling { until } if until <= self.now => {
                        self.check_task_start(i, &task, &spec);
                        if self.workers[i].tasks_fail || self.faulty_jobs.contains(&task.job) {
                            TaskProgress::Ended(ExitCause::Failed)
                        } else if self.task_finished_at.contains_key(&task) {
                            TaskProgress::Ended(ExitCause::Completed)
                        } else if spec.shape == Shape::Gang {
                            TaskProgress::WaitingForGang { since: self.now }
                        } else {
                            TaskProgress::Running { until: self.now + self.running_time(&spec) }
                        }
                    }
                    TaskProgress::WaitingForGang { since } => {
                        let mates = self
                            .workers
                            .iter()
                            .flat_map(|w| &w.tasks)
                            .filter(|(t, (a, w))| {
                                t.job == task.job
                                    && *a == attempt
                                    && matches!(w, TaskProgress::WaitingForGang { .. } | TaskProgress::Running { .. })
                            })
                            .count();
                        if mates as u32 >= spec.tasks {
                            TaskProgress::Running { until: since / 10_000 * 10_000 + 40_000 }
                        } else if self.now - since > 20_000 {
                            TaskProgress::Ended(ExitCause::GangTimeout)
                        } else {
                            work
                        }
                    }
                    TaskProgress::Running { until } if until <= self.now && spec.shape != Shape::Service => {
                        self.task_finished_at.insert(task.clone(), self.now);
                        if spec.shape == Shape::Gang {
                            for index in 0..spec.tasks {
                                self.task_finished_at.entry(Task { job: task.job.clone(), index }).or_insert(self.now);
                            }
                        }
                        let done = |index| self.task_finished_at.contains_key(&Task { job: task.job.clone(), index });
                        if (0..spec.tasks).all(done) {
                            self.completing_jobs.push(task.job.clone());
                        }
                        TaskProgress::Ended(ExitCause::Completed)
                    }
                    w => w,
                };
                if next != work {
                    let w = &mut self.workers[i];
                    w.next = w.next.min(self.now + 500);
                    w.tasks.insert(task, (attempt, next));
                }
            }
            let given_up = self.workers[i].pending_heartbeat.is_some_and(|(_, sent)| self.now - sent > 4000);
            if given_up {
                self.workers[i].pending_heartbeat = None;
            }
            if self.workers[i].pending_heartbeat.is_none() && self.workers[i].next <= self.now && !cut {
                let leads = |c: &Option<Controller>| c.as_ref().is_some_and(|c| self.now < c.until);
                // where nobody leads it goes from one to the next
                let to = self.controllers.iter().position(leads).or(Some(self.rng.usize(0..3)));
                let w = &mut self.workers[i];
                w.next = self.now + 3000;
                let heartbeat = w.heartbeat();
                w.pending_heartbeat = Some((heartbeat.sequence, self.now));
                if self.now < w.outbound_lost_until {
                    continue; // it is lost, and given up
                }
                // several may believe that they lead: any of them may be asked
                // ... and where reports are forwarded a worker mostly stays with one of them
                let stays = self.forwards_heartbeats && self.rng.u32(0..8) > 0;
                let to = match self.rng.u32(0..8) {
                    _ if stays => i / 3 % 3,
                    0 => self.rng.usize(0..3),
                    _ => to.unwrap_or(0),
                };
                self.send(Message::Heartbeat { to, number: heartbeat.sequence, heartbeat });
            }
        }
    }

    pub(super) fn running_time(&mut self, spec: &JobSpec) -> Ms {
        if spec.shape == Shape::Service {
            Ms::MAX / 2
        } else {
            self.rng.u64(20..250) * STEP
        }
    }
}
