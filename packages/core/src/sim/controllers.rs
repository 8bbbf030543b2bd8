//! Three controllers: election, steps, and what reaches them.  Their decisions
//! are the program's own.

use super::*;
use crate::cancellation::{may_lead, may_renew};

pub(super) struct Controller {
    pub(super) until: Ms,
    pub(super) stamp: u64,
    /// Its lease.
    hold: u64,
    pub(super) cluster: Cluster,
    /// The transaction without an answer yet, its number and when it left.
    pub(super) flying: Option<(CommitBatch, u64, Ms)>,
    /// Life number: messages to a former life are dropped.
    pub(super) life: u64,
    pub(super) wants: Vec<crate::cluster::UnmetDemand>,
}

/// A controller that stands for leader.
#[derive(Clone, Copy)]
pub(super) struct Standing {
    /// Life that it stands for.
    life: u64,
    number: u64,
    sent: Ms,
    hold: u64,
    term: u64,
}

impl World {
    /// Those that find no leader, or their own earlier life as leader, stand for
    /// it: read the key and the term, take a lease, and write both, guarded on what
    /// they read.  A process may end between any two of these.
    pub(super) fn elect(&mut self) {
        self.store.expire(self.now);
        let ttl = self.policy.ttl.as_millis() as Ms;
        if self.now < self.outage {
            // after an outage every lease has its full time again
            self.store.leases.values_mut().for_each(|until| *until = self.outage + ttl);
            return;
        }
        let all_deaf = self.deaf.iter().all(|t| *t > self.now);
        for i in 0..3 {
            let reaches = self.no_renewal[i] <= self.now && self.served(i);
            if self.down_until[i] > self.now || !reaches || self.controllers[i].is_some() {
                continue;
            }
            if let Some(s) = self.standing[i] {
                if self.now - s.sent > 1500 {
                    // no answer: it may be carried out yet
                    self.standing[i] = None;
                }
                continue;
            }
            let free = self.store.leader.is_none_or(|(who, _)| who == i);
            // one that is deaf stands down while others can lead
            if !free || self.deaf[i] > self.now && !all_deaf || self.rng.u32(0..3) == 0 {
                continue;
            }
            let mut txn = Txn::default();
            txn.require(key::LEADER, self.store.stamp(key::LEADER));
            txn.require(key::TERM, self.store.stamp(key::TERM));
            let last = self.store.kv.get(key::TERM).and_then(|(d, _)| read_value::<u64>(key::TERM, d.clone()));
            let term = last.unwrap_or(0) + 1;
            txn.writes.push(Write::set(key::LEADER, &term));
            txn.writes.push(Write::set(key::TERM, &term));
            if self.sabotage == Sabotage::UnguardedElection {
                txn.preconditions.clear();
            }
            self.lives += 1;
            self.serial += 1;
            let (life, number, hold) = (self.lives, self.serial, self.lives);
            self.store.leases.insert(hold, self.now + ttl);
            self.standing[i] = Some(Standing { life, number, sent: self.now, hold, term });
            self.send(Message::Elect { from: i, life, number, hold, term, txn });
        }
    }

    /// The store carries out an election, if its lease still lasts.
    fn carry_election(&mut self, who: usize, hold: u64, term: u64, txn: &Txn) -> Option<u64> {
        if self.now < self.outage || !self.store.leases.contains_key(&hold) {
            return None;
        }
        let own = self.store.leader.is_some_and(|(w, _)| w == who);
        let stamp = self.store.apply(txn).ok()?;
        if term <= self.term {
            self.broken.push(format!("term {term} was given before"));
        }
        self.term = self.term.max(term);
        self.elections.0 += 1;
        self.elections.1 += u32::from(own);
        self.store.leader = Some((who, hold));
        Some(stamp)
    }

