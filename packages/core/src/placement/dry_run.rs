//! The dry run of the AI2 lookahead: estimates the compute capacity that the waiting tasks would
//! get if the head of the queue were placed on a given machine.

use std::iter::Peekable;

use super::candidate::{leftover, Candidate};
use super::machine_classes::{MachineClass, MachineClasses};
use crate::model::Resources;

/// Consecutive tasks of equal size in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskRun {
    /// Resources that each task requests.
    pub size: Resources,
    /// Number of tasks.
    pub count: usize,
}

/// A machine class, with those of its machines that the dry run has not used yet.
struct UnusedMachines<'a, I: Iterator<Item = (&'a usize, &'a f64)>> {
    class: &'a MachineClass,
    machines: Peekable<I>,
}

/// Where the best-fit machine of a task is found.
#[derive(Clone, Copy)]
enum MachineSource {
    /// The first unused machine of the class with this index.
    Unused(usize),
    /// The machine with this index among those that the dry run has used.
    Used(usize),
}

/// The best-fit machine found so far.
#[derive(Clone, Copy)]
struct BestFit {
    leftover: f64,
    slot: usize,
    source: MachineSource,
}

impl BestFit {
    /// Replaces `best` by `fit` if `fit` has less leftover, or equal leftover and a lower slot
    /// index.
    fn replace_if_better(best: &mut Option<BestFit>, fit: BestFit) {
        let is_better =
            best.is_none_or(|best| fit.leftover.total_cmp(&best.leftover).then(fit.slot.cmp(&best.slot)).is_lt());
        if is_better {
            *best = Some(fit);
        }
    }
}

/// Places the head on the machine `slot`, then `later_tasks` by best-fit until a task fits on no
/// machine.  Returns the sum of speed times cores over the placed tasks.
///
/// The best-fit machine for a task is also the best fit for further tasks of equal size, because
/// its leftover only decreases.  One scan therefore places as many equal tasks as the machine
/// holds.
pub fn dry_run(classes: &MachineClasses, head: &Resources, slot: usize, later_tasks: &[TaskRun]) -> f64 {
    let mut used: Vec<Candidate> = Vec::new();
    let mut unused: Vec<_> = Vec::with_capacity(classes.len());
    let mut capacity = 0.0;
    for class in classes.iter() {
        if let Some(speed) = class.speeds.get(&slot) {
            let mut free = class.free;
            free.subtract(head);
            capacity += speed * head.cpus;
            used.push(Candidate { slot, free, total: class.total, speed: *speed });
        }
        let others = class.speeds.iter().filter(|machine| *machine.0 != slot).peekable();
        unused.push(UnusedMachines { class, machines: others });
    }
    for TaskRun { size, count } in later_tasks {
        let mut remaining = *count;
        while remaining > 0 {
            let machine = match find_best_fit(&mut unused, &used, size) {
                None => return capacity,
                Some(BestFit { source: MachineSource::Used(index), .. }) => &mut used[index],
                Some(BestFit { source: MachineSource::Unused(index), .. }) => {
                    let UnusedMachines { class, machines } = &mut unused[index];
                    let Some((slot, speed)) = machines.next() else { return capacity };
                    used.push(Candidate { slot: *slot, free: class.free, total: class.total, speed: *speed });
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

/// Returns the machine with the least leftover after a task; `None` if no machine can hold it.
fn find_best_fit<'a, I: Iterator<Item = (&'a usize, &'a f64)>>(
    unused: &mut [UnusedMachines<'a, I>],
    used: &[Candidate],
    size: &Resources,
) -> Option<BestFit> {
    let mut best = None;
    for (index, UnusedMachines { class, machines }) in
        unused.iter_mut().enumerate().filter(|(_, unused)| unused.class.free.fits(size))
    {
        if let Some((slot, _)) = machines.peek() {
            let leftover = leftover(&class.free, &class.total, size);
            BestFit::replace_if_better(
                &mut best,
                BestFit { leftover, slot: **slot, source: MachineSource::Unused(index) },
            );
        }
    }
    for (index, machine) in used.iter().enumerate().filter(|(_, machine)| machine.free.fits(size)) {
        let leftover = leftover(&machine.free, &machine.total, size);
        BestFit::replace_if_better(
            &mut best,
            BestFit { leftover, slot: machine.slot, source: MachineSource::Used(index) },
        );
    }
    best
}
