//! The dry run of AI2: the capacity that the waiting queue would get.

use std::iter::Peekable;

use super::candidate::{leftover, Candidate};
use super::machine_classes::{MachineClass, MachineClasses};
use crate::model::Resources;

/// Tasks of equal size that follow one another in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskRun {
    /// Size of each.
    pub size: Resources,
    /// How many.
    pub count: usize,
}

/// A class and those of its machines that the run has not used yet.
struct UnusedMachines<'a, I: Iterator<Item = (&'a usize, &'a f64)>> {
    class: &'a MachineClass,
    machines: Peekable<I>,
}

/// Where the machine that fits a task best is found.
#[derive(Clone, Copy)]
enum Source {
    /// First machine of the class with this index that is not used yet.
    Unused(usize),
    /// Machine with this index among those that the run has used.
    Used(usize),
}

/// The best fit found so far.
#[derive(Clone, Copy)]
struct BestFit {
    leftover: f64,
    at: usize,
    source: Source,
}

impl BestFit {
    /// Replaces the best fit by one with less left over, of equal ones by that with the
    /// lower index.
    fn offer(best: &mut Option<BestFit>, offered: BestFit) {
        let is_better =
            best.is_none_or(|b| offered.leftover.total_cmp(&b.leftover).then(offered.at.cmp(&b.at)).is_lt());
        if is_better {
            *best = Some(offered);
        }
    }
}

/// Sums speed times cores of what a dry run places: the head on the machine `at`, then
/// the tasks `later` in the queue best-fit, until one fits nowhere.
///
/// A machine that is the best fit for a task stays so for equal ones, as what is left
/// of it only shrinks: one scan serves for as many as it holds.
pub fn dry_run(classes: &MachineClasses, head: &Resources, at: usize, later: &[TaskRun]) -> f64 {
    let mut used: Vec<Candidate> = Vec::new();
    let mut unused: Vec<_> = Vec::with_capacity(classes.len());
    let mut capacity = 0.0;
    for class in classes.iter() {
        if let Some(speed) = class.speeds.get(&at) {
            let mut free = class.free;
            free.subtract(head);
            capacity += speed * head.cpus;
            used.push(Candidate { at, free, whole: class.whole, speed: *speed });
        }
        let others = class.speeds.iter().filter(|machine| *machine.0 != at).peekable();
        unused.push(UnusedMachines { class, machines: others });
    }
    for TaskRun { size, count } in later {
        let mut remaining = *count;
        while remaining > 0 {
            let machine = match find_best_fit(&mut unused, &used, size) {
                None => return capacity,
                Some(BestFit { source: Source::Used(index), .. }) => &mut used[index],
                Some(BestFit { source: Source::Unused(index), .. }) => {
                    let UnusedMachines { class, machines } = &mut unused[index];
                    let Some((at, speed)) = machines.next() else { return capacity };
                    used.push(Candidate { at: *at, free: class.free, whole: class.whole, speed: *speed });
                    let last = used.len() - 1;
                    &mut used[last]
                }
            };
            while remaining > 0 && machine.free.fits(size) {
                machine.free.subtract(size);
                capacity += machine.speed * size.cpus;
                remaining -= 1;
            }
        }
    }
    capacity
}

/// The machine with the least left over after a task, if any holds it.
fn find_best_fit<'a, I: Iterator<Item = (&'a usize, &'a f64)>>(
    unused: &mut [UnusedMachines<'a, I>],
    used: &[Candidate],
    size: &Resources,
) -> Option<BestFit> {
    let mut best = None;
    for (index, UnusedMachines { class, machines }) in
        unused.iter_mut().enumerate().filter(|(_, unused)| unused.class.free.fits(size))
    {
        if let Some((at, _)) = machines.peek() {
            let leftover = leftover(&class.free, &class.whole, size);
            BestFit::offer(&mut best, BestFit { leftover, at: **at, source: Source::Unused(index) });
        }
    }
    for (index, machine) in used.iter().enumerate().filter(|(_, machine)| machine.free.fits(size)) {
        let leftover = leftover(&machine.free, &machine.whole, size);
        BestFit::offer(&mut best, BestFit { leftover, at: machine.at, source: Source::Used(index) });
    }
    best
}
