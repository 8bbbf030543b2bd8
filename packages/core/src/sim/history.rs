//! Three controllers that keep little of a long history, and users who ask
//! about all of it: the rules of answers, through eviction, reads of many
//! pages, watches that are too old, crashes and outages of the state service.
//! What a controller decides is the program's own; only the I/O is played.

use std::collections::{HashSet, VecDeque};

use super::*;
use crate::ledger::{Ended, Ledger, Standing, Sweep};
use crate::lookup::{Found, Lookup};
use coralnotch_wire::state::Event;

/// What is left out on purpose, to see that it is noticed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// What is not in memory was never accepted.
    EvictionForgets,
    /// An answer that is read late enters its job all the same.
    LateAnswers,
    /// The sweep is not told of ends that the watch shows meanwhile.
    BlindSweep,
    /// The watch begins where the sweep ended.
    LateWatch,
    /// "Not over" is said without asking the store.
    Unconfirmed,
    /// In an outage, nothing found is nothing there.
    OutageForgets,
}

/// Changes that the service keeps.
const KEPT: usize = 30;
/// Ended jobs that a controller keeps.
const MOST_ENDED: usize = 3;

#[derive(Default)]
struct Service {
    store: Store,
    changes: VecDeque<(u64, Event)>,
    forgotten: u64,
}

impl Service {
    fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let stamp = self.store.apply(txn)?;
        for w in &txn.writes {
            if let Write::Set { set, data, .. } = w {
                let e = Event { set: Some(set.clone()), delete: None, data: Some(data.clone()), stamp };
                self.changes.push_back((stamp, e));
            }
        }
        while self.changes.len() > KEPT {
            self.forgotten = self.changes.pop_front().map_or(self.forgotten, |c| c.0);
        }
        Ok(stamp)
    }

    fn page(&self, under: &str, since: &str, most: usize) -> (Vec<Item>, bool) {
        let after = |k: &&String| k.starts_with(under) && k.as_str() > since;
        let rows = self.store.kv.iter().filter(|(k, _)| after(k)).take(most + 1);
        let mut rows: Vec<Item> =
            rows.map(|(k, (data, stamp))| Item { path: k.clone(), data: data.clone(), stamp: *stamp }).collect();
        let truncated = rows.len() > most;
        rows.truncate(most);
        (rows, truncated)
    }

    fn job(&self, id: &str) -> Option<Item> {
        let path = format!("{}{id}", key::JOB);
        self.store.kv.get(&path).map(|(d, s)| Item { path: path.clone(), data: d.clone(), stamp: *s })
    }
}

/// One controller's knowledge of jobs.
struct Desk {
    ledger: Ledger,
    sweep: Option<Sweep>,
    /// Watched up to here; `None` before a sweep has begun.
    since: Option<u64>,
    synced: bool,
    /// Own transactions that were carried out, and whose answers are not read yet.
    unread: Vec<(Arc<Spec>, u64)>,
    /// A page that was read and is not taken in yet.
    held: Option<(&'static str, Vec<Item>, bool)>,
}

impl Desk {
    fn new() -> Desk {
        let ledger = Ledger::new(MOST_ENDED);
        Desk { ledger, sweep: None, since: None, synced: false, unread: Vec::new(), held: None }
    }
}

/// What a user was told last, the older the smaller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Accepted,
    Over,
}

struct History {
    rng: fastrand::Rng,
    service: Service,
    desks: Vec<Desk>,
    outage: bool,
    fault: Fault,
    submitted: HashSet<Name>,
    told: HashMap<Name, (Told, Option<Fate>)>,
    broken: Vec<String>,
    /// Answers from memory, by look-up, after a restart of a sweep.
    seen: [u32; 3],
}

impl History {
    fn new(seed: u64, fault: Fault) -> History {
        History {
            rng: fastrand::Rng::with_seed(seed),
            service: Service::default(),
            desks: (0..3).map(|_| Desk::new()).collect(),
            outage: false,
            fault,
            submitted: HashSet::new(),
            told: HashMap::new(),
            broken: Vec::new(),
            seen: [0; 3],
        }
    }

    fn id(&mut self) -> Name {
        format!("j-{}", self.rng.u32(0..120)).into()
    }

    /// Brings a controller's knowledge forward by one step.
    fn learn(&mut self, d: usize) {
        if self.outage {
            return;
        }
        let most = self.rng.usize(1..6);
        let desk = &mut self.desks[d];
        if desk.sweep.is_none() && !desk.synced {
            let epoch = self.service.store.epoch;
            desk.ledger.begins(epoch);
            (desk.since, desk.sweep) = (Some(epoch), Some(Sweep::new(HashSet::new())));
        }
        if let Some(s) = desk.sweep.as_mut() {
            if let Some((under, rows, truncated)) = desk.held.take() {
                s.page(under, rows, truncated);
                s.enter(&mut desk.ledger, |_| {});
            }
            match s.need() {
                Some(n) => {
                    let (rows, truncated) = self.service.page(n.under, &n.since, most);
                    desk.held = Some((n.under, rows, truncated));
                }
                None => {
                    (desk.sweep, desk.synced) = (None, true);
                    if self.fault == Fault::LateWatch {
                        desk.since = Some(self.service.store.epoch);
                    }
                }
            }
        }
    }

