//! The cloud: machine types, rentals, deletions, reclaimed spot machines, and a list of machines
//! that is out of date.
//!
//! A plain state machine: every step takes the current time, and a generator where it chooses at
//! random.

mod requests;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::cloud::{ListedMachine, MachineState};
use coralnotch_wire::model::{MachineType, Name};
use fastrand::Rng;

use crate::state::Rate;

/// How long a dead machine stays listed as running.
const DEAD_LISTED: Duration = Duration::from_secs(30);
/// Interval of the snapshots that lists are taken from.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Each machine is paid for at least so long, in seconds.
const MIN_BILLED_S: f64 = 60.0;
const SECONDS_PER_HOUR: f64 = 3600.0;

/// How the cloud behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Machine types.
    pub types: Vec<MachineType>,
    /// Machines that can be rented of each type, in each zone, spot and on-demand apart.
    pub capacity: usize,
    /// Requests a second; bursts may be of two seconds' requests.
    pub rps: f64,
    /// Ordinary age of a list, in seconds.
    pub list_lag_s: f64,
    /// Nominal time from a notice until a spot machine is reclaimed, in seconds.
    pub notice_s: f64,
    /// Share of the machines that never come up.
    pub boot_fail: f64,
}

/// A machine that was rented and is not gone.
#[derive(Debug, Clone)]
pub struct Rented {
    /// Type.
    pub kind: Name,
    /// Zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented.
    pub rented_at: Instant,
    /// When it comes up; `None` if it never does.
    pub up_at: Option<Instant>,
    /// When it died; it stays listed for a while.
    pub died_at: Option<Instant>,
    /// When the cloud reclaims it, once the cloud has given notice.
    pub reclaim_at: Option<Instant>,
}

impl Rented {
    fn is_up(&self, now: Instant) -> bool {
        self.up_at.is_some_and(|at| at <= now)
    }

    /// Whether the cloud has reclaimed it, or it died long enough ago to be listed no more.
    fn is_over(&self, now: Instant) -> bool {
        self.reclaim_at.is_some_and(|at| at <= now) || self.died_at.is_some_and(|at| at + DEAD_LISTED <= now)
    }
}

/// What happened to a machine, for the workers to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// It is up: its worker starts.
    Up(Name),
    /// The cloud gave notice: it reclaims the machine at that time.
    ReclaimNotice(Name, Instant),
    /// It is gone with all that is on it.
    Gone(Name),
}

/// The list of machines at one time.
#[derive(Debug)]
struct ListSnapshot {
    at: Instant,
    machines: Vec<ListedMachine>,
}

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    settings: Settings,
    machines: BTreeMap<Name, Rented>,
    /// Machines that each request rented: a repeated request is idempotent.
    rentals: HashMap<Name, Vec<Name>>,
    /// Machines that have not come up yet.
    booting: Vec<Name>,
    last_machine_number: u64,
    request_rate: Rate,
    /// The oldest first.
    snapshots: VecDeque<ListSnapshot>,
    is_out: bool,
    /// Zones that have failed: nothing can be rented there.
    closed_zones: BTreeSet<Name>,
    /// Cost of the machines that are gone, in the currency of the types' prices.
    cost_of_gone: f64,
}

impl Cloud {
    /// Creates a cloud without rentals.
    pub fn new(settings: Settings) -> Cloud {
        let request_rate = Rate::new(settings.rps, settings.rps * 2.0);
        Cloud {
            settings,
            machines: BTreeMap::new(),
            rentals: HashMap::new(),
            booting: Vec::new(),
            last_machine_number: 0,
            request_rate,
            snapshots: VecDeque::new(),
            is_out: false,
            closed_zones: BTreeSet::new(),
            cost_of_gone: 0.0,
        }
    }

    /// The rented machines by name.
    pub fn machines(&self) -> &BTreeMap<Name, Rented> {
        &self.machines
    }

