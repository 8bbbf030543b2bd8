//! Who leads: a key on a lease.  A leader acts only until the end of its
//! lease, counted from when the last successful renewal was *sent*; that is
//! checked whenever it answers, not by a timer.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::store::{key, read_value, Error, Guard, Outcome, Txn, Write};

/// The value of the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Controller.
    pub name: String,
    /// Term.
    pub term: u64,
}

#[derive(Serialize, Deserialize)]
struct TermRecord {
    term: u64,
}

/// The right to act.
#[derive(Debug, Clone, Copy)]
pub struct Authority {
    /// Term.
    pub term: u64,
    /// Stamp of the leader key.
    pub stamp: u64,
    /// Lease.
    pub hold: u64,
    /// Until when it lasts.
    pub until: Instant,
    /// Until when not to hand over for deafness again.
    pub since: Instant,
}

/// Until when a lease that was asked for at `sent` can be relied on.
pub fn lasts_until(sent: Instant, ttl: Duration, drift: f64) -> Instant {
    // our clock may run slow against the service's by the drift of both
    sent + ttl.mul_f64(1.0 - 2.0 * drift)
}

impl Node {
    /// Whether this controller may act now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lock().acts(now)
    }

    /// Stands for leader whenever there is none, and leads.
    pub async fn stand(&self) {
        let mut stand_down: Option<Instant> = None;
        loop {
            let free = {
                let i = self.lock();
                i.synced
                    && match &i.leader {
                        None => true,
                        // an earlier life of this very controller: it is dead
                        Some(l) => l.record.name == self.config.name,
                    }
            };
            let now = Instant::now();
            if free && stand_down.is_none_or(|t| t <= now) {
                match self.acquire().await {
                    Ok(Some(a)) => {
                        self.lock().authority = Some(a);
                        let why = futures_lite::future::or(self.keep(a), self.lead(a)).await;
                        log::info!("term {} ends here: {why}", a.term);
                        {
                            let mut i = self.lock();
                            i.authority = None;
                            i.cluster = None;
                            i.wants.clear();
                            if i.leader.as_ref().is_some_and(|l| l.stamp == a.stamp) {
                                i.leader = None;
                            }
                        }
                        let _ = self.store.revoke(a.hold).await;
                        if why == "hears no worker" {
                            stand_down = Some(Instant::now() + self.policy.ttl * 3);
                        }
                    }
                    Ok(None) => {}
                    Err(e) => log::debug!("cannot stand: {e}"),
                }
                smol::Timer::after(self.policy.renew / 4).await;
            } else {
                self.to_lead.wait(self.policy.renew).await;
            }
        }
    }

    async fn acquire(&self) -> Result<Option<Authority>, Error> {
        let ttl = self.policy.ttl;
        let old = self.store.get(key::LEADER).await?;
        let stamp = match &old {
            None => 0,
            Some(i) => match read_value::<LeaderRecord>(key::LEADER, i.data.clone()) {
                Some(r) if r.name == self.config.name => i.stamp,
                Some(record) => {
                    let mut inner = self.lock();
                    inner.leader = Some(crate::node::LeaderSeen { record, stamp: i.stamp });
                    return Ok(None);
                }
                None => return Ok(None),
            },
        };
        let term = self.store.get(key::TERM).await?;
        let term_stamp = term.as_ref().map_or(0, |i| i.stamp);
        let last = term.and_then(|i| read_value::<TermRecord>(key::TERM, i.data)).map_or(0, |t| t.term);
        let sent = Instant::now();
        let hold = self.store.grant(ttl).await?;
        let record = LeaderRecord { name: self.config.name.clone(), term: last + 1 };
        let txn = Txn {
            guards: vec![
                Guard { path: key::LEADER.into(), stamp },
                Guard { path: key::TERM.into(), stamp: term_stamp },
            ],
            writes: vec![
                Write::set_on(key::LEADER, &record, hold),
                Write::set(key::TERM, &TermRecord { term: record.term }),
            ],
        };
        match self.store.txn(&txn).await? {
            Outcome::Done(stamp) => {
                log::info!("leads from now on, term {}", record.term);
                self.lock().leader = Some(crate::node::LeaderSeen { record: record.clone(), stamp });
                let until = lasts_until(sent, ttl, self.policy.drift);
                Ok(Some(Authority { term: record.term, stamp, hold, until, since: sent }))
            }
            Outcome::Conflict(_) => {
                let _ = self.store.revoke(hold).await;
                Ok(None)
            }
        }
    }

    /// Renews until the lease is gone or another leads.
    async fn keep(&self, a: Authority) -> &'static str {
        let limit = self.policy.renew * 2;
        loop {
            let sent = Instant::now();
            let pause = match self.store.renew(a.hold, limit).await {
                Ok(()) => {
                    if let Some(x) = self.lock().authority.as_mut() {
                        x.until = lasts_until(sent, self.policy.ttl, self.policy.drift);
                    }
                    self.policy.renew
                }
                Err(Error::NoLease) => return "its lease is gone",
                // in an outage the lease outlives it: go on asking
                Err(e) => {
                    log::debug!("renewal: {e}");
                    self.policy.renew / 4
                }
            };
            if self.lock().leader.as_ref().is_some_and(|l| l.stamp > a.stamp && l.record.term > a.term) {
                return "another leads";
            }
            smol::Timer::after(pause).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn authority_counts_from_the_sending() {
        let sent = Instant::now();
        let until = lasts_until(sent, Duration::from_secs(4), 0.0005);
        assert!(until < sent + Duration::from_secs(4));
        assert!(until > sent + Duration::from_millis(3990));
    }
}
