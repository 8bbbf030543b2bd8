//! A state service and a cloud without machines, on loopback and in memory:
//! as much of the protocol as one controller needs.  No limits and no faults.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch::http::{self, Request, Response, ServerLimits};
use coralnotch::store::{Guard, Write};
use rmpv::Value;
use serde::{Deserialize, Serialize};

/// Changes that are kept for watches.
const KEPT: usize = 10_000;
/// What a page may hold.
const PAGE_BYTES: usize = 512 * 1024;

/// Keys with values in their encoded form, as a large history has to fit.
#[derive(Default)]
pub struct State {
    keys: BTreeMap<String, (Vec<u8>, u64, Option<u64>)>,
    changes: VecDeque<(u64, String, Option<Vec<u8>>)>,
    epoch: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Requests so far.
    pub requests: u64,
}

#[derive(Serialize)]
struct Row<'a> {
    path: &'a str,
    data: Value,
    stamp: u64,
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
    guards: Vec<Guard>,
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

impl State {
    /// Puts a value without a change that a watch would show.
    pub fn fill<T: Serialize>(&mut self, path: String, data: &T) {
        self.epoch += 1;
        self.keys.insert(path, (http::encode(data), self.epoch, None));
    }

    fn expire(&mut self) {
        let over = |(id, (at, ttl)): (&u64, &(Instant, Duration))| (at.elapsed() > *ttl).then_some(*id);
        for id in self.leases.iter().filter_map(over).collect::<Vec<_>>() {
            self.end(id);
        }
    }

    fn end(&mut self, lease: u64) -> bool {
        let of = |(k, v): (&String, &(Vec<u8>, u64, Option<u64>))| (v.2 == Some(lease)).then(|| k.clone());
        for k in self.keys.iter().filter_map(of).collect::<Vec<_>>() {
            self.epoch += 1;
            self.keys.remove(&k);
            self.changed(k, None);
        }
        self.leases.remove(&lease).is_some()
    }

    fn changed(&mut self, key: String, data: Option<Vec<u8>>) {
        self.changes.push_back((self.epoch, key, data));
        while self.changes.len() > KEPT {
            self.changes.pop_front();
        }
    }

    fn txn(&mut self, t: Txn) -> Response {
        let stamp = |k: &str| self.keys.get(k).map_or(0, |v| v.1);
        let failed: Vec<String> =
            t.guards.iter().filter(|g| stamp(&g.path) != g.stamp).map(|g| g.path.clone()).collect();
        if !failed.is_empty() {
            return Response::new(409, &Failed { failed, epoch: self.epoch });
        }
        let lost = |w: &Write| matches!(w, Write::Set { hold: Some(h), .. } if !self.leases.contains_key(h));
        if t.writes.iter().any(lost) {
            return Response::refuse(400, "no such lease");
        }
        self.epoch += u64::from(!t.writes.is_empty());
        for w in t.writes {
            match w {
                Write::Set { set, data, hold } => {
                    let bytes = http::encode(&data);
                    self.keys.insert(set.clone(), (bytes.clone(), self.epoch, hold));
                    self.changed(set, Some(bytes));
                }
                Write::Delete { delete } => {
                    self.keys.remove(&delete);
                    self.changed(delete, None);
                }
            }
        }
        Response::new(200, &Epoch { epoch: self.epoch })
    }

    fn list(&self, q: &BTreeMap<&str, &str>) -> Response {
        let under = q.get("under").copied().unwrap_or_default();
        let since = q.get("since").copied().unwrap_or_default();
        let most: usize = q.get("page").and_then(|p| p.parse().ok()).unwrap_or(1000).min(1000);
        let from = if since.is_empty() { under.to_owned() } else { format!("{since}\0") };
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (path, (data, stamp, _)) in self.keys.range(from..).take_while(|(k, _)| k.starts_with(under)) {
            // the form that is counted is somewhat longer than the encoded one
            bytes += path.len() + data.len() * 5 / 4 + 40;
            if rows.len() >= most || bytes > PAGE_BYTES {
                truncated = true;
                break;
            }
            rows.push(Row { path, data: value(data), stamp: *stamp });
        }
        Response::new(200, &Rows { rows, truncated, epoch: self.epoch })
    }

