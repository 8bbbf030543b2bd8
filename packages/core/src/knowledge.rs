//! What a controller knows of withdrawals, up to when that is whole, and how long
//! it may renew workers' leases on it.  It reads nothing and asks nobody; it must
//! not know how the store or a sibling is reached.
//!
//! A task runs on for as long as somebody renews its machine's lease.  Whoever
//! renews must therefore know of every withdrawal that a user was told of, or stop
//! early enough that the last lease is over within `cancel` of the first that it
//! may have missed.  Knowledge has an age: it is whole as of the hour at which the
//! request that showed it was *sent*, for that is all that its answer proves.
//!
//! Two ways make it whole.  The store's watch, when it answers.  And the word of
//! the siblings: a withdrawal is told to a user by a controller only, so if every
//! controller of the settings has accounted for all withdrawals that it knows, none
//! told before the first of these accounts was asked for is missing.  An account
//! counts without a gap only: from a revision up to which the asker knows them all.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;

use crate::model::Name;
use crate::policy::Policy;

/// For how long leases may be renewed on a picture of ends, from when it was whole:
/// what is withdrawn from then on has to be gone within `cancel` by the users'
/// clocks, and a lease that is renewed last lasts `lease` by the worker's, which may
/// run slow; a worker notices the end of its lease within a `renew`.
///
/// `told`: every controller keeps to [`Telling`].  A user is told then no sooner than
/// `cancel` after the end was stored, if a controller that renews may not know it.
pub fn renews_for(p: &Policy, told: bool) -> Duration {
    let needs = p.lease.mul_f64(1.0 + 2.0 * p.drift) + p.renew;
    let from_telling = p.cancel.mul_f64(1.0 - 2.0 * p.drift).saturating_sub(needs);
    match told && !from_telling.is_zero() {
        true => from_telling + p.cancel.mul_f64(1.0 - 2.0 * p.drift),
        false => from_telling,
    }
}

/// The same for a leader whose lease is served: its stops reach the workers, and the
/// watch answers it within two `ttl`.  Where a worker's lease outlasts `cancel` no
/// bound helps, and a leader has to be able to lead.
pub fn leads_for(p: &Policy) -> Duration {
    renews_for(p, false).max(p.ttl * 3)
}

/// Whether a picture that is whole since then is young enough to renew leases on,
/// nobody else's word being had.
pub fn may_renew(whole: Option<Instant>, told: bool, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < renews_for(p, told))
}

/// Whether it is young enough for a leader whose lease is served.
pub fn may_lead(whole: Option<Instant>, p: &Policy, now: Instant) -> bool {
    whole.is_some_and(|t| now.saturating_duration_since(t) < leads_for(p))
}

/// Most withdrawals in one answer; the rest follows with the next.
const MOST_TOLD: usize = 512;

/// A withdrawal that is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Withdrawal {
    /// Revision of its end.
    pub stamp: u64,
    /// Job.
    pub id: Name,
}

/// What a controller tells a sibling: a part of the withdrawals that it knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The life of the controller that tells it.
    pub life: u64,
    /// In the order in which it learned of them.
    pub known: Vec<Withdrawal>,
    /// Where the next answer begins.
    pub next: u64,
    /// There is no more.
    pub whole: bool,
}

/// The withdrawals that a controller knows: by the watch, by what it stored and by
/// what it read.  It keeps the last of them; what it let go raises the floor.
#[derive(Debug)]
pub struct Withdrawals {
    life: u64,
    /// All with a higher stamp that were shown or told here are in the list;
    /// `None` before this life has begun to watch.
    floor: Option<u64>,
    /// Number of the first in the list.
    first: u64,
    list: VecDeque<Withdrawal>,
    /// When each was learned, and its stamp.
    listed: HashMap<Name, (Instant, u64)>,
    /// When this life began to watch.
    began: Option<Instant>,
    most: usize,
}

impl Withdrawals {
    /// None, in a new life that keeps so many.
    pub fn new(life: u64, most: usize) -> Withdrawals {
        let (list, listed) = Default::default();
        Withdrawals { life, floor: None, first: 0, list, listed, began: None, most: most.max(1) }
    }

