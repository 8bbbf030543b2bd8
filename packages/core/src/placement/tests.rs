use super::*;
use crate::cluster::{Machine, Stage};
use crate::sim::{cluster, spec};
use std::sync::Arc;
use std::time::Duration;

fn up(c: &mut Cluster, name: &str, now: Instant) {
    let mut m = Machine::new(name.into(), "t".into(), "z0".into(), true, now);
    (m.session, m.heard, m.stage, m.size) = (1, Some(now), Some(Stage::Running), c.types["t"].size());
    c.machines.insert(name.into(), m);
}

/// Tasks of a large array that a spot wave took queued behind all that had
/// come since, and made their job late by minutes.
#[test]
fn a_lost_task_does_not_queue_again() {
    let t0 = Instant::now();
    let mut c = cluster(1, t0);
    for n in 0..5 {
        up(&mut c, &format!("i-{n}"), t0);
    }
    c.add_job(spec("j-000001", 400), 1, None, t0);
    c.place(t0);
    assert_eq!(c.jobs["j-000001"].places.len(), 40);
    let now = t0 + Duration::from_secs(5);
    c.add_job(spec("j-000002", 40), 2, None, now);
    for m in c.machines.values_mut() {
        m.heard = Some(now);
    }
    // two were lost; the new job is first, but for these
    c.vacate(&"i-0".into(), &Task { job: "j-000001".into(), index: 0 }, now);
    c.vacate_all(&"i-1".into(), now);
    let first = *c.jobs["j-000001"].todo.iter().collect::<Vec<_>>().first().expect("a lost task");
    assert_eq!(first, 0);
    let lost = c.jobs["j-000001"].todo.below(c.jobs["j-000001"].begun());
    c.place(now);
    assert_eq!(c.jobs["j-000001"].places.len(), 40, "what was lost runs again");
    assert_eq!(lost, 9);
    assert_eq!(c.jobs["j-000002"].places.len(), 0);
    // what of the first has never run waits behind the second
    c.vacate_all(&"i-1".into(), now);
    c.machines.get_mut("i-1").expect("it is there").size = Size { cpus: 18.0, gpus: 0.0, memory: 64.0 };
    c.place(now);
    assert_eq!((c.jobs["j-000001"].places.len(), c.jobs["j-000002"].places.len()), (40, 10));
}

/// A chain under a deadline mostly lost a task with a spot machine. Its tasks take
/// the room that ordinary machines have left, and its rank is that of its last job.
#[test]
fn chains_keep_to_ordinary_machines_and_the_highest_rank() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    up(&mut c, "i-0", now);
    up(&mut c, "i-1", now);
    c.machines.get_mut("i-1").expect("it is there").spot = false;
    let low = |id: &str| Spec { rank: Rank::Low, ..(*spec(id, 1)).clone() };
    c.add_job(Arc::new(low("j-1")), 1, None, now);
    c.add_job(Arc::new(low("j-2")), 2, None, now);
    c.add_job(Arc::new(low("j-4")), 4, None, now);
    let last = Spec { needs: vec!["j-2".into()], rank: Rank::High, deadline_s: Some(60.0), ..low("j-3") };
    c.add_job(Arc::new(last), 3, None, now);
    assert_eq!(c.jobs["j-2"].turn(), (true, Rank::High));
    c.place(now);
    let at = |c: &Cluster, id: &str| c.jobs.get(id).and_then(|j| Some(j.places.get(&0)?[0].clone()));
    assert_eq!(at(&c, "j-2").as_deref(), Some("i-1"), "under the deadline of the last");
    assert_eq!((at(&c, "j-1").as_deref(), at(&c, "j-4").as_deref()), (Some("i-0"), Some("i-0")));
    assert_eq!(at(&c, "j-3"), None);
    // the last is cancelled: what it needs is as urgent as it was by itself
    c.set_fate("j-3", Fate::Cancelled, now);
    assert_eq!(c.jobs["j-2"].turn(), (true, Rank::Low));
    c.set_fate("j-2", Fate::Done, now);
    assert!(c.dependency.is_empty());
}

/// Seen with four thousand machines: one pass took longer than the leader's
/// lease.  It stops when it has looked at so much, the next ones go on, and
/// nothing waits for ever.
#[test]
fn a_long_queue_takes_several_passes() {
    let now = Instant::now();
    let mut c = cluster(1, now);
    for n in 0..50 {
        up(&mut c, &format!("i-{n:02}"), now);
    }
    let mut policy = (*c.policy).clone();
    policy.pass_looks = 200;
    c.policy = Arc::new(policy);
    for n in 0..40 {
        c.add_job(spec(&format!("j-{n:06}"), 3), n + 1, None, now);
    }
    let placed = |c: &Cluster| c.jobs.values().filter(|j| j.todo.is_empty()).count();
    c.place(now);
    let first = placed(&c);
    assert!((1..10).contains(&first), "{first} jobs in one pass");
    assert!(c.stir, "another pass is due");
    // in their order
    assert!((0..first).all(|n| c.jobs[&*format!("j-{n:06}")].todo.is_empty()));
    let passes = (1..100).find(|_| {
        c.place(now);
        placed(&c) == 40
    });
    assert!(passes.is_some() && !c.stir);
}