    /// A controller has heard that it leads: it reads all, and begins.
    fn begins(&mut self, who: usize, s: Standing, stamp: u64) {
        // old reports reach every controller just as a new leader begins
        for report in std::mem::take(&mut self.for_next) {
            for to in 0..3 {
                self.serial += 1;
                let (at, report) = (self.now + self.rng.u64(1..4) * STEP, report.clone());
                self.mail.insert((at, self.serial), Message::Report { to, report, number: NOBODY });
            }
        }
        let ttl = self.policy.ttl.as_millis() as Ms;
        let at = self.at(self.now);
        let mut c = Cluster::new(s.term, self.policy.clone(), self.teams.clone(), at);
        c.set_types(&[machine_type("t")]);
        c.zones_with_controller =
            (0..3).filter(|z| self.unmanned != Some(*z)).map(|z| Name::from(format!("z{z}"))).collect();
        let pages: Vec<_> = self
            .store
            .kv
            .iter()
            .filter(|(p, _)| p.starts_with(key::SHARD))
            .map(|(path, (data, stamp))| {
                let item = KeyValue { key: path.clone(), value: data.clone(), revision: *stamp };
                read_shard(path, &item).expect("own page")
            })
            .collect();
        let begun = started_jobs(pages.iter().map(|p| &p.1));
        for (spec, stamp) in self.jobs.values() {
            // what is over is known only where a page names it
            match (self.store.outcome(&spec.id), begun.contains(&spec.id)) {
                (None, true) if self.sabotage != Sabotage::ForgetsBegun => {
                    c.add_started_job(spec.clone(), *stamp, None, at)
                }
                (None, _) => c.add_job(self.held_or_not(spec), *stamp, None, at),
                (outcome, true) => c.add_job(spec.clone(), *stamp, outcome, at),
                _ => {}
            }
        }
        for (id, page, machines) in pages {
            c.add_shard(id, page, &machines, at);
        }
        c.apply_machine_list(&self.some_list(), at);
        // an earlier leader goes on believing in itself until its time is up
        self.controllers[who] = Some(Controller {
            until: s.sent + ttl,
            stamp,
            hold: s.hold,
            cluster: c,
            flying: None,
            life: s.life,
            wants: vec![],
        });
    }

    /// A job as a controller takes it in; without what it needs where that is
    /// left out on purpose.
    fn held_or_not(&self, spec: &Arc<JobSpec>) -> Arc<JobSpec> {
        match self.sabotage {
            Sabotage::HoldsNothing => Arc::new(JobSpec { needs: Vec::new(), ..(**spec).clone() }),
            _ => spec.clone(),
        }
    }

