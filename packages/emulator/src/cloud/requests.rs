//! HTTP interface of the cloud.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_wire::cloud::{ListedMachine, Rental};
use coralnotch_wire::http::{self, Request, Response};
use coralnotch_wire::model::{MachineType, Name};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use super::{Cloud, Event, RentedMachine};

/// Maximum number of machines in one rental.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Maximum number of names in one deletion.
const MAX_NAMES_PER_DELETION: usize = 100;
/// Maximum number of machines in one page of a list.
const MAX_MACHINES_PER_PAGE: usize = 500;

/// Machines or their names.  If the list is truncated, the client requests the next page.
#[derive(Serialize)]
struct Machines<T> {
    #[serde(rename = "polyps")]
    machines: Vec<T>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    truncated: bool,
}

#[derive(Deserialize)]
pub(super) struct MachineNames {
    #[serde(rename = "polyps")]
    pub(super) machines: Vec<Name>,
}

#[derive(Serialize)]
struct MachineTypes<'a> {
    #[serde(rename = "hulls")]
    types: &'a [MachineType],
}

impl Cloud {
    /// Handles a request; returns the response and the resulting changes of machines.
    pub fn handle_request(&mut self, request: &Request, rng: &mut Rng, now: Instant) -> (Response, Vec<Event>) {
        if self.is_in_outage {
            return (Response::error(503, "trouble"), Vec::new());
        }
        if !self.request_rate.try_take(1.0, now) {
            return (Response::error(429, "too many requests"), Vec::new());
        }
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Response::new(200, &MachineTypes { types: &self.settings.types }),
            ("GET", "/rentals") => self.list(&request.query, rng, now),
            ("POST", "/rentals") => self.rent(&request.body, rng, now),
            ("POST", "/rentals/delete") => return self.delete(&request.body, now),
            _ => Response::error(404, "no such path"),
        };
        (response, Vec::new())
    }

    /// Rents machines, or as many of them as there is capacity for.  A repeated request rents nothing
    /// and gets the same response.
    fn rent(&mut self, body: &[u8], rng: &mut Rng, now: Instant) -> Response {
        let Ok(rental) = http::decode::<Rental>(body) else { return Response::error(400, "malformed") };
        if let Some(names) = self.rentals.get(&rental.request_id) {
            return Response::new(200, &Machines { machines: names.clone(), truncated: false });
        }
        let is_requested = |kind: &&MachineType| kind.name == rental.machine_type && kind.zones.contains(&rental.zone);
        let Some(boot_s) = self.settings.types.iter().find(is_requested).map(|kind| kind.boot_s) else {
            return Response::error(400, "no such type there");
        };
        if !(1..=MAX_MACHINES_PER_RENTAL).contains(&rental.count) {
            return Response::error(400, "count");
        }
        let free = self.free_capacity(&rental);
        if free == 0 || self.closed_zones.contains(&rental.zone) {
            return Response::error(503, "no capacity");
        }
        let count = rental.count.min(free as u32);
        let names: Vec<Name> = (0..count).map(|_| self.add_machine(&rental, boot_s, rng, now)).collect();
        self.rentals.insert(rental.request_id, names.clone());
        Response::new(200, &Machines { machines: names, truncated: false })
    }

    /// Returns how many more machines can be rented of the rental's type, in its zone and of its
    /// kind (spot or on-demand).
    fn free_capacity(&self, rental: &Rental) -> usize {
        let uses_same_capacity = |machine: &&RentedMachine| {
            machine.kind == rental.machine_type
                && machine.zone == rental.zone
                && machine.spot == rental.spot
                && machine.died_at.is_none()
        };
        self.settings.capacity.saturating_sub(self.machines.values().filter(uses_same_capacity).count())
    }

    fn add_machine(&mut self, rental: &Rental, boot_s: f64, rng: &mut Rng, now: Instant) -> Name {
        self.last_machine_number += 1;
        let name: Name = format!("i-{:06}", self.last_machine_number).into();
        let boot = Duration::from_secs_f64(boot_s * (0.6 + 0.9 * rng.f64()));
        let machine = RentedMachine {
            kind: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
            rented_at: now,
            up_at: (rng.f64() >= self.settings.boot_failure_share).then_some(now + boot),
            died_at: None,
            reclaim_at: None,
        };
        self.machines.insert(name.clone(), machine);
        self.booting.push(name.clone());
        name
    }

    /// Lists the machines whose names come after `since`, as they were some time ago.
    fn list(&self, query: &str, rng: &mut Rng, now: Instant) -> Response {
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let since = query.get("since").copied().unwrap_or_default();
        let max_machines = query
            .get("page")
            .and_then(|page| page.parse().ok())
            .unwrap_or(MAX_MACHINES_PER_PAGE)
            .min(MAX_MACHINES_PER_PAGE);
        // A list is 0.5 to 1.5 times as old as the nominal lag, and one list in eight is a third older
        // than that, so a list can be older than the one before it.
        let lag_s = self.settings.list_lag_s * (0.5 + rng.f64()) * if rng.u8(0..8) == 0 { 1.33 } else { 1.0 };
        let as_of = now.checked_sub(Duration::from_secs_f64(lag_s));
        let is_old_enough = |at: Instant| as_of.is_some_and(|as_of| at <= as_of);
        let snapshot = self.snapshots.iter().rev().find(|snapshot| is_old_enough(snapshot.at));
        let listed = snapshot.map(|snapshot| snapshot.machines.as_slice()).unwrap_or_default();
        let mut machines: Vec<ListedMachine> =
            listed.iter().filter(|machine| *machine.name > *since).take(max_machines + 1).cloned().collect();
        let truncated = machines.len() > max_machines;
        machines.truncate(max_machines);
        Response::new(200, &Machines { machines, truncated })
    }

    /// Deletes machines; names of machines that no longer exist are ignored.
    fn delete(&mut self, body: &[u8], now: Instant) -> (Response, Vec<Event>) {
        match http::decode::<MachineNames>(body) {
            Ok(names) if names.machines.len() <= MAX_NAMES_PER_DELETION => {
                let gone = names.machines.iter().filter_map(|name| self.remove(name, now)).collect();
                (Response::new(200, &BTreeMap::<&str, u8>::new()), gone)
            }
            _ => (Response::error(400, "malformed"), Vec::new()),
        }
    }
}