    /// A machine type by its name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.settings.types.iter().find(|kind| *kind.name == *name)
    }

    /// Begins an outage: everything is refused.
    pub fn begin_outage(&mut self) {
        self.is_out = true;
    }

    /// Ends an outage.
    pub fn end_outage(&mut self) {
        self.is_out = false;
    }

    /// Closes a zone that has failed: nothing can be rented there.
    pub fn close_zone(&mut self, zone: &Name) {
        self.closed_zones.insert(zone.clone());
    }

    /// Opens a zone that is back.
    pub fn open_zone(&mut self, zone: &Name) {
        self.closed_zones.remove(zone);
    }

    /// Cost of all rentals so far, in the currency of the types' prices.
    pub fn cost(&self, now: Instant) -> f64 {
        self.cost_of_gone + self.machines.values().map(|machine| self.machine_cost(machine, now)).sum::<f64>()
    }

    fn machine_cost(&self, machine: &Rented, now: Instant) -> f64 {
        let hourly = self.machine_type(&machine.kind).map_or(0.0, |kind| match machine.spot {
            true => kind.spot_price,
            false => kind.price,
        });
        let until = machine.died_at.unwrap_or(now);
        let billed_s = until.saturating_duration_since(machine.rented_at).as_secs_f64().max(MIN_BILLED_S);
        billed_s * hourly / SECONDS_PER_HOUR
    }

    /// Lets a machine die without notice; it stays listed for a while.  `None` if there is none.
    pub fn kill(&mut self, name: &str, now: Instant) -> Option<Event> {
        let machine = self.machines.get_mut(name).filter(|machine| machine.died_at.is_none())?;
        machine.died_at = Some(now);
        Some(Event::Gone(name.into()))
    }

    /// Gives notice that a spot machine will be reclaimed; `None` if it can't be, or will be already.
    pub fn reclaim(&mut self, name: &str, rng: &mut Rng, now: Instant) -> Option<Event> {
        let notice_s = self.settings.notice_s * (0.5 + rng.f64());
        let can_be_reclaimed =
            |machine: &&mut Rented| machine.spot && machine.reclaim_at.is_none() && machine.died_at.is_none();
        let machine = self.machines.get_mut(name).filter(can_be_reclaimed)?;
        let at = now + Duration::from_secs_f64(notice_s);
        machine.reclaim_at = Some(at);
        Some(Event::ReclaimNotice(name.into(), at))
    }

    /// Brings the cloud up to the present: machines come up, and others go.
    pub fn step(&mut self, now: Instant) -> Vec<Event> {
        let mut events = self.boot_machines(now);
        let over = self.machines.iter().filter(|(_, machine)| machine.is_over(now));
        for name in over.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            events.extend(self.remove(&name, now));
        }
        self.take_snapshot(now);
        events
    }

    fn boot_machines(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let machines = &self.machines;
        self.booting.retain(|name| match machines.get(name) {
            Some(machine) if machine.is_up(now) => {
                events.push(Event::Up(name.clone()));
                false
            }
            Some(machine) => machine.up_at.is_some(),
            None => false,
        });
        events
    }

    fn remove(&mut self, name: &str, now: Instant) -> Option<Event> {
        let machine = self.machines.remove(name)?;
        self.cost_of_gone += self.machine_cost(&machine, now);
        Some(Event::Gone(name.into()))
    }

    /// Takes a snapshot of the list if one is due, and drops those that no list is taken from.
    fn take_snapshot(&mut self, now: Instant) {
        let last = self.snapshots.back();
        if last.is_some_and(|last| now.saturating_duration_since(last.at) < SNAPSHOT_INTERVAL) {
            return;
        }
        let listed = |(name, machine): (&Name, &Rented)| ListedMachine {
            name: name.clone(),
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            state: if machine.is_up(now) { MachineState::Running } else { MachineState::Booting },
            age_s: now.saturating_duration_since(machine.rented_at).as_secs_f64(),
        };
        let machines = self.machines.iter().map(listed).collect();
        self.snapshots.push_back(ListSnapshot { at: now, machines });
        let max_age = Duration::from_secs_f64(self.settings.list_lag_s * 2.0);
        while self.snapshots.len() > 1 && now.saturating_duration_since(self.snapshots[0].at) > max_age {
            self.snapshots.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
