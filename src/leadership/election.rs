//! Who leads: a key on a lease.  A leader acts only until the end of its
//! lease, counted from when the last successful renewal was *sent*; that is
//! checked whenever it answers, not by a timer.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::controller::Controller;
use crate::leadership::lease::{lease_valid_until, LeaderLease, LeaderRecord, NO_WORKERS};
use crate::state_store::client::{key, read_value, Precondition, StoreError, Txn, TxnOutcome, Write};

#[derive(Serialize, Deserialize)]
struct TermRecord {
    term: u64,
}

/// Since when a controller that was deaf stands down, and until when at most.
#[derive(Debug, Clone, Copy)]
struct StepDownBackoff {
    started_at: Instant,
    expires_at: Instant,
}

impl StepDownBackoff {
    /// Not before a worker is heard here, or two deaf ones would hand the
    /// lease to and fro; but if nobody else will, it is time to try again.
    fn is_active(&self, heard: Option<Instant>, now: Instant) -> bool {
        now < self.expires_at && heard.is_none_or(|t| t < self.started_at)
    }
}

impl Controller {
    /// Whether this controller may act now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lock().is_leader(now)
    }

    /// Stands for leader whenever there is none, and leads.
    pub async fn run_elections(&self) {
        let mut stand_down: Option<StepDownBackoff> = None;
        loop {
            let free = {
                let i = self.lock();
                i.synced
                    && !stand_down.is_some_and(|s| s.is_active(i.last_heartbeat, Instant::now()))
                    && match &i.leader {
                        None => true,
                        // an earlier life of this very controller: it is dead
                        Some(l) => l.record.name == self.config.name,
                    }
            };
            if free {
                match self.acquire_lease().await {
                    Ok(Some(a)) => {
                        self.lock().lease = Some(a);
                        let why = futures_lite::future::or(self.renew_lease(a), self.lead(a)).await;
                        tracing::info!("term {} ends here: {why}", a.term);
                        {
                            let mut i = self.lock();
                            i.lease = None;
                            i.cluster = None;
                            i.unmet_demand.clear();
                            if i.leader.as_ref().is_some_and(|l| l.revision == a.revision) {
                                i.leader = None;
                            }
                        }
                        let _ = self.store.revoke(a.lease_id).await;
                        if why == NO_WORKERS {
                            let now = Instant::now();
                            stand_down =
                                Some(StepDownBackoff { started_at: now, expires_at: now + self.policy.ttl * 3 });
                        }
                    }
                    Ok(None) => {}
                    Err(e) => tracing::debug!("cannot stand: {e}"),
                }
                smol::Timer::after(self.policy.renew / 4).await;
            } else {
                self.election_wake.wait(self.policy.renew).await;
            }
        }
    }

    async fn acquire_lease(&self) -> Result<Option<LeaderLease>, StoreError> {
        let ttl = self.policy.ttl;
        let old = self.store.get(key::LEADER).await?;
        let stamp = match &old {
            None => 0,
            Some(i) => match read_value::<LeaderRecord>(key::LEADER, i.value.clone()) {
                Some(r) if r.name == self.config.name => i.revision,
                Some(record) => {
                    let mut inner = self.lock();
                    inner.leader = Some(crate::controller::ObservedLeader { record, revision: i.revision });
                    return Ok(None);
                }
                None => return Ok(None),
            },
        };
        let term = self.store.get(key::TERM).await?;
        let term_stamp = term.as_ref().map_or(0, |i| i.revision);
        let last = term.and_then(|i| read_value::<TermRecord>(key::TERM, i.value)).map_or(0, |t| t.term);
        let sent = Instant::now();
        let hold = self.store.grant(ttl).await?;
        let record = LeaderRecord { name: self.config.name.clone(), term: last + 1 };
        let txn = Txn {
            preconditions: vec![
                Precondition { key: key::LEADER.into(), revision: stamp },
                Precondition { key: key::TERM.into(), revision: term_stamp },
            ],
            writes: vec![
                Write::set_with_lease(key::LEADER, &record, hold),
                Write::set(key::TERM, &TermRecord { term: record.term }),
            ],
        };
        match self.store.txn(&txn).await? {
            TxnOutcome::Done(stamp) => {
                tracing::info!("leads from now on, term {}", record.term);
                self.lock().leader =
                    Some(crate::controller::ObservedLeader { record: record.clone(), revision: stamp });
                let until = lease_valid_until(sent, ttl, self.policy.drift);
                Ok(Some(LeaderLease {
                    term: record.term,
                    revision: stamp,
                    lease_id: hold,
                    valid_until: until,
                    started_at: sent,
                }))
            }
            TxnOutcome::Conflict(_) => {
                let _ = self.store.revoke(hold).await;
                Ok(None)
            }
        }
    }

    /// Renews until the lease is gone or another leads.
    async fn renew_lease(&self, a: LeaderLease) -> &'static str {
        let limit = self.policy.renew * 2;
        // since when the lease is renewed and the watch shows too little to lead by
        let mut blind: Option<Instant> = None;
        loop {
            let sent = Instant::now();
            let pause = match self.store.renew(a.lease_id, limit).await {
                Ok(()) => {
                    let now = Instant::now();
                    let mut i = self.lock();
                    if let Some(x) = i.lease.as_mut() {
                        x.valid_until = lease_valid_until(sent, self.policy.ttl, self.policy.drift);
                    }
                    blind = if self.may_lead(&i, now) { None } else { blind.or(Some(now)) };
                    if blind.is_some_and(|t| now.saturating_duration_since(t) > self.policy.ttl * 2) {
                        return "its lease is served, and no changes are shown to it";
                    }
                    self.policy.renew
                }
                Err(StoreError::NoLease) => return "its lease is gone",
                // in an outage the lease outlives it: go on asking
                Err(e) => {
                    tracing::debug!("renewal: {e}");
                    self.policy.renew / 4
                }
            };
            if self.lock().leader.as_ref().is_some_and(|l| l.revision > a.revision && l.record.term > a.term) {
                return "another leads";
            }
            smol::Timer::after(pause).await;
        }
    }
}

#[cfg(test)]
mod tests;
