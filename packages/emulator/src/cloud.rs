//! The emulated cloud: machine types, rentals, deletions, reclaimed spot instances, and lists of
//! machines that lag behind.
//!
//! [`Cloud`] is a state machine without I/O.  Calls receive the current time, and a random number
//! generator where they choose at random.

mod requests;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::cloud::{ListedMachine, MachineState};
use coralnotch_wire::model::{MachineType, Name};
use fastrand::Rng;

use crate::state::TokenBucket;

/// Time for which a dead machine stays in the list of machines.
const DEAD_MACHINE_LISTED_TIME: Duration = Duration::from_secs(30);
/// Interval between the snapshots from which lists are answered.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time for which a machine is billed, in seconds.
const MIN_BILLED_S: f64 = 60.0;
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Capacity, limits and faults of the cloud.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Machine types that can be rented.
    pub types: Vec<MachineType>,
    /// Number of machines of each type that can be rented in each zone, separately for spot and
    /// on-demand instances.
    pub capacity: usize,
    /// Requests per second; a burst may have twice as many.
    pub rps: f64,
    /// Nominal age of a list in seconds; lists are 0.5 to 2 times as old.
    pub list_lag_s: f64,
    /// Nominal time from the notice until a spot instance is reclaimed, in seconds; the actual time
    /// is 0.5 to 1.5 times as long.
    pub reclaim_notice_s: f64,
    /// Share of the rented machines that never boot, from 0 to 1.
    pub boot_failure_share: f64,
}

/// A machine that was rented and has not been removed.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// Name of the machine type.
    pub kind: Name,
    /// Zone in which the machine was rented.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// When the machine was rented.
    pub rented_at: Instant,
    /// When the machine finishes booting; `None` if it never does.
    pub up_at: Option<Instant>,
    /// When the machine died; it stays in the list for a while after that.
    pub died_at: Option<Instant>,
    /// When the cloud reclaims the machine; `None` until the cloud gives notice.
    pub reclaim_at: Option<Instant>,
}

impl RentedMachine {
    fn is_up(&self, now: Instant) -> bool {
        self.up_at.is_some_and(|at| at <= now)
    }

    /// Reports whether the machine is to be removed: the cloud has reclaimed it, or it died so long
    /// ago that it is no longer listed.
    fn is_removable(&self, now: Instant) -> bool {
        self.reclaim_at.is_some_and(|at| at <= now)
            || self.died_at.is_some_and(|at| at + DEAD_MACHINE_LISTED_TIME <= now)
    }
}

/// A change of a machine that its worker has to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The machine has booted, so its worker starts.
    Booted(Name),
    /// The cloud gave notice that it reclaims the machine at this time.
    ReclaimNotice(Name, Instant),
    /// The machine has died or was removed, and its tasks are lost.
    Removed(Name),
}

/// The list of machines at the time `at`.
#[derive(Debug)]
struct ListSnapshot {
    at: Instant,
    machines: Vec<ListedMachine>,
}

/// State of the cloud: rented machines, answered rentals and list snapshots.
#[derive(Debug)]
pub struct Cloud {
    settings: Settings,
    machines: BTreeMap<Name, RentedMachine>,
    /// Machines rented by each request id, so that repeated requests are idempotent.
    rentals: HashMap<Name, Vec<Name>>,
    /// Machines that have not finished booting.
    booting: Vec<Name>,
    last_machine_number: u64,
    request_rate: TokenBucket,
    /// Snapshots of the list, the oldest first.
    snapshots: VecDeque<ListSnapshot>,
    is_in_outage: bool,
    /// Zones that have failed, in which no machines can be rented.
    closed_zones: BTreeSet<Name>,
    /// Cost of the removed machines, in the currency of the machine types' prices.
    cost_of_removed: f64,
}

impl Cloud {
    /// Creates a cloud without rented machines.
    pub fn new(settings: Settings) -> Cloud {
        let request_rate = TokenBucket::new(settings.rps, settings.rps * 2.0);
        Cloud {
            settings,
            machines: BTreeMap::new(),
            rentals: HashMap::new(),
            booting: Vec::new(),
            last_machine_number: 0,
            request_rate,
            snapshots: VecDeque::new(),
            is_in_outage: false,
            closed_zones: BTreeSet::new(),
            cost_of_removed: 0.0,
        }
    }