    /// A watch begins at this revision: what came before it and after the last one's
    /// end was not shown here.
    pub fn begins(&mut self, revision: u64, now: Instant) {
        self.began.get_or_insert(now);
        self.floor = self.floor.max(Some(revision));
    }

    /// One that is stored, however it became known.
    pub fn add(&mut self, stamp: u64, id: &str, now: Instant) {
        if self.listed.contains_key(id) {
            return;
        }
        self.listed.insert(id.into(), (now, stamp));
        self.list.push_back(Withdrawal { stamp, id: id.into() });
        if self.list.len() > self.most {
            if let Some(w) = self.list.pop_front() {
                self.listed.remove(&w.id);
                self.first += 1;
                self.floor = self.floor.map(|f| f.max(w.stamp));
            }
        }
    }

    /// Whether a job is known to be withdrawn.
    pub fn knows(&self, id: &str) -> bool {
        self.listed.contains_key(id)
    }

    /// When an end was learned, or if it is not in the list any more, or came before
    /// it, when this life began; with its stamp.
    fn learned(&self, id: &str) -> Option<(Instant, u64)> {
        self.listed.get(id).copied().or(self.began.map(|t| (t, 0)))
    }

    /// How long an end has been known, at least.
    fn age(&self, id: &str, now: Instant) -> Option<Duration> {
        self.learned(id).map(|(t, _)| now.saturating_duration_since(t))
    }

    /// For a sibling that knows all up to a revision and has had the first `next` of
    /// the list of a life.  `None`: a gap, nothing can be accounted for.
    pub fn account(&self, since: u64, life: u64, next: u64) -> Option<Account> {
        self.floor.filter(|f| *f <= since)?;
        let had = if life == self.life { next.saturating_sub(self.first) as usize } else { 0 };
        let rest = self.list.iter().skip(had);
        let end = self.list.len().min(had.saturating_add(MOST_TOLD));
        let known = rest.take(MOST_TOLD).filter(|w| w.stamp > since).cloned().collect();
        let next = self.first + end as u64;
        Some(Account { life: self.life, known, next, whole: end == self.list.len() })
    }
}

/// When a user may be told that a job is cancelled: when no lease can be renewed for
/// its tasks by a controller that does not know it, for longer than is left.  That is
/// so once every sibling has taken the word of it; or the leader finds nothing of the
/// job on any machine, and nothing starts any more; or `cancel` after its end was
/// stored, for by then whoever does not know it has a picture older than that.
///
/// Until then the end stands, and is carried out, but nobody is told: the user, who
/// is refused for now, asks again.
#[derive(Debug)]
pub struct Telling {
    siblings: usize,
    open: BTreeMap<Name, BTreeSet<usize>>,
    settled: LruCache<Name, ()>,
}

impl Telling {
    /// Nothing is to be told; as many siblings, and so many settled ones kept.
    pub fn new(siblings: usize, most: usize) -> Telling {
        let most = NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN);
        Telling { siblings, open: BTreeMap::new(), settled: LruCache::new(most) }
    }

    /// Whether a user may be told; if not, the siblings are to hear of it.
    pub fn may_tell(&mut self, id: &Name, known: &Withdrawals, p: &Policy, now: Instant) -> bool {
        if self.siblings == 0 || self.settled.contains(id) {
            return true;
        }
        if known.age(id, now).is_some_and(|t| t >= p.cancel) {
            self.open.remove(id);
            return true;
        }
        self.open.entry(id.clone()).or_default();
        false
    }

    /// What a sibling is to be told, and whether some of it is new to it.
    pub fn for_sibling(&mut self, n: usize, known: &Withdrawals, p: &Policy, now: Instant) -> (Vec<Withdrawal>, bool) {
        // nobody asks any more
        self.open.retain(|id, _| known.age(id, now).is_some_and(|t| t < p.cancel));
        let new = self.open.values().any(|by| !by.contains(&n));
        let of = |id: &Name| Withdrawal { stamp: known.learned(id).map_or(0, |l| l.1), id: id.clone() };
        (self.open.keys().take(MOST_TOLD).map(of).collect(), new)
    }

    /// A sibling has taken the word of these.
    pub fn taken(&mut self, n: usize, told: &[Withdrawal]) {
        for w in told {
            let Some(by) = self.open.get_mut(&w.id) else { continue };
            by.insert(n);
            if by.len() >= self.siblings {
                self.clear(&w.id);
            }
        }
    }

    /// The leader has found nothing of a job on any machine.
    pub fn clear(&mut self, id: &Name) {
        self.open.remove(id);
        self.settled.put(id.clone(), ());
    }
}