    /// Changes after a revision; `None` if there are none yet.
    fn news(&self, under: &str, since: u64) -> Option<Response> {
        if self.changes.front().is_some_and(|c| c.0 > since + 1) && self.changes.len() >= KEPT {
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
        let after = self.changes.iter().rev().take_while(|c| c.0 > since).count();
        let new = self.changes.iter().skip(self.changes.len() - after);
        let news: Vec<_> = new.filter(|c| c.1.starts_with(under)).map(event).collect();
        (!news.is_empty()).then(|| Response::new(200, &News { epoch: self.epoch, news }))
    }
}

async fn answer(state: Rc<RefCell<State>>, r: Request) -> Response {
    state.borrow_mut().requests += 1;
    let q: BTreeMap<&str, &str> = r.query.split('&').filter_map(|p| p.split_once('=')).collect();
    let bad = |_| Response::refuse(400, "malformed");
    match (r.method.as_str(), r.path.as_str()) {
        ("GET", "/kv") => state.borrow().list(&q),
        ("GET", "/changes") => {
            let under = q.get("under").copied().unwrap_or_default();
            let since = q.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
            let block = q.get("blockMs").and_then(|s| s.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(block);
            loop {
                state.borrow_mut().expire();
                if let Some(r) = state.borrow().news(under, since) {
                    return r;
                }
                if Instant::now() >= until {
                    let epoch = state.borrow().epoch.max(since);
                    return Response::new(200, &News { epoch, news: Vec::new() });
                }
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        }
        ("POST", "/txn") => {
            let mut s = state.borrow_mut();
            s.expire();
            http::decode(&r.body).map_or_else(bad, |t| s.txn(t))
        }
        ("POST", "/leases") => match http::decode::<Ttl>(&r.body) {
            Err(e) => bad(e),
            Ok(t) => {
                let mut s = state.borrow_mut();
                s.next_lease += 1;
                let hold = s.next_lease;
                s.leases.insert(hold, (Instant::now(), Duration::from_millis(t.ttl_ms)));
                Response::new(200, &Hold { hold })
            }
        },
        (method, path) => {
            if let Some(key) = path.strip_prefix("/kv/") {
                let s = state.borrow();
                return match s.keys.get(key) {
                    Some((data, stamp, _)) => Response::new(200, &Row { path: key, data: value(data), stamp: *stamp }),
                    None => Response::new(404, &Epoch { epoch: s.epoch }),
                };
            }
            let Some(lease) = path.strip_prefix("/leases/") else { return Response::refuse(404, "no such path") };
            let id = lease.trim_end_matches("/renew").parse().unwrap_or(0);
            let mut s = state.borrow_mut();
            s.expire();
            let there = match method {
                "DELETE" => s.end(id),
                _ => s.leases.get_mut(&id).map(|l| l.0 = Instant::now()).is_some(),
            };
            if there {
                Response::new(200, &Hold { hold: id })
            } else {
                Response::refuse(404, "no such lease")
            }
        }
    }
}

/// Serves a state service and a cloud; calls back with their addresses.
pub fn serve(state: State, types: Value, ready: impl FnOnce(SocketAddr, SocketAddr)) {
    let ex = Rc::new(smol::LocalExecutor::new());
    let limits = ServerLimits {
        connections: 1000,
        scarce: 1000,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(600),
    };
    smol::block_on(ex.run(async {
        let local = "127.0.0.1:0";
        let store = smol::net::TcpListener::bind(local).await.expect("a free port");
        let cloud = smol::net::TcpListener::bind(local).await.expect("a free port");
        ready(store.local_addr().expect("bound"), cloud.local_addr().expect("bound"));
        let state = Rc::new(RefCell::new(state));
        let no_machines = Rc::new(move |r: Request| {
            let answer = match r.path.as_str() {
                "/flavors" => Response::new(200, &types),
                "/rentals" if r.method == "GET" => {
                    Response::new(200, &Value::Map(vec![("polyps".into(), Value::Array(vec![]))]))
                }
                _ => Response::refuse(503, "no capacity"),
            };
            async move { answer }
        });
        let clouds = http::serve(ex.clone(), cloud, limits, no_machines);
        let stores = http::serve(ex.clone(), store, limits, Rc::new(move |r| answer(state.clone(), r)));
        futures_lite::future::zip(clouds, stores).await;
    }));
}
