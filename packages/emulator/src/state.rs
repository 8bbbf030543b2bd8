//! The state service: keys with stamps, leases, transactions and changes.
//!
//! A plain state machine: every step takes `now`.  It enforces the service's
//! limits, so that whoever works here works within them elsewhere.  Values are
//! kept in their encoded form, as a long history has to fit.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Request, Response};
use coralnotch_wire::state::{Precondition, Write};
use rmpv::Value;
use serde::{Deserialize, Serialize};

/// Changes that are kept for watches.
pub const CHANGES_KEPT: usize = 10_000;
/// Most keys in a page of a list.
const ROWS_MOST: usize = 1000;
/// Bytes of a page of a list, in the form that is counted.
const PAGE_BYTES_MOST: usize = 512 * 1024;
/// Bytes of a transaction, in the form that is counted.
const TXN_BYTES_MOST: usize = 64 * 1024;
/// Bytes of a key.
const KEY_BYTES_MOST: usize = 200;
/// What is counted is text: somewhat longer than the encoded form.
const TEXT_RATIO: f64 = 1.25;

/// What the service allows.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests a second; as many may come at once.
    pub rps: f64,
    /// Puts and deletes a second, likewise.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Puts and deletes a transaction; four times as many conditions.
    pub txn_ops: usize,
}

impl Limits {
    /// No limits but those of the protocol's page.
    pub const NONE: Limits =
        Limits { rps: f64::INFINITY, write_rps: f64::INFINITY, value_kb: f64::INFINITY, txn_ops: usize::MAX / 4 };
}

/// A rate with a burst of one second's worth.
#[derive(Debug)]
pub struct Rate {
    rate: f64,
    burst: f64,
    have: f64,
    at: Option<Instant>,
}

impl Rate {
    /// So many a second, and at most `burst` at once.
    pub fn new(rate: f64, burst: f64) -> Rate {
        Rate { rate, burst, have: burst, at: None }
    }

    /// Takes `n` if there are so many.
    pub fn allows(&mut self, n: f64, now: Instant) -> bool {
        if self.rate.is_infinite() {
            return true;
        }
        let since = self.at.map_or(0.0, |t| now.saturating_duration_since(t).as_secs_f64());
        self.have = (self.have + since * self.rate).min(self.burst);
        self.at = Some(now);
        let enough = self.have >= n;
        if enough {
            self.have -= n;
        }
        enough
    }
}

#[derive(Debug)]
struct Kept {
    data: Vec<u8>,
    stamp: u64,
    hold: Option<u64>,
}

/// A watch that found nothing yet.
#[derive(Debug, Clone)]
pub struct Watch {
    under: String,
    since: u64,
    /// When it is answered without news.
    pub until: Instant,
}

/// What a request comes to.
#[derive(Debug)]
pub enum Step {
    /// Its answer.
    Answer(Response),
    /// It waits for changes.
    Watch(Watch),
}

/// The service.
#[derive(Debug)]
pub struct State {
    keys: BTreeMap<String, Kept>,
    /// Revision, key and new value; at most [`CHANGES_KEPT`].
    changes: VecDeque<(u64, String, Option<Vec<u8>>)>,
    epoch: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    limits: Limits,
    calls: Rate,
    writes: Rate,
    out_since: Option<Instant>,
    /// Requests so far.
    pub requests: u64,
    /// Requests refused for their rate.
    pub refused: u64,
    /// Puts and deletes that were carried out.
    pub changes_made: u64,
}

#[derive(Serialize)]
struct Row<'a> {
    path: &'a str,
    data: Value,
    stamp: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    hold: Option<u64>,
}
#[derive(Serialize)]
struct Rows<'a> {
    rows: Vec<Row<'a>>,
    truncated: bool,
    epoch: u64,
}
#[derive(Serialize)]
struct Epoch {
    epoch: u64,
}
#[derive(Serialize)]
struct Failed {
    failed: Vec<String>,
    epoch: u64,
}
#[derive(Serialize)]
struct Hold {
    hold: u64,
}
#[derive(Serialize)]
struct News {
    epoch: u64,
    news: Vec<BTreeMap<&'static str, Value>>,
}
#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    guards: Vec<Precondition>,
    #[serde(default)]
    writes: Vec<Write>,
}
#[derive(Deserialize)]
struct Ttl {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

fn value(bytes: &[u8]) -> Value {
    rmpv::decode::read_value(&mut &bytes[..]).unwrap_or(Value::Nil)
}

fn counted(bytes: usize) -> usize {
    (bytes as f64 * TEXT_RATIO) as usize
}

fn valid_key(key: &str) -> bool {
    (1..=KEY_BYTES_MOST).contains(&key.len()) && !key.contains(char::is_whitespace)
}

impl State {
    /// Other limits from now on, without notice; what is stored stays readable.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        self.calls = Rate::new(limits.rps, limits.rps);
        self.writes = Rate::new(limits.write_rps, limits.write_rps);
    }