/// What a sibling has told.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    life: u64,
    next: u64,
    /// The last account to its end was asked for then.
    at: Option<Instant>,
}

/// Since when a controller's picture of withdrawals is whole.
#[derive(Debug, Default)]
pub struct Knowledge {
    shown: Option<Instant>,
    told: HashMap<String, Told>,
}

impl Knowledge {
    /// The watch has answered a request that was sent then.
    pub fn shown(&mut self, sent: Instant) {
        self.shown = self.shown.max(Some(sent));
    }

    /// What to ask a sibling for: the rest of which life's list.
    pub fn asks(&self, sibling: &str) -> (u64, u64) {
        self.told.get(sibling).map_or((0, 0), |t| (t.life, t.next))
    }

    /// A sibling has answered a request that was sent then; what it told is known
    /// here by now.
    pub fn told(&mut self, sibling: &str, sent: Instant, a: &Account) {
        let t = self.told.entry(sibling.to_owned()).or_default();
        (t.life, t.next) = (a.life, a.next);
        if a.whole {
            t.at = t.at.max(Some(sent));
        }
    }

    /// Since when no withdrawal can be missing that a user was told of before:
    /// by the watch, or by the word of each of these, which are all siblings.
    pub fn whole<'a>(&self, siblings: impl IntoIterator<Item = &'a str>) -> Option<Instant> {
        let mut of = siblings.into_iter().map(|s| self.told.get(s).and_then(|t| t.at)).peekable();
        let word = if of.peek().is_some() { of.min().flatten() } else { None };
        self.shown.max(word)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Config;
    use coralnotch_policy::example::SETTINGS;
    use proptest::prelude::*;
    use std::collections::HashSet;

    /// The last lease is over in time, whatever the clocks do within their drift.
    #[test]
    fn the_last_lease_ends_within_cancel() {
        let with = |cancel: f64, lease: f64| {
            let text = SETTINGS.replace("cancel_s = 60.0", &format!("cancel_s = {cancel:?}"));
            let text = text.replace("lease_s = 30.0", &format!("lease_s = {lease:?}"));
            Policy::new(&Config::parse("test", &text).expect("settings")).expect("the default policy")
        };
        for (cancel, lease) in [(60.0, 30.0), (61.0, 36.0), (31.0, 30.0), (20.0, 30.0), (600.0, 12.0)] {
            let p = with(cancel, lease);
            let last = renews_for(&p, false).as_secs_f64() * (1.0 + p.drift) + lease * (1.0 + p.drift);
            assert!(last < cancel || renews_for(&p, false).is_zero(), "{cancel} {lease}");
            // and no more is given away than clocks and a renewal take
            assert!(last > cancel - p.renew.as_secs_f64() * 2.0 || renews_for(&p, false).is_zero(), "{cancel} {lease}");
            assert!(leads_for(&p) >= p.ttl * 3);
        }
    }

    /// A controller of the generated world: its list, its picture, and what a user
    /// was told by it in any life, and when.
    struct One {
        list: Withdrawals,
        known: HashSet<Name>,
        /// Revision of its watch; `None` before its first.
        watch: Option<u64>,
        knowledge: Knowledge,
    }

    /// What happens: somebody is refused or served, a user withdraws at one, a
    /// watch answers one, one asks another, one ends and is back.
    #[derive(Debug, Clone)]
    enum Step {
        Served(usize, bool),
        Withdraw(usize),
        /// An end that nobody hears the answer of.
        Doubt,
        Read(usize),
        Watch(usize),
        Ask(usize, usize),
        End(usize),
    }

    fn step() -> impl Strategy<Value = Step> {
        let who = 0usize..3;
        prop_oneof![
            2 => (who.clone(), any::<bool>()).prop_map(|(w, s)| Step::Served(w, s)),
            4 => who.clone().prop_map(Step::Withdraw),
            1 => Just(Step::Doubt),
            2 => who.clone().prop_map(Step::Read),
            4 => who.clone().prop_map(Step::Watch),
            8 => (who.clone(), who.clone()).prop_map(|(a, b)| Step::Ask(a, b)),
            1 => who.prop_map(Step::End),
        ]
    }

    /// Left out on purpose, to see that the test is not blind.
    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Without {
        Nothing,
        /// An account from a life that began later counts as well.
        Floor,
        /// Most of the siblings will do.
        All,
        /// What was read or stored here is no part of the account.
        Own,
        /// An account is as new as its answer.
        Sending,
    }

    /// Runs the steps, one a second; whether a withdrawal that a user was told of
    /// before a picture was whole was missing from it.
    fn misses(steps: &[Step], most: usize, without: Without) -> bool {
        const NAMES: [&str; 3] = ["a", "b", "c"];
        let t0 = Instant::now();
        let mut life = 0;
        let mut born = |most| {
            life += 1;
            let mut list = Withdrawals::new(life, most);
            if without == Without::Floor {
                list.begins(0, t0);
            }
            One { list, known: HashSet::new(), watch: None, knowledge: Knowledge::default() }
        };
        let mut all: Vec<One> = (0..3).map(|_| born(most)).collect();
        let mut served = [true; 3];
        // the store's ends by revision, and when users were told of them first
        let mut ends: Vec<Name> = Vec::new();
        let mut told: HashMap<Name, Instant> = HashMap::new();
        for (n, s) in steps.iter().enumerate() {
            let now = t0 + Duration::from_secs(n as u64 + 1);
            match *s {
                Step::Served(w, s) => served[w] = s,
                Step::Doubt => ends.push(format!("j-{n}").into()),
                Step::Withdraw(w) if served[w] => {
                    let id: Name = format!("j-{n}").into();
                    ends.push(id.clone());
                    told.insert(id.clone(), now);
                    if without != Without::Own {
                        all[w].list.add(ends.len() as u64, &id, now);
                    }
                    all[w].known.insert(id);
                }
                Step::Read(w) if served[w] && !ends.is_empty() => {
                    let at = ends.len() - 1;
                    let id = ends[at].clone();
                    told.entry(id.clone()).or_insert(now);
                    if without != Without::Own {
                        all[w].list.add(at as u64 + 1, &id, now);
                    }
                    all[w].known.insert(id);
                }
                Step::Watch(w) if served[w] => {
                    let o = &mut all[w];
                    let since = match o.watch {
                        Some(e) => e as usize,
                        None => {
                            // the first read: all ends so far, none of them listed
                            o.list.begins(ends.len() as u64, now);
                            o.known.extend(ends.iter().cloned());
                            ends.len()
                        }
                    };
                    for (at, id) in ends.iter().enumerate().skip(since) {
                        o.list.add(at as u64 + 1, id, now);
                        o.known.insert(id.clone());
                    }
                    o.watch = Some(ends.len() as u64);
                    o.knowledge.shown(now);
                }
                Step::Ask(a, b) if a != b => {
                    let Some(since) = all[a].watch else { continue };
                    let (life, next) = all[a].knowledge.asks(NAMES[b]);
                    let Some(account) = all[b].list.account(since, life, next) else { continue };
                    for w in &account.known {
                        all[a].list.add(w.stamp, &w.id, now);
                        all[a].known.insert(w.id.clone());
                    }
                    let late = Duration::from_secs(2 * u64::from(without == Without::Sending));
                    all[a].knowledge.told(NAMES[b], now + late, &account);
                }
                Step::End(w) => all[w] = born(most),
                _ => {}
            }
            for (w, o) in all.iter().enumerate() {
                let others = NAMES.iter().enumerate().filter(|(n, _)| *n != w).map(|(_, n)| *n);
                let whole = match without {
                    Without::All => others.filter_map(|o2| o.knowledge.told.get(o2)?.at).max().max(o.knowledge.shown),
                    _ => o.knowledge.whole(others),
                };
                let missing = |(id, t): (&Name, &Instant)| whole.is_some_and(|w| *t < w) && !o.known.contains(id);
                if o.watch.is_some() && told.iter().any(missing) {
                    return true;
                }
            }
        }
        false
    }

    proptest! {
        /// No withdrawal that a user was told of before a picture was whole is
        /// missing from it, through refusals, ends, doubts and lists that overflow.
        #[test]
        fn a_whole_picture_misses_nothing(steps in prop::collection::vec(step(), 1..90), most in 1usize..9) {
            prop_assert!(!misses(&steps, most, Without::Nothing));
        }
    }

    /// Each part of the argument left out is noticed.
    #[test]
    fn what_makes_it_whole_is_needed() {
        use proptest::strategy::ValueTree;
        use proptest::test_runner::TestRunner;
        for without in [Without::Floor, Without::All, Without::Own, Without::Sending] {
            let mut runner = TestRunner::deterministic();
            let days = prop::collection::vec(step(), 60..90);
            let seen = (0..2000).any(|_| {
                let steps = days.new_tree(&mut runner).expect("steps").current();
                misses(&steps, 4, without)
            });
            assert!(seen, "{without:?} went unnoticed");
        }
    }

    /// An account longer than an answer comes in parts, and only its end counts.
    #[test]
    fn an_account_comes_in_parts() {
        let t0 = Instant::now();
        let mut list = Withdrawals::new(7, 10_000);
        list.begins(10, t0);
        for n in 0..1300u64 {
            list.add(11 + n, &format!("j-{n}"), t0);
        }
        assert!(list.account(9, 0, 0).is_none(), "a gap");
        let mut k = Knowledge::default();
        let mut had = 0;
        for part in 0..3 {
            let (life, next) = k.asks("b");
            let a = list.account(10, life, next).expect("no gap");
            had += a.known.len();
            k.told("b", t0, &a);
            assert_eq!(k.whole(["b"]).is_some(), part == 2);
        }
        assert_eq!(had, 1300);
        assert!(k.whole(["b", "c"]).is_none(), "one sibling has not accounted");
        let nobody: [&str; 0] = [];
        assert!(Knowledge::default().whole(nobody).is_none(), "nobody's word is no word");
    }

    /// A user is told when all siblings know, when the leader finds nothing left, or
    /// when whoever does not know has stopped in time; never before.
    #[test]
    fn a_user_is_told_when_nobody_can_renew_unknowing() {
        let p = Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy");
        let t0 = Instant::now();
        let s = |n: u64| t0 + Duration::from_secs(n);
        let mut known = Withdrawals::new(1, 100);
        known.begins(5, s(0));
        let names: Vec<Name> = ["j-1", "j-2", "j-3"].map(Name::from).into();
        names.iter().for_each(|n| known.add(9, n, s(100)));
        let mut t = Telling::new(2, 10);
        for n in &names {
            assert!(!t.may_tell(n, &known, &p, s(100)));
        }
        let (told, new) = t.for_sibling(0, &known, &p, s(100));
        assert!(new && told.len() == 3 && told[0].stamp == 9);
        t.taken(0, &told);
        assert!(!t.for_sibling(0, &known, &p, s(101)).1, "nothing new to it");
        assert!(!t.may_tell(&names[0], &known, &p, s(101)), "one of two knows");
        t.taken(1, &told[..1]);
        assert!(t.may_tell(&names[0], &known, &p, s(101)));
        t.clear(&names[1]);
        assert!(t.may_tell(&names[1], &known, &p, s(101)));
        let end = s(100) + p.cancel;
        assert!(!t.may_tell(&names[2], &known, &p, end - Duration::from_millis(1)));
        assert!(t.may_tell(&names[2], &known, &p, end));
        // who renews by that has stopped in time: its picture is older than the end
        let last = s(100) + renews_for(&p, true);
        assert!(last + p.lease <= end + p.cancel);
        // an end from before this life is as old as this life, at least
        assert!(!t.may_tell(&"j-0".into(), &known, &p, s(59)));
        assert!(t.may_tell(&"j-0".into(), &known, &p, s(60)));
        assert!(Telling::new(0, 1).may_tell(&"j-9".into(), &known, &p, s(0)), "one alone");
    }
}