    /// A list of the cloud's, of now or of some seconds ago.
    pub(super) fn some_list(&mut self) -> Vec<ListedMachine> {
        let now: Vec<ListedMachine> = self.workers.iter().filter(|w| w.alive).map(listed).collect();
        match self.lists.len() {
            0 => now,
            n => self.lists[self.rng.usize(0..n)].clone(),
        }
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn controllers_step(&mut self) {
        if self.now.is_multiple_of(1000) {
            self.lists.push(self.workers.iter().filter(|w| w.alive).map(listed).collect());
            if self.lists.len() > 10 {
                self.lists.remove(0);
            }
        }
        self.elect();
        let ttl = self.policy.ttl.as_millis() as Ms;
        for i in 0..3 {
            let now = self.at(self.now);
            if self.now < self.frozen[i] {
                continue;
            }
            let Some(mut c) = self.controllers[i].take() else { continue };
            if let Some((_, gap)) = self.freezes.filter(|f| f.0 == i) {
                // from here on nothing leaves before it wakes
                self.freezes = None;
                self.frozen[i] = self.now + gap;
                if self.sabotage == Sabotage::OldAuthority {
                    c.until += gap;
                }
            } else if self.frozen[i] > 0 {
                self.frozen[i] = 0;
                c.cluster.resumed_at = now;
            }
            let believes = self.sabotage == Sabotage::OldAuthority && self.now < c.until;
            if self.now < self.deaf[i] && self.deaf[i] - self.now < 8_000 && self.now >= self.no_renewal[i] {
                // it has asked its siblings, and hands over
                self.store.leases.remove(&c.hold);
                continue;
            }
            let holds = self.store.leader == Some((i, c.hold)) && self.store.stamp(key::LEADER) == c.stamp;
            let reaches = self.served(i) && self.now >= self.no_renewal[i];
            if reaches && !holds && !believes {
                continue; // its lease is gone, and it hears of it
            }
            if reaches && holds && self.now.is_multiple_of(500) {
                self.store.leases.insert(c.hold, self.now + ttl);
                c.until = self.now + ttl;
            }
            let acts = self.now < c.until;
            if reaches {
                for n in c.cluster.dependency.outcomes_to_fetch(3, Duration::from_secs(1), now) {
                    if let Some(f) = self.store.outcome(&n) {
                        c.cluster.set_outcome(&n, f, now);
                    }
                }
            }
            if self.sabotage == Sabotage::EarlyRelease {
                let early = c.cluster.jobs.values().filter(|j| j.is_completing()).map(|j| j.spec.id.clone());
                for id in early.collect::<Vec<_>>() {
                    for h in c.cluster.dependency.apply_outcome(&id, JobOutcome::Done) {
                        c.cluster.release_blocked_job(h);
                    }
                }
            }
            if self.sabotage == Sabotage::ReapsUnderOldToken {
                c.cluster.machines.values_mut().for_each(|m| m.last_direct_fence = None);
            }
            if self.sabotage == Sabotage::NoCascade {
                for id in c.cluster.dependency.needing_cancelled().cloned().collect::<Vec<_>>() {
                    c.cluster.dependency.unblock(&id);
                }
            }
            if acts && self.now.is_multiple_of(500) {
                c.wants = c.cluster.run_placement_pass(now);
                c.cluster.collect_garbage(now);
                if self.now.is_multiple_of(2000) {
                    let list = self.some_list();
                    c.cluster.apply_machine_list(&list, now);
                    if self.sabotage == Sabotage::ListIsProof {
                        let has = |n: &Name| list.iter().any(|l| l.name == *n);
                        let gone: Vec<Name> = c.cluster.machines.keys().filter(|n| !has(n)).cloned().collect();
                        for n in gone {
                            c.cluster.release_all_assignments(&n, now);
                        }
                    }
                    let plan = c.cluster.plan_fleet(&c.wants, now);
                    if !plan.delete.is_empty() {
                        self.send(Message::Delete { names: plan.delete, from: i, life: c.life });
                    }
                }
                if self.sabotage == Sabotage::SilenceIsProof {
                    let quiet = |m: &&crate::cluster::Machine| {
                        m.last_heartbeat.is_some_and(|t| now.duration_since(t).as_secs() >= 5)
                    };
                    let quiet: Vec<Name> = c.cluster.machines.values().filter(quiet).map(|m| m.name.clone()).collect();
                    for n in quiet {
                        c.cluster.release_all_assignments(&n, now);
                    }
                }
                if self.sabotage == Sabotage::UnstoredStarts {
                    for p in c.cluster.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
                        p.stored = true;
                    }
                }
            }
            if acts {
                for call in c.cluster.take_direct_commands(usize::MAX) {
                    self.send(Message::Direct { from: i, life: c.life, call });
                }
            }
            if let Some((batch, ..)) = c.flying.take_if(|f| self.now - f.2 > 1500) {
                // no answer: it may be carried out yet
                c.cluster.restore_uncommitted(batch);
            }
            if c.flying.is_none() {
                if let Some(mut batch) = c.cluster.next_commit(c.stamp, &self.limits) {
                    if believes {
                        batch.txn.preconditions.retain(|g| g.key != key::LEADER && !g.key.starts_with(key::SHARD));
                    }
                    let (number, at) = (self.serial, self.now);
                    self.send(Message::Txn { from: i, life: c.life, number, txn: batch.txn.clone(), at });
                    c.flying = Some((batch, number, at));
                }
            }
            self.controllers[i] = Some(c);
        }
    }

    fn answers(&mut self, report: &Heartbeat, number: u64, answer: HeartbeatReply) {
        let Some(machine) = self.workers.iter().position(|w| w.name == report.machine) else { return };
        self.send(Message::Answer { machine, number, session: report.incarnation, answer });
    }