    fn watch(&mut self, d: usize) {
        let desk = &mut self.desks[d];
        let Some(since) = desk.since.filter(|_| !self.outage) else { return };
        if self.fault == Fault::LateWatch && desk.sweep.is_some() {
            return;
        }
        if since < self.service.forgotten {
            // 410: all is read again, also if this comes in the middle of a read
            self.seen[2] += u32::from(desk.sweep.is_some());
            (desk.sweep, desk.held, desk.synced, desk.since) = (None, None, false, None);
            return;
        }
        for (_, e) in self.service.changes.iter().filter(|(s, _)| *s > since) {
            let (Some(path), Some(data)) = (e.set.as_deref(), e.data.clone()) else { continue };
            if let Some(id) = path.strip_prefix(key::FATE) {
                if let (Some(s), true) = (desk.sweep.as_mut(), self.fault != Fault::BlindSweep) {
                    s.ended([id.into()].into_iter());
                }
                let f = read_value::<FateRecord>(path, data).expect("our own record");
                desk.ledger.ends(id, f.fate);
            } else if path.starts_with(key::JOB) {
                let spec = read_value::<Spec>(path, data).expect("our own record");
                desk.ledger.seen(Arc::new(spec), e.stamp);
            }
        }
        desk.since = Some(self.service.store.epoch);
        desk.ledger.begins(self.service.store.epoch);
    }

    fn read_answers(&mut self, d: usize) {
        let late = self.fault == Fault::LateAnswers;
        let desk = &mut self.desks[d];
        for (spec, stamp) in desk.unread.drain(..) {
            if late {
                desk.ledger.seen(spec, stamp);
            } else {
                desk.ledger.stored(spec, stamp);
            }
        }
    }

    fn submit(&mut self, d: usize) {
        let id = self.id();
        let known = self.desks[d].ledger.standing(&id) != Standing::Unknown;
        if self.outage || !self.desks[d].synced && !known {
            return;
        }
        self.submitted.insert(id.clone());
        if known {
            return self.ask(d, &id);
        }
        let spec = spec(&id, 1);
        let mut txn = Txn::default();
        let path = format!("{}{id}", key::JOB);
        txn.guard(path.clone(), 0);
        txn.writes.push(Write::set(path, &*spec));
        match self.service.apply(&txn) {
            Ok(stamp) => {
                self.desks[d].unread.push((spec, stamp));
                self.tell(&id, Told::Accepted, None);
            }
            Err(_) => self.answer(d, &id, Some(Found::Open)),
        }
    }

    fn end(&mut self, d: usize) {
        let id = self.id();
        let path = format!("{}{id}", key::FATE);
        if self.outage || self.service.job(&id).is_none() || self.service.store.fate(&id).is_some() {
            return;
        }
        let fate = if self.rng.bool() { Fate::Done } else { Fate::Cancelled };
        let mut txn = Txn::default();
        txn.guard(path.clone(), 0);
        txn.writes.push(Write::set(path, &FateRecord { fate }));
        self.service.apply(&txn).expect("it has no end");
        // whoever wrote it knows at once, or by the watch alone
        if self.rng.bool() {
            self.desks[d].ledger.ends(&id, fate);
        }
    }

    fn tell(&mut self, id: &Name, told: Told, fate: Option<Fate>) {
        let before = self.told.get(id).copied();
        if before.is_some_and(|b| b.0 > told || b.1.is_some_and(|f| fate != Some(f))) {
            self.broken.push(format!("went_back: {id} was {before:?}, now {told:?} {fate:?}"));
        }
        if fate.is_some() && self.service.store.fate(id) != fate {
            self.broken.push(format!("not_done: {id} is called {fate:?}"));
        }
        self.told.insert(id.clone(), (told, fate));
    }

    /// A user asks a controller about a job.
    fn ask(&mut self, d: usize, id: &Name) {
        let found = match self.desks[d].ledger.standing(id) {
            Standing::Open(_) => Some(Found::Open),
            Standing::Ended(e) => {
                self.seen[0] += 1;
                Some(Found::Over(e.fate))
            }
            Standing::Unknown if self.fault == Fault::EvictionForgets => Some(Found::Never),
            Standing::Unknown if self.outage => (self.fault == Fault::OutageForgets).then_some(Found::Never),
            Standing::Unknown => self.look_up(d, id),
        };
        self.answer(d, id, found);
    }

