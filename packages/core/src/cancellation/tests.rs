use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

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
        let last = renewal_window(&p, false).as_secs_f64() * (1.0 + p.drift) + lease * (1.0 + p.drift);
        assert!(last < cancel || renewal_window(&p, false).is_zero(), "{cancel} {lease}");
        // and no more is given away than clocks and a renewal take
        assert!(last > cancel - p.renew.as_secs_f64() * 2.0 || renewal_window(&p, false).is_zero(), "{cancel} {lease}");
        assert!(leadership_window(&p) >= p.ttl * 3);
    }
}

/// A controller of the generated world: its list, its picture, and what a user
/// was told by it in any life, and when.
struct One {
    list: CancellationLog,
    known: HashSet<Name>,
    /// Revision of its watch; `None` before its first.
    watch: Option<u64>,
    knowledge: CancellationView,
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
        let mut list = CancellationLog::new(life, most);
        if without == Without::Floor {
            list.begin_watch(0, t0);
        }
        One { list, known: HashSet::new(), watch: None, knowledge: CancellationView::default() }
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
                    all[w].list.record(ends.len() as u64, &id, now);
                }
                all[w].known.insert(id);
            }
            Step::Read(w) if served[w] && !ends.is_empty() => {
                let at = ends.len() - 1;
                let id = ends[at].clone();
                told.entry(id.clone()).or_insert(now);
                if without != Without::Own {
                    all[w].list.record(at as u64 + 1, &id, now);
                }
                all[w].known.insert(id);
            }
            Step::Watch(w) if served[w] => {
                let o = &mut all[w];
                let since = match o.watch {
                    Some(e) => e as usize,
                    None => {
                        // the first read: all ends so far, none of them listed
                        o.list.begin_watch(ends.len() as u64, now);
                        o.known.extend(ends.iter().cloned());
                        ends.len()
                    }
                };
                for (at, id) in ends.iter().enumerate().skip(since) {
                    o.list.record(at as u64 + 1, id, now);
                    o.known.insert(id.clone());
                }
                o.watch = Some(ends.len() as u64);
                o.knowledge.watch_answered(now);
            }
            Step::Ask(a, b) if a != b => {
                let Some(since) = all[a].watch else { continue };
                let (life, next) = all[a].knowledge.next_request(NAMES[b]);
                let Some(account) = all[b].list.batch_since(since, life, next) else { continue };
                for w in &account.cancellations {
                    all[a].list.record(w.revision, &w.id, now);
                    all[a].known.insert(w.id.clone());
                }
                let late = Duration::from_secs(2 * u64::from(without == Without::Sending));
                all[a].knowledge.peer_answered(NAMES[b], now + late, &account);
            }
            Step::End(w) => all[w] = born(most),
            _ => {}
        }
        for (w, o) in all.iter().enumerate() {
            let others = NAMES.iter().enumerate().filter(|(n, _)| *n != w).map(|(_, n)| *n);
            let whole = match without {
                Without::All => others.filter_map(|o2| o.knowledge.told.get(o2)?.at).max().max(o.knowledge.shown),
                _ => o.knowledge.complete_as_of(others),
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
    let mut list = CancellationLog::new(7, 10_000);
    list.begin_watch(10, t0);
    for n in 0..1300u64 {
        list.record(11 + n, &format!("j-{n}"), t0);
    }
    assert!(list.batch_since(9, 0, 0).is_none(), "a gap");
    let mut k = CancellationView::default();
    let mut had = 0;
    for part in 0..3 {
        let (life, next) = k.next_request("b");
        let a = list.batch_since(10, life, next).expect("no gap");
        had += a.cancellations.len();
        k.peer_answered("b", t0, &a);
        assert_eq!(k.complete_as_of(["b"]).is_some(), part == 2);
    }
    assert_eq!(had, 1300);
    assert!(k.complete_as_of(["b", "c"]).is_none(), "one sibling has not accounted");
    let nobody: [&str; 0] = [];
    assert!(CancellationView::default().complete_as_of(nobody).is_none(), "nobody's word is no word");
}

/// A user is told when all siblings know, when the leader finds nothing left, or
/// when whoever does not know has stopped in time; never before.
#[test]
fn a_user_is_told_when_nobody_can_renew_unknowing() {
    let p = Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy");
    let t0 = Instant::now();
    let s = |n: u64| t0 + Duration::from_secs(n);
    let mut known = CancellationLog::new(1, 100);
    known.begin_watch(5, s(0));
    let names: Vec<Name> = ["j-1", "j-2", "j-3"].map(Name::from).into();
    names.iter().for_each(|n| known.record(9, n, s(100)));
    let mut t = CancellationNotices::new(2, 10);
    for n in &names {
        assert!(!t.may_confirm(n, &known, &p, s(100)));
    }
    let (told, new) = t.for_peer(0, &known, &p, s(100));
    assert!(new && told.len() == 3 && told[0].revision == 9);
    t.mark_acknowledged(0, &told);
    assert!(!t.for_peer(0, &known, &p, s(101)).1, "nothing new to it");
    assert!(!t.may_confirm(&names[0], &known, &p, s(101)), "one of two knows");
    t.mark_acknowledged(1, &told[..1]);
    assert!(t.may_confirm(&names[0], &known, &p, s(101)));
    t.settle(&names[1]);
    assert!(t.may_confirm(&names[1], &known, &p, s(101)));
    let end = s(100) + p.cancel;
    assert!(!t.may_confirm(&names[2], &known, &p, end - Duration::from_millis(1)));
    assert!(t.may_confirm(&names[2], &known, &p, end));
    // who renews by that has stopped in time: its picture is older than the end
    let last = s(100) + renewal_window(&p, true);
    assert!(last + p.lease <= end + p.cancel);
    // an end from before this life is as old as this life, at least
    assert!(!t.may_confirm(&"j-0".into(), &known, &p, s(59)));
    assert!(t.may_confirm(&"j-0".into(), &known, &p, s(60)));
    assert!(CancellationNotices::new(0, 1).may_confirm(&"j-9".into(), &known, &p, s(0)), "one alone");
}

/// Guards against a burst: one-task jobs, four a second, a quarter of them cancelled.  An
/// id that left the list is as old as the newest that left, not as this life; its user
/// was told at once, with nobody asked.
#[test]
fn what_left_the_list_is_not_as_old_as_this_life() {
    let p = Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy");
    let t0 = Instant::now();
    let s = |n: u64| t0 + Duration::from_secs(n);
    let mut known = CancellationLog::new(1, 3);
    known.begin_watch(1, s(0));
    for n in 0..8u64 {
        known.record(10 + n, &format!("j-{n}"), s(1000 + n));
    }
    let mut t = CancellationNotices::new(2, 100);
    for n in 0..8u64 {
        assert!(!t.may_confirm(&format!("j-{n}").into(), &known, &p, s(1008)), "j-{n} was learned seconds ago");
    }
    // j-4 is the last that left, so no sooner than that for all of them
    let all = s(1004) + p.cancel;
    assert!(!t.may_confirm(&"j-0".into(), &known, &p, all - Duration::from_millis(1)));
    assert!(t.may_confirm(&"j-0".into(), &known, &p, all) && t.may_confirm(&"j-4".into(), &known, &p, all));
    assert!(!t.may_confirm(&"j-7".into(), &known, &p, all));
}

/// Guards against the same burst: a sibling is told of those that it has not taken first,
/// so that all come to their turn however many there are and whatever their names.
#[test]
fn a_sibling_hears_first_what_is_new_to_it() {
    let p = Policy::new(&Config::parse("test", SETTINGS).expect("settings")).expect("the default policy");
    let now = Instant::now();
    let mut known = CancellationLog::new(1, 5000);
    known.begin_watch(1, now);
    let mut t = CancellationNotices::new(2, 5000);
    let names: Vec<Name> = (0..3 * MOST_TOLD).map(|n| format!("j-{n:06}").into()).collect();
    for n in &names {
        known.record(9, n, now);
        assert!(!t.may_confirm(n, &known, &p, now));
    }
    // one of the siblings is cut off: nothing is settled, and all stay
    for call in 0..3 {
        let (told, new) = t.for_peer(0, &known, &p, now);
        assert!(new && told.len() == MOST_TOLD, "call {call}");
        t.mark_acknowledged(0, &told);
    }
    assert!(!t.for_peer(0, &known, &p, now).1, "it has heard of all in as many calls as they fill");
}
