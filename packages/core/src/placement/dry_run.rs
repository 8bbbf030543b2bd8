//! The dry run of AI2.

use super::candidate::{leftover, Candidate};
use super::machine_classes::Classes;
use crate::model::Resources;

/// Speed times size of what a dry run places: the head where it was picked,
/// then later tasks best-fit until one fits nowhere.
///
/// A machine that is the best fit for a task stays so for equal ones, as what
/// is left of it only shrinks: one scan serves for as many as it holds.
pub fn dry_run(all: &Classes, head: &Resources, at: usize, later: &[(Resources, usize)]) -> f64 {
    // machines that the run has changed, and the others in their classes
    let mut changed: Vec<Candidate> = Vec::new();
    let mut rest: Vec<_> = Vec::with_capacity(all.len());
    let mut sum = 0.0;
    for c in all.0.values() {
        if let Some(speed) = c.members.get(&at) {
            let mut free = c.free;
            free.subtract(head);
            sum += speed * head.cpus;
            changed.push(Candidate { at, free, whole: c.whole, speed: *speed });
        }
        rest.push((c, c.members.iter().filter(|m| *m.0 != at).peekable()));
    }
    for (task, count) in later {
        let mut left = *count;
        while left > 0 {
            let mut best: Option<(f64, usize, bool, usize)> = None;
            let mut show = |room: f64, at: usize, fresh: bool, i: usize| {
                let before = best.is_none_or(|b| room.total_cmp(&b.0).then(at.cmp(&b.1)).is_lt());
                if before {
                    best = Some((room, at, fresh, i));
                }
            };
            for (i, (c, members)) in rest.iter_mut().enumerate().filter(|(_, r)| r.0.free.fits(task)) {
                if let Some((at, _)) = members.peek() {
                    show(leftover(&c.free, &c.whole, task), **at, true, i);
                }
            }
            for (i, o) in changed.iter().enumerate().filter(|(_, o)| o.free.fits(task)) {
                show(leftover(&o.free, &o.whole, task), o.at, false, i);
            }
            let Some((_, _, fresh, mut i)) = best else { return sum };
            if fresh {
                let (c, members) = &mut rest[i];
                let Some((at, speed)) = members.next() else { return sum };
                changed.push(Candidate { at: *at, free: c.free, whole: c.whole, speed: *speed });
                i = changed.len() - 1;
            }
            let o = &mut changed[i];
            while left > 0 && o.free.fits(task) {
                o.free.subtract(task);
                sum += o.speed * task.cpus;
                left -= 1;
            }
        }
    }
    sum
}