    pub(super) fn controller(&mut self, i: usize, life: u64) -> Option<&mut Controller> {
        self.controllers[i].as_mut().filter(|c| c.life == life)
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn deliver(&mut self, m: Message) {
        let now = self.at(self.now);
        if let Some(until) = m.receiver().map(|i| self.frozen[i]).filter(|t| self.now < *t) {
            // it waits in the socket, in order
            self.serial += 1;
            self.mail.insert((until, self.serial), m);
            return;
        }
        match m {
            Message::Elect { from, life, number, hold, term, txn } => {
                let outcome = self.carry_election(from, hold, term, &txn);
                // the answer may be lost
                let outcome = if self.rng.u32(0..10) == 0 { None } else { outcome };
                self.send(Message::Elected { to: from, life, number, outcome });
            }
            Message::Elected { to, life, number, outcome } => {
                let waits = |s: &mut Standing| s.life == life && s.number == number;
                let Some(s) = self.standing[to].take_if(waits) else { return };
                if let Some(stamp) = outcome {
                    self.begins(to, s, stamp);
                }
            }
            Message::Forwarded { by, term, to, message, report, number } => {
                self.takes_forwarded(by, term, to, message, report, number);
            }
            Message::Taken { by, term, report, whole } => match whole {
                true => self.forwarding[by].mark_accepted(report, term, now),
                false => self.forwarding[by].forget(&report.machine),
            },
            Message::Report { to, report, number } if self.forwards_from(to) => {
                self.forward(to, report, number);
            }
            Message::Report { to, mut report, number } => {
                let t = self.now;
                if number != NOBODY && self.for_next.len() < 40 && self.rng.u32(0..20) == 0 {
                    self.for_next.push(report.clone());
                }
                if t < self.deaf[to] {
                    return;
                }
                if self.sabotage == Sabotage::ReadingOrder {
                    report.sequence = t;
                }
                let whole = self.whole(to);
                let blind = self.sabotage == Sabotage::RenewsBlindly;
                if self.controllers[to].as_ref().is_some_and(|c| t >= c.until) && self.all_out(to) {
                    // an outage by the siblings' word: renewals without commands
                    if !blind && !may_renew(whole, self.told, &self.policy, now) {
                        return;
                    }
                    let over = &self.pictures[to].over;
                    let Some(c) = self.controllers[to].as_mut() else { return };
                    if c.cluster.apply_heartbeat(&report, true, now).is_none() {
                        return;
                    }
                    let ended =
                        |id: &Name| over.contains(id) || c.cluster.jobs.get(id).is_some_and(|j| j.outcome.is_some());
                    let answer = lease_renewal_reply(&report, c.cluster.fencing_token_for(&report.machine), ended);
                    self.answers(&report, number, answer);
                    return;
                }
                if !blind && !may_lead(whole, &self.policy, now) {
                    return;
                }
                let Some(c) = self.controllers[to].as_mut().filter(|c| t < c.until) else { return };
                if c.cluster.apply_heartbeat(&report, true, now).is_none() {
                    return;
                }
                if c.cluster.queue_changed {
                    c.wants = c.cluster.run_placement_pass(now);
                }
                let answer = c.cluster.reply_to_heartbeat(&report, now);
                self.answers(&report, number, answer);
            }
            Message::Answer { machine, number, session, answer } => {
                let w = &mut self.workers[machine];
                let Some((_, sent)) = w.flight.filter(|f| f.0 == number) else { return };
                if !w.alive
                    || self.now < w.hung_until.max(w.deaf_until)
                    || w.session != session
                    || answer.fencing_token < w.token
                {
                    return;
                }
                if self.now - sent > 4000 {
                    return;
                }
                w.flight = None;
                w.token = answer.fencing_token;
                w.renewed = w.renewed.max(sent);
                self.execute(machine, &answer.commands);
            }
            Message::Direct { from, life, call } => {
                let Some(i) = self.workers.iter().position(|w| w.name == call.machine) else { return };
                let held = self.workers[i].hung_until.max(self.cut[i % 3]).max(self.deaf[from]);
                if self.now < self.workers[i].deaf_until {
                    // lost, and given up after a while
                    self.serial += 1;
                    let lost = Message::DirectAnswer { to: from, life, call, report: None };
                    self.mail.insert((self.now + 1500, self.serial), lost);
                    return;
                }
                if self.workers[i].alive && self.now < held {
                    // carried out when the machine goes on, or its zone is back
                    self.serial += 1;
                    let at = held + STEP;
                    self.mail.insert((at, self.serial), Message::Direct { from, life, call });
                    return;
                }
                let mut report = None;
                if self.workers[i].alive {
                    let w = &mut self.workers[i];
                    if call.body.fencing_token >= w.token && call.body.incarnation == w.session {
                        w.token = call.body.fencing_token;
                        self.execute(i, &call.body.commands);
                    }
                    report = Some(self.workers[i].report());
                }
                self.send(Message::DirectAnswer { to: from, life, call, report });
            }
            Message::DirectAnswer { to, life, call, report } => {
                if let Some(c) = self.controller(to, life) {
                    // given up for good after a while (see `gives_up`)
                    let flying = c.cluster.machines.get(&call.machine).is_some_and(|m| m.command_in_flight);
                    let current = c
                        .cluster
                        .machines
                        .get(&call.machine)
                        .is_some_and(|m| m.in_doubt_token.is_none_or(|d| d == call.body.fencing_token));
                    if flying && current {
                        c.cluster.apply_direct_result(&call, report.as_ref(), now);
                    }
                }
            }
            Message::Txn { from, life, number, txn, at } => {
                let size = |w: &Write| match w {
                    Write::Set { data, .. } => serde_json::to_string(data).map_or(0, |s| s.len()),
                    Write::Delete { .. } => 0,
                };
                let large = txn.writes.iter().map(size).max() > Some(self.value_most);
                if large && at > self.lowered {
                    self.broken.push(format!("a value of more than {} bytes", self.value_most));
                }
                let carried = self.now >= self.outage && self.now >= self.refused[from] && !large;
                let outcome = carried.then(|| self.store.apply(&txn));
                // the answer may be lost
                let lost = self.rng.u32(0..20) == 0;
                let outcome = if lost { None } else { outcome };
                self.send(Message::TxnAnswer { to: from, life, number, outcome });
            }
            Message::TxnAnswer { to, life, number, outcome } => {
                let items = |s: &Store, k: &str| {
                    s.kv.get(k).map(|(data, stamp)| KeyValue { key: k.into(), value: data.clone(), revision: *stamp })
                };
                let mut found = Vec::new();
                if let Some(Err(keys)) = &outcome {
                    found = keys.iter().map(|k| (k.clone(), items(&self.store, k))).collect();
                }
                let Some(c) = self.controller(to, life) else { return };
                let Some((batch, ..)) = c.flying.take_if(|f| f.1 == number) else { return };
                match outcome {
                    Some(Ok(rev)) => {
                        for (id, outcome) in c.cluster.apply_commit(batch, rev, now) {
                            self.learns(to, &id, outcome, rev);
                        }
                    }
                    _ => {
                        c.cluster.restore_uncommitted(batch);
                        for (k, item) in found {
                            c.cluster.reconcile_key(&k, item.as_ref(), now);
                        }
                    }
                }
            }
            Message::Job { to, spec, stamp } => {
                let outcome = self.store.outcome(&spec.id);
                let spec = self.held_or_not(&spec);
                if let Some(c) = self.controllers[to].as_mut().filter(|_| outcome.is_none()) {
                    c.cluster.add_job(spec, stamp, None, now);
                }
            }
            Message::Delete { names, from, life } => {
                if self.now < self.no_cloud {
                    return;
                }
                for w in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    w.alive = false;
                    w.tasks.clear();
                }
                self.send(Message::Deleted { names, to: from, life });
                self.rent();
            }
            Message::Deleted { names, to, life } => {
                if let Some(c) = self.controller(to, life) {
                    c.cluster.apply_deletion(&names, now);
                }
            }
        }
    }