    /// Returns the rented machines by name.
    pub fn machines(&self) -> &BTreeMap<Name, RentedMachine> {
        &self.machines
    }

    /// Returns the machine type with this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.settings.types.iter().find(|kind| *kind.name == *name)
    }

    /// Begins an outage, in which all requests are refused.
    pub fn begin_outage(&mut self) {
        self.is_in_outage = true;
    }

    /// Ends an outage; requests are handled again.
    pub fn end_outage(&mut self) {
        self.is_in_outage = false;
    }

    /// Closes a zone that has failed; no machines can be rented in it.
    pub fn close_zone(&mut self, zone: &Name) {
        self.closed_zones.insert(zone.clone());
    }

    /// Opens a zone that has recovered; machines can be rented in it again.
    pub fn open_zone(&mut self, zone: &Name) {
        self.closed_zones.remove(zone);
    }

    /// Returns the cost of all rentals so far, in the currency of the machine types' prices.
    pub fn cost(&self, now: Instant) -> f64 {
        self.cost_of_removed + self.machines.values().map(|machine| self.machine_cost(machine, now)).sum::<f64>()
    }

    fn machine_cost(&self, machine: &RentedMachine, now: Instant) -> f64 {
        let price_per_hour = self.machine_type(&machine.kind).map_or(0.0, |kind| match machine.spot {
            true => kind.spot_price_per_hour,
            false => kind.price_per_hour,
        });
        let until = machine.died_at.unwrap_or(now);
        let billed_s = until.saturating_duration_since(machine.rented_at).as_secs_f64().max(MIN_BILLED_S);
        billed_s * price_per_hour / SECONDS_PER_HOUR
    }

    /// Kills a machine without notice; it stays in the list for a while.  Returns `None` if the
    /// machine does not exist or is dead already.
    pub fn kill(&mut self, name: &str, now: Instant) -> Option<Event> {
        let machine = self.machines.get_mut(name).filter(|machine| machine.died_at.is_none())?;
        machine.died_at = Some(now);
        Some(Event::Removed(name.into()))
    }

    /// Gives notice that a spot instance will be reclaimed.  Returns `None` if the machine does not
    /// exist, is not a spot instance, is dead, or has been given notice before.
    pub fn reclaim(&mut self, name: &str, rng: &mut Rng, now: Instant) -> Option<Event> {
        let reclaim_notice_s = self.settings.reclaim_notice_s * (0.5 + rng.f64());
        let can_be_reclaimed =
            |machine: &&mut RentedMachine| machine.spot && machine.reclaim_at.is_none() && machine.died_at.is_none();
        let machine = self.machines.get_mut(name).filter(can_be_reclaimed)?;
        let at = now + Duration::from_secs_f64(reclaim_notice_s);
        machine.reclaim_at = Some(at);
        Some(Event::ReclaimNotice(name.into(), at))
    }

    /// Advances the cloud to the time `now`: machines finish booting, and dead and reclaimed ones are
    /// removed.
    pub fn step(&mut self, now: Instant) -> Vec<Event> {
        let mut events = self.finish_boots(now);
        let removable = self.machines.iter().filter(|(_, machine)| machine.is_removable(now));
        for name in removable.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            events.extend(self.remove(&name, now));
        }
        self.take_snapshot(now);
        events
    }

    fn finish_boots(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let machines = &self.machines;
        self.booting.retain(|name| match machines.get(name) {
            Some(machine) if machine.is_up(now) => {
                events.push(Event::Booted(name.clone()));
                false
            }
            Some(machine) => machine.up_at.is_some(),
            None => false,
        });
        events
    }

    fn remove(&mut self, name: &str, now: Instant) -> Option<Event> {
        let machine = self.machines.remove(name)?;
        self.cost_of_removed += self.machine_cost(&machine, now);
        Some(Event::Removed(name.into()))
    }

    /// Takes a snapshot of the list if one is due, and drops the snapshots that are too old for any
    /// list.
    fn take_snapshot(&mut self, now: Instant) {
        let last = self.snapshots.back();
        if last.is_some_and(|last| now.saturating_duration_since(last.at) < SNAPSHOT_INTERVAL) {
            return;
        }
        let listed = |(name, machine): (&Name, &RentedMachine)| ListedMachine {
            name: name.clone(),
            machine_type: machine.kind.clone(),
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