    /// An empty service with these limits.
    pub fn new(limits: Limits) -> State {
        State {
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            epoch: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            limits,
            calls: Rate::new(limits.rps, limits.rps),
            writes: Rate::new(limits.write_rps, limits.write_rps),
            out_since: None,
            requests: 0,
            refused: 0,
            changes_made: 0,
        }
    }

    /// Puts a value without a change that a watch would show: a history that
    /// was there before.
    pub fn fill<T: Serialize>(&mut self, path: String, data: &T) {
        self.epoch += 1;
        self.keys.insert(path, Kept { data: http::encode(data), stamp: self.epoch, hold: None });
    }

    /// Revision of the last change.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Keys that there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// The keys under a prefix.
    pub fn under(&self, prefix: &str) -> Vec<String> {
        let from = prefix.to_owned();
        self.keys.range(from..).map(|k| k.0).take_while(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// An outage begins: everything is refused.
    pub fn fail(&mut self, now: Instant) {
        self.out_since.get_or_insert(now);
    }

    /// The outage is over; every lease has its full time again.
    pub fn heal(&mut self, now: Instant) {
        if self.out_since.take().is_some() {
            self.leases.values_mut().for_each(|l| l.0 = now);
        }
    }

    fn expire(&mut self, now: Instant) {
        let over =
            |(id, (at, ttl)): (&u64, &(Instant, Duration))| (now.saturating_duration_since(*at) > *ttl).then_some(*id);
        for id in self.leases.iter().filter_map(over).collect::<Vec<_>>() {
            self.end(id);
        }
    }

    fn end(&mut self, lease: u64) -> bool {
        let of = |(k, v): (&String, &Kept)| (v.hold == Some(lease)).then(|| k.clone());
        for k in self.keys.iter().filter_map(of).collect::<Vec<_>>() {
            self.epoch += 1;
            self.keys.remove(&k);
            self.changed(k, None);
        }
        self.leases.remove(&lease).is_some()
    }

    fn changed(&mut self, key: String, data: Option<Vec<u8>>) {
        self.changes.push_back((self.epoch, key, data));
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    fn txn(&mut self, body: &[u8], now: Instant) -> Response {
        let Ok(t) = http::decode::<Txn>(body) else { return Response::refuse(400, "malformed") };
        let most = self.limits.txn_ops;
        if counted(body.len()) > TXN_BYTES_MOST || t.writes.len() > most || t.guards.len() > most * 4 {
            return Response::refuse(400, "transaction too large");
        }
        let mut writes = Vec::with_capacity(t.writes.len());
        for w in t.writes {
            match w {
                Write::Set { set, data, lease_id: hold } => {
                    let bytes = http::encode(&data);
                    if !valid_key(&set) || counted(bytes.len()) as f64 > self.limits.value_kb * 1024.0 {
                        return Response::refuse(400, "bad key, or value too large");
                    }
                    if hold.is_some_and(|h| !self.leases.contains_key(&h)) {
                        return Response::refuse(400, "no such lease");
                    }
                    writes.push((set, Some((bytes, hold))));
                }
                Write::Delete { delete } => writes.push((delete, None)),
            }
        }
        if !self.writes.allows(writes.len() as f64, now) {
            self.refused += 1;
            return Response::refuse(429, "too many changes");
        }
        let stamp = |k: &str| self.keys.get(k).map_or(0, |v| v.stamp);
        let failed: Vec<String> =
            t.guards.iter().filter(|g| stamp(&g.key) != g.revision).map(|g| g.key.clone()).collect();
        if !failed.is_empty() {
            return Response::new(409, &Failed { failed, epoch: self.epoch });
        }
        self.epoch += u64::from(!writes.is_empty());
        self.changes_made += writes.len() as u64;
        for (key, set) in writes {
            match set {
                Some((data, hold)) => {
                    self.keys.insert(key.clone(), Kept { data: data.clone(), stamp: self.epoch, hold });
                    self.changed(key, Some(data));
                }
                None => {
                    if self.keys.remove(&key).is_some() {
                        self.changed(key, None);
                    }
                }
            }
        }
        Response::new(200, &Epoch { epoch: self.epoch })
    }

    fn list(&self, q: &BTreeMap<&str, &str>) -> Response {
        let under = q.get("under").copied().unwrap_or_default();
        let since = q.get("since").copied().unwrap_or_default();
        let most = q.get("page").and_then(|p| p.parse().ok()).unwrap_or(ROWS_MOST).min(ROWS_MOST);
        let from = if since.is_empty() { under.to_owned() } else { format!("{since}\0") };
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (path, kept) in self.keys.range(from..).take_while(|(k, _)| k.starts_with(under)) {
            bytes += path.len() + counted(kept.data.len()) + 40;
            if rows.len() >= most || bytes > PAGE_BYTES_MOST {
                truncated = true;
                break;
            }
            rows.push(Row { path, data: value(&kept.data), stamp: kept.stamp, hold: kept.hold });
        }
        Response::new(200, &Rows { rows, truncated, epoch: self.epoch })
    }

    /// The answer to a watch, if there is one by now.
    pub fn news(&mut self, w: &Watch, now: Instant) -> Option<Response> {
        if self.out_since.is_some() {
            return Some(Response::refuse(503, "trouble"));
        }
        self.expire(now);
        if self.changes.len() >= CHANGES_KEPT && self.changes.front().is_some_and(|c| c.0 > w.since + 1) {
            return Some(Response::refuse(410, "too old"));
        }
        let event = |(stamp, key, data): &(u64, String, Option<Vec<u8>>)| {
            let mut e = BTreeMap::from([("stamp", Value::from(*stamp))]);
            match data {
                Some(d) => {
                    e.insert("set", Value::from(key.as_str()));
                    e.insert("data", value(d));
                }
                None => {
                    e.insert("delete", Value::from(key.as_str()));
                }
            }
            e
        };
        let after = self.changes.iter().rev().take_while(|c| c.0 > w.since).count();
        let new = self.changes.iter().skip(self.changes.len() - after);
        let news: Vec<_> = new.filter(|c| c.1.starts_with(&w.under)).map(event).collect();
        let epoch = self.epoch.max(w.since);
        (!news.is_empty() || now >= w.until).then(|| Response::new(200, &News { epoch, news }))
    }

    /// Takes a request.
    pub fn ask(&mut self, r: &Request, now: Instant) -> Step {
        self.requests += 1;
        if self.out_since.is_some() {
            return Step::Answer(Response::refuse(503, "trouble"));
        }
        if !self.calls.allows(1.0, now) {
            self.refused += 1;
            return Step::Answer(Response::refuse(429, "too many requests"));
        }
        self.expire(now);
        let q: BTreeMap<&str, &str> = r.query.split('&').filter_map(|p| p.split_once('=')).collect();
        let number = |k: &str| q.get(k).and_then(|s| s.parse::<u64>().ok()).unwrap_or(0);
        Step::Answer(match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/kv") => self.list(&q),
            ("GET", "/changes") => {
                let under = q.get("under").copied().unwrap_or_default().to_owned();
                // longer than any ordinary watch; the protocol's own bound is met by the caller
                let block = Duration::from_millis(number("blockMs").min(600_000));
                let w = Watch { under, since: number("since"), until: now + block };
                match self.news(&w, now) {
                    Some(a) => a,
                    None => return Step::Watch(w),
                }
            }
            ("POST", "/txn") => self.txn(&r.body, now),
            ("POST", "/leases") => match http::decode::<Ttl>(&r.body) {
                Ok(t) if (100..=600_000).contains(&t.ttl_ms) => {
                    self.next_lease += 1;
                    self.leases.insert(self.next_lease, (now, Duration::from_millis(t.ttl_ms)));
                    Response::new(200, &Hold { hold: self.next_lease })
                }
                _ => Response::refuse(400, "malformed"),
            },
            (method, path) => self.by_path(method, path, now),
        })
    }

    fn by_path(&mut self, method: &str, path: &str, now: Instant) -> Response {
        if let Some(key) = path.strip_prefix("/kv/").filter(|_| method == "GET") {
            return match self.keys.get(key) {
                Some(k) => Response::new(200, &Row { path: key, data: value(&k.data), stamp: k.stamp, hold: k.hold }),
                None => Response::new(404, &Epoch { epoch: self.epoch }),
            };
        }
        let Some(lease) = path.strip_prefix("/leases/") else { return Response::refuse(404, "no such path") };
        let renews = lease.ends_with("/renew");
        let id = lease.trim_end_matches("/renew").parse().unwrap_or(0);
        let there = match (method, renews) {
            ("DELETE", false) => self.end(id),
            ("POST", true) => self.leases.get_mut(&id).map(|l| l.0 = now).is_some(),
            _ => return Response::refuse(400, "malformed"),
        };
        match there {
            true => Response::new(200, &Hold { hold: id }),
            false => Response::refuse(404, "no such lease"),
        }
    }
}

#[cfg(test)]
mod tests;