    /// Whether a report that comes to a controller goes on to the leader.
    fn forwards_from(&self, i: usize) -> bool {
        let leads = self.controllers[i].as_ref().is_some_and(|c| self.now < c.until);
        let up = self.now >= self.down_until[i] && self.now >= self.deaf[i];
        self.forwards && up && !leads && self.now >= self.apart[i]
    }

    /// Sends a report on to whoever leads by what is known there, which may be old.
    fn forward(&mut self, by: usize, report: Heartbeat, number: u64) {
        let believes = |c: &Option<Controller>| c.as_ref().is_some_and(|c| self.now < c.until);
        let leaders: Vec<usize> = (0..3).filter(|i| *i != by && believes(&self.controllers[*i])).collect();
        if leaders.is_empty() {
            return;
        }
        let to = leaders[self.rng.usize(0..leaders.len())];
        if self.now < self.apart[to] {
            return;
        }
        let Some(term) = self.controllers[to].as_ref().map(|c| c.cluster.term) else { return };
        let message = self.forwarding[by].message(&report, term);
        self.send(Message::Forwarded { by, term, to, message, report, number });
    }

    /// The leader takes a forwarded report, in full or as a sign of life.
    fn takes_forwarded(
        &mut self,
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        report: Heartbeat,
        number: u64,
    ) {
        let now = self.at(self.now);
        let whole = self.whole(to);
        let leads = may_lead(whole, &self.policy, now);
        let careless = self.sabotage == Sabotage::RepeatsAnything;
        let acts = |c: &&mut Controller| self.now < c.until && c.cluster.term == term;
        let Some(c) = self.controllers[to].as_mut().filter(acts).filter(|_| leads) else { return };
        let answer = match &message {
            ForwardedHeartbeat::Full => {
                if c.cluster.apply_heartbeat(&report, true, now).is_none() {
                    return;
                }
                if c.cluster.queue_changed {
                    c.wants = c.cluster.run_placement_pass(now);
                }
                Some(c.cluster.reply_to_heartbeat(&report, now))
            }
            // taken for news, however late it comes
            ForwardedHeartbeat::UnchangedHeartbeat(u) if careless => {
                let last = c.cluster.machines.get(&u.machine).map_or(0, |m| m.sequence);
                let news = Heartbeat { sequence: last + 1, ..report.clone() };
                c.cluster.apply_heartbeat(&news, true, now).map(|_| c.cluster.reply_to_heartbeat(&news, now))
            }
            ForwardedHeartbeat::UnchangedHeartbeat(u) => c.cluster.apply_unchanged(u, now),
        };
        let Some(answer) = answer else {
            return self.send(Message::Taken { by, term, report, whole: false });
        };
        self.repeated += u32::from(message != ForwardedHeartbeat::Full);
        self.answers(&report, number, answer);
        self.send(Message::Taken { by, term, report, whole: true });
    }

