//! The cloud: types, rentals under charters, deletions, and a list that lags.
//! A plain state machine: every step takes `now` and a generator.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::cloud::{ListedMachine, MachineState, Rental};
use coralnotch_wire::http::{self, Request, Response};
use coralnotch_wire::model::{MachineType, Name};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::state::Rate;

/// Most machines in one rental.
const RENTED_MOST: u32 = 50;
/// Most names in one deletion, and in one page.
const DELETED_MOST: usize = 100;
const PAGE_MOST: usize = 500;
/// How long a dead machine stays listed as running.
const DEAD_LISTED: Duration = Duration::from_secs(30);
/// Interval of the pictures that lists are taken from.
const PICTURE_EVERY: Duration = Duration::from_millis(250);

/// How the cloud behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Machine types.
    pub types: Vec<MachineType>,
    /// Machines of a type, zone and kind that it has at most.
    pub capacity: usize,
    /// Requests a second; bursts are worth two seconds.
    pub rps: f64,
    /// How old a list ordinarily is, in seconds.
    pub list_lag_s: f64,
    /// Nominal time from a notice to the end of a spot machine, in seconds.
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
    /// Spot or ordinary.
    pub spot: bool,
    /// When it was rented.
    pub since: Instant,
    /// When it is up; never, if it does not boot.
    pub up: Option<Instant>,
    /// It died then; it stays listed for a while.
    pub died: Option<Instant>,
    /// The cloud takes it then.
    pub taken: Option<Instant>,
}

/// What happened to machines; the workers have to follow.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// It is up: its worker starts.
    Up(Name),
    /// It has a notice: it is taken at that time.
    Notice(Name, Instant),
    /// It and all on it is gone.
    Gone(Name),
}

#[derive(Serialize)]
struct Machines<T> {
    #[serde(rename = "polyps")]
    machines: Vec<T>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    truncated: bool,
}
#[derive(Deserialize)]
struct Names {
    #[serde(rename = "polyps")]
    machines: Vec<Name>,
}
#[derive(Serialize)]
struct Types<'a> {
    #[serde(rename = "hulls")]
    types: &'a [MachineType],
}

/// A picture of the list at a time.
type Picture = (Instant, Vec<ListedMachine>);

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    settings: Settings,
    machines: BTreeMap<Name, Rented>,
    charters: HashMap<Name, Vec<Name>>,
    booting: Vec<Name>,
    next: u64,
    calls: Rate,
    pictures: VecDeque<Picture>,
    out: bool,
    /// Zones that have failed: nothing can be rented there.
    closed: BTreeSet<Name>,
    /// Cost so far of what is gone, at the types' prices.
    spent: f64,
}

impl Cloud {
    /// A cloud without rentals.
    pub fn new(settings: Settings) -> Cloud {
        let calls = Rate::new(settings.rps, settings.rps * 2.0);
        Cloud {
            settings,
            machines: BTreeMap::new(),
            charters: HashMap::new(),
            booting: Vec::new(),
            next: 0,
            calls,
            pictures: VecDeque::new(),
            out: false,
            closed: BTreeSet::new(),
            spent: 0.0,
        }
    }

    /// What is rented, by name.
    pub fn machines(&self) -> &BTreeMap<Name, Rented> {
        &self.machines
    }

    /// A machine type by its name.
    pub fn kind(&self, name: &str) -> Option<&MachineType> {
        self.settings.types.iter().find(|t| *t.name == *name)
    }

    /// An outage begins or ends.
    pub fn fail(&mut self, out: bool) {
        self.out = out;
    }

    /// A zone fails, or is back: while it is closed nothing can be rented there.
    pub fn close_zone(&mut self, zone: &Name, closed: bool) {
        if closed {
            self.closed.insert(zone.clone());
        } else {
            self.closed.remove(zone);
        }
    }

    /// What all rentals have cost, in the types' currency.
    pub fn cost(&self, now: Instant) -> f64 {
        self.spent + self.machines.values().map(|m| self.price(m, now)).sum::<f64>()
    }

    fn price(&self, m: &Rented, now: Instant) -> f64 {
        let hourly = self.settings.types.iter().find(|t| t.name == m.kind).map_or(0.0, |t| match m.spot {
            true => t.spot_price,
            false => t.price,
        });
        let until = m.died.unwrap_or(now);
        until.saturating_duration_since(m.since).as_secs_f64().max(60.0) * hourly / 3600.0
    }

    /// A machine dies: it goes silent, and stays listed for a while.
    pub fn kill(&mut self, name: &str, now: Instant) -> Option<Event> {
        let m = self.machines.get_mut(name).filter(|m| m.died.is_none())?;
        m.died = Some(now);
        Some(Event::Gone(name.into()))
    }

    /// A spot machine is to be taken back, with notice.
    pub fn take_back(&mut self, name: &str, rng: &mut Rng, now: Instant) -> Option<Event> {
        let notice = self.settings.notice_s * (0.5 + rng.f64());
        let m = self.machines.get_mut(name).filter(|m| m.spot && m.taken.is_none() && m.died.is_none())?;
        let at = now + Duration::from_secs_f64(notice);
        m.taken = Some(at);
        Some(Event::Notice(name.into(), at))
    }