    /// The look-up of an id, as the store answers it: a conflict may name any
    /// of the keys that are in its way.
    fn look_up(&mut self, d: usize, id: &Name) -> Option<Found> {
        self.seen[1] += 1;
        let other = self.id();
        let mut l = Lookup::new([id, &other].into_iter());
        while let Some(txn) = l.txn() {
            match self.service.store.apply(&txn) {
                Ok(_) => l.as_guarded(),
                Err(mut keys) => {
                    self.rng.shuffle(&mut keys);
                    keys.truncate(self.rng.usize(1..4));
                    assert!(l.conflict(&keys), "a look-up goes round in circles");
                }
            }
            // a job may end between the questions
            if self.rng.u32(0..4) == 0 {
                self.end(d);
            }
        }
        if l.ended().contains(id) {
            let item = self.service.job(id).expect("what has an end has a record");
            let fate = self.service.store.fate(id).expect("it has an end");
            let spec = Arc::new(read_value::<Spec>(&item.path, item.data).expect("our own record"));
            self.desks[d].ledger.remember(Ended { spec, stamp: item.stamp, fate });
            return Some(Found::Over(fate));
        }
        l.found(id)
    }

    fn answer(&mut self, _: usize, id: &Name, found: Option<Found>) {
        match found {
            None => {} // refused for now
            Some(Found::Never) if !self.told.contains_key(id) => {}
            Some(Found::Never) => self.broken.push(format!("forgotten: {id}")),
            Some(found) => {
                if !self.submitted.contains(id) {
                    self.broken.push(format!("invented: {id}"));
                }
                let fate = match found {
                    Found::Over(f) => Some(f),
                    Found::Confirmed => None,
                    _ if self.fault == Fault::Unconfirmed => None,
                    _ if self.outage => return,
                    _ => self.service.store.fate(id),
                };
                self.tell(id, if fate.is_some() { Told::Over } else { Told::Accepted }, fate);
            }
        }
    }

    fn run(mut self, steps: u32) -> History {
        for _ in 0..steps {
            let d = self.rng.usize(0..3);
            match self.rng.u32(0..100) {
                0..=29 => self.learn(d),
                30..=44 => self.watch(d),
                45..=52 => self.read_answers(d),
                53..=64 => self.submit(d),
                65..=74 => self.end(d),
                75..=97 => {
                    let id = self.id();
                    self.ask(d, &id);
                }
                98 => self.outage = !self.outage,
                _ => {
                    if self.rng.u32(0..4) == 0 {
                        self.desks[d] = Desk::new();
                    }
                }
            }
            if self.rng.u32(0..25) == 0 {
                // a wave: watches fall behind by more than the service keeps
                for _ in 0..KEPT + 5 {
                    self.submit(d);
                    self.end(d);
                }
            }
        }
        // then all is calm: what each controller knows as unfinished is just
        // what the store has, and nothing stays for ever
        self.outage = false;
        for d in 0..3 {
            for _ in 0..400 {
                self.read_answers(d);
                self.learn(d);
                self.watch(d);
            }
            let jobs = self.service.store.kv.keys().filter_map(|k| k.strip_prefix(key::JOB));
            let open: HashSet<Name> = jobs.filter(|id| self.service.store.fate(id).is_none()).map(Name::from).collect();
            let known: HashSet<Name> = self.desks[d].ledger.open().map(|o| o.spec.id.clone()).collect();
            if known != open {
                self.broken.push(format!("controller {d} takes {known:?} for unfinished, the store has {open:?}"));
            }
            assert!(self.desks[d].ledger.ended() <= MOST_ENDED, "ended jobs are bounded");
        }
        self
    }
}

#[test]
fn answers_stay_final_though_ended_jobs_leave_memory() {
    let mut seen = [0; 3];
    for seed in 0..60 {
        let h = History::new(seed, Fault::None).run(3000);
        assert!(h.broken.is_empty(), "seed {seed}: {:?}", h.broken);
        for (all, one) in seen.iter_mut().zip(h.seen) {
            *all += one;
        }
    }
    // there was something to check: answers from memory, from the store, and
    // watches that were too old in the middle of a read
    assert!(seen.iter().all(|n| *n > 100), "{seen:?}");
}

#[test]
fn the_checker_sees_what_answers_rest_on() {
    use Fault::*;
    for fault in [EvictionForgets, LateAnswers, BlindSweep, LateWatch, Unconfirmed, OutageForgets] {
        let seen = (0..60).any(|seed| !History::new(seed, fault).run(3000).broken.is_empty());
        assert!(seen, "{fault:?} went unnoticed");
    }
}