    /// Direct commands without an answer are given up after a while.
    pub(super) fn gives_up(&mut self) {
        let late: Vec<(usize, u64, DirectCommand)> = self
            .mail
            .iter()
            .filter_map(|((at, _), m)| match m {
                Message::Direct { from, life, call } | Message::DirectAnswer { to: from, life, call, .. }
                    if *at > self.now + 1500 =>
                {
                    Some((*from, *life, call.clone()))
                }
                _ => None,
            })
            .collect();
        let now = self.at(self.now);
        let forget = self.sabotage == Sabotage::NoDoubt;
        for (from, life, call) in late {
            if self.now < self.frozen[from] {
                continue; // it gives up when it wakes
            }
            if let Some(c) = self.controller(from, life) {
                let current = c.cluster.machines.get(&call.machine).is_some_and(|m| {
                    m.command_in_flight && m.in_doubt_token.is_none_or(|d| d == call.body.fencing_token)
                });
                if current {
                    c.cluster.apply_direct_result(&call, None, now);
                    if forget {
                        if let Some(m) = c.cluster.machines.get_mut(&call.machine) {
                            m.in_doubt_token = None;
                            let gone: Vec<Task> = m
                                .tasks
                                .iter()
                                .filter(|(_, p)| p.phase == crate::cluster::TaskPhase::Assigned)
                                .map(|(t, _)| t.clone())
                                .collect();
                            for t in gone {
                                c.cluster.release_assignment(&call.machine, &t, now);
                            }
                        }
                    }
                }
            }
        }
    }
}