    /// Time passes: machines come up, and those whose notice is over go.
    pub fn step(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let machines = &mut self.machines;
        self.booting.retain(|n| match machines.get(n) {
            Some(m) if m.up.is_some_and(|t| t <= now) => {
                events.push(Event::Up(n.clone()));
                false
            }
            Some(m) => m.up.is_some(),
            None => false,
        });
        let over = |m: &Rented| m.taken.is_some_and(|t| t <= now) || m.died.is_some_and(|t| t + DEAD_LISTED <= now);
        let gone: Vec<Name> = self.machines.iter().filter(|(_, m)| over(m)).map(|(n, _)| n.clone()).collect();
        for n in gone {
            events.extend(self.remove(&n, now));
        }
        if self.pictures.back().is_none_or(|p| now.saturating_duration_since(p.0) >= PICTURE_EVERY) {
            self.pictures.push_back((now, self.picture(now)));
            let oldest = Duration::from_secs_f64(self.settings.list_lag_s * 2.0);
            while self.pictures.len() > 1 && now.saturating_duration_since(self.pictures[0].0) > oldest {
                self.pictures.pop_front();
            }
        }
        events
    }

    fn remove(&mut self, name: &str, now: Instant) -> Option<Event> {
        let m = self.machines.remove(name)?;
        self.spent += self.price(&m, now);
        Some(Event::Gone(name.into()))
    }

    fn picture(&self, now: Instant) -> Vec<ListedMachine> {
        let one = |(name, m): (&Name, &Rented)| ListedMachine {
            name: name.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            state: if m.up.is_some_and(|t| t <= now) { MachineState::Running } else { MachineState::Booting },
            age_s: now.saturating_duration_since(m.since).as_secs_f64(),
        };
        self.machines.iter().map(one).collect()
    }

    fn rent(&mut self, body: &[u8], rng: &mut Rng, now: Instant) -> Response {
        let Ok(r) = http::decode::<Rental>(body) else { return Response::refuse(400, "malformed") };
        if let Some(names) = self.charters.get(&r.request_id) {
            return Response::new(200, &Machines { machines: names.clone(), truncated: false });
        }
        let Some(t) = self.settings.types.iter().find(|t| t.name == r.kind && t.zones.contains(&r.zone)) else {
            return Response::refuse(400, "no such type there");
        };
        if !(1..=RENTED_MOST).contains(&r.count) {
            return Response::refuse(400, "count");
        }
        let same = |m: &&Rented| m.kind == r.kind && m.zone == r.zone && m.spot == r.spot && m.died.is_none();
        let free = self.settings.capacity.saturating_sub(self.machines.values().filter(same).count());
        if free == 0 || self.closed.contains(&r.zone) {
            return Response::refuse(503, "no capacity");
        }
        let boot_s = t.boot_s;
        let mut names = Vec::new();
        for _ in 0..r.count.min(free as u32) {
            self.next += 1;
            let name: Name = format!("i-{:06}", self.next).into();
            let boot = Duration::from_secs_f64(boot_s * (0.6 + 0.9 * rng.f64()));
            let up = (rng.f64() >= self.settings.boot_fail).then_some(now + boot);
            let (kind, zone, spot) = (r.kind.clone(), r.zone.clone(), r.spot);
            self.machines.insert(name.clone(), Rented { kind, zone, spot, since: now, up, died: None, taken: None });
            self.booting.push(name.clone());
            names.push(name);
        }
        self.charters.insert(r.request_id, names.clone());
        Response::new(200, &Machines { machines: names, truncated: false })
    }

    fn list(&self, query: &str, rng: &mut Rng, now: Instant) -> Response {
        let q: BTreeMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let since = q.get("since").copied().unwrap_or_default();
        let most = q.get("page").and_then(|p| p.parse().ok()).unwrap_or(PAGE_MOST).min(PAGE_MOST);
        // ordinarily about the lag, now and then twice it: a list can be older
        // than the one before it
        let lag = self.settings.list_lag_s * (0.5 + rng.f64()) * if rng.u8(0..8) == 0 { 1.33 } else { 1.0 };
        let of = now.checked_sub(Duration::from_secs_f64(lag));
        let Some((_, all)) = self.pictures.iter().rev().find(|p| of.is_some_and(|t| p.0 <= t)) else {
            return Response::new(200, &Machines::<ListedMachine> { machines: Vec::new(), truncated: false });
        };
        let mut machines: Vec<ListedMachine> =
            all.iter().filter(|l| *l.name > *since).take(most + 1).cloned().collect();
        let truncated = machines.len() > most;
        machines.truncate(most);
        Response::new(200, &Machines { machines, truncated })
    }

    /// Takes a request; what it did to machines comes beside the answer.
    pub fn ask(&mut self, r: &Request, rng: &mut Rng, now: Instant) -> (Response, Vec<Event>) {
        if self.out {
            return (Response::refuse(503, "trouble"), Vec::new());
        }
        if !self.calls.allows(1.0, now) {
            return (Response::refuse(429, "too many requests"), Vec::new());
        }
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/flavors") => Response::new(200, &Types { types: &self.settings.types }),
            ("GET", "/rentals") => self.list(&r.query, rng, now),
            ("POST", "/rentals") => self.rent(&r.body, rng, now),
            ("POST", "/rentals/delete") => match http::decode::<Names>(&r.body) {
                Ok(n) if n.machines.len() <= DELETED_MOST => {
                    let gone = n.machines.iter().filter_map(|name| self.remove(name, now)).collect();
                    return (Response::new(200, &BTreeMap::<&str, u8>::new()), gone);
                }
                _ => Response::refuse(400, "malformed"),
            },
            _ => Response::refuse(404, "no such path"),
        };
        (answer, Vec::new())
    }
}

#[cfg(test)]
mod tests;
