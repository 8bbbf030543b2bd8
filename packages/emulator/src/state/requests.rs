//! HTTP interface of the state service: reading and listing keys, watches and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_wire::http::{self, Request, Response};

use super::messages::{Changes, CurrentRevision, KeyList, KeyValue, LeaseId, NewLease};
use super::{counted_size, Lease, RequestResult, State, Watch, MAX_RETAINED_CHANGES};

/// Maximum number of keys in one page of a list.
const MAX_LISTED_KEYS: usize = 1000;
/// Maximum size of one page of a list in bytes, as the service counts it.
const MAX_LIST_BYTES: usize = 512 * 1024;
/// Size that the service adds for each listed key to the sizes of its name and value.
const LISTED_KEY_OVERHEAD_BYTES: usize = 40;
/// Maximum time for which a watch blocks.  The service does not enforce the shorter bound of the
/// protocol; clients are responsible for keeping to it.
const MAX_WATCH_MS: u64 = 600_000;
/// Allowed time to live of a lease.
const LEASE_TTL_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// Parameters of a request's query string.
struct Query<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Query<'a> {
    fn parse(text: &'a str) -> Query<'a> {
        Query(text.split('&').filter_map(|parameter| parameter.split_once('=')).collect())
    }

    /// Returns the value of a parameter, or an empty string if it is missing.
    fn text(&self, name: &str) -> &'a str {
        self.0.get(name).copied().unwrap_or_default()
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name).parse().ok()
    }
}

impl State {
    /// Handles a request, after removing the leases that have expired by `now`.
    pub fn handle_request(&mut self, request: &Request, now: Instant) -> RequestResult {
        self.requests += 1;
        if self.is_in_outage {
            return RequestResult::Response(Response::error(503, "trouble"));
        }
        if !self.request_rate.try_take(1.0, now) {
            self.rate_limited += 1;
            return RequestResult::Response(Response::error(429, "too many requests"));
        }
        self.expire_leases(now);
        let query = Query::parse(&request.query);
        RequestResult::Response(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv") => self.list(&query),
            ("GET", "/changes") => return self.watch(&query, now),
            ("POST", "/txn") => self.execute_transaction(&request.body, now),
            ("POST", "/leases") => self.grant_lease(&request.body, now),
            ("GET", path) if path.starts_with("/kv/") => self.get(&path["/kv/".len()..]),
            (method, path) => match path.strip_prefix("/leases/") {
                Some(lease) => self.renew_or_revoke_lease(method, lease, now),
                None => Response::error(404, "no such path"),
            },
        })
    }

    fn get(&self, key: &str) -> Response {
        match self.keys.get(key) {
            Some(value) => Response::new(200, &KeyValue::new(key, value)),
            None => Response::new(404, &CurrentRevision { revision: self.revision }),
        }
    }

    /// Lists the keys that start with a prefix and come after the key `since`.
    fn list(&self, query: &Query<'_>) -> Response {
        let (prefix, since) = (query.text("under"), query.text("since"));
        let max_keys = query.number("page").unwrap_or(MAX_LISTED_KEYS).min(MAX_LISTED_KEYS);
        let from = if since.is_empty() { prefix.to_owned() } else { format!("{since}\0") };
        let (mut keys, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, value) in self.keys.range(from..).take_while(|(key, _)| key.starts_with(prefix)) {
            bytes += key.len() + counted_size(value.data.len()) + LISTED_KEY_OVERHEAD_BYTES;
            if keys.len() >= max_keys || bytes > MAX_LIST_BYTES {
                truncated = true;
                break;
            }
            keys.push(KeyValue::new(key, value));
        }
        Response::new(200, &KeyList { keys, truncated, revision: self.revision })
    }

    fn watch(&mut self, query: &Query<'_>, now: Instant) -> RequestResult {
        let block = Duration::from_millis(query.number("blockMs").unwrap_or(0).min(MAX_WATCH_MS));
        let watch = Watch {
            prefix: query.text("under").to_owned(),
            since_revision: query.number("since").unwrap_or(0),
            until: now + block,
        };
        match self.poll_watch(&watch, now) {
            Some(response) => RequestResult::Response(response),
            None => RequestResult::Watch(watch),
        }
    }

    /// Returns the response to a watch once there are changes or its time is over.  The response is a
    /// refusal during an outage, or if the changes that the watch asks for are no longer retained.
    pub fn poll_watch(&mut self, watch: &Watch, now: Instant) -> Option<Response> {
        if self.is_in_outage {
            return Some(Response::error(503, "trouble"));
        }
        self.expire_leases(now);
        let is_full = self.changes.len() >= MAX_RETAINED_CHANGES;
        if is_full && self.changes.front().is_some_and(|oldest| oldest.revision > watch.since_revision + 1) {
            return Some(Response::error(410, "too old"));
        }
        let newer = self.changes.iter().rev().take_while(|change| change.revision > watch.since_revision).count();
        let newer = self.changes.iter().skip(self.changes.len() - newer);
        let changes: Vec<_> =
            newer.filter(|change| change.key.starts_with(&watch.prefix)).map(|change| change.watch_event()).collect();
        let revision = self.revision.max(watch.since_revision);
        (!changes.is_empty() || now >= watch.until).then(|| Response::new(200, &Changes { revision, changes }))
    }

    fn grant_lease(&mut self, body: &[u8], now: Instant) -> Response {
        match http::decode::<NewLease>(body) {
            Ok(NewLease { ttl_ms }) if LEASE_TTL_MS.contains(&ttl_ms) => {
                self.last_lease_id += 1;
                let lease = Lease { renewed_at: now, ttl: Duration::from_millis(ttl_ms) };
                self.leases.insert(self.last_lease_id, lease);
                Response::new(200, &LeaseId { id: self.last_lease_id })
            }
            _ => Response::error(400, "malformed"),
        }
    }

    /// Renews or revokes a lease; `lease` is the rest of the path, an id that `/renew` may follow.
    fn renew_or_revoke_lease(&mut self, method: &str, lease: &str, now: Instant) -> Response {
        let is_renewal = lease.ends_with("/renew");
        let id = lease.trim_end_matches("/renew").parse().unwrap_or(0);
        let exists = match (method, is_renewal) {
            ("DELETE", false) => self.revoke_lease(id),
            ("POST", true) => self.leases.get_mut(&id).map(|lease| lease.renewed_at = now).is_some(),
            _ => return Response::error(400, "malformed"),
        };
        match exists {
            true => Response::new(200, &LeaseId { id }),
            false => Response::error(404, "no such lease"),
        }
    }
}
