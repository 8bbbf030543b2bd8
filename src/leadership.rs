//! Who leads: a key on a lease.  A leader acts only until the end of its
//! lease, counted from when the last successful renewal was *sent*; that is
//! checked whenever it answers, not by a timer.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::policy::Policy;
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

/// What a leader that hears no worker has learned of why.
#[derive(Debug, Default)]
pub struct Ears {
    /// When a sibling first heard a worker after the last one came here.
    told: Option<Instant>,
}

impl Ears {
    /// Whether to hand over.  `last`: a worker was last heard here; `elsewhere`:
    /// at a sibling; `answered`: siblings answer at all.  A sibling sends a
    /// worker here, and it comes within half a second: one that has not come
    /// cannot.  Where nobody can be asked, only a long silence tells.
    pub fn deaf(
        &mut self,
        last: Instant,
        elsewhere: Option<Instant>,
        answered: bool,
        p: &Policy,
        now: Instant,
    ) -> bool {
        let silence = now.saturating_duration_since(last);
        if silence < p.deaf {
            return false;
        }
        if !answered {
            return silence > p.deaf_alone;
        }
        // what was told of an earlier silence says nothing of this one
        self.told = self.told.filter(|t| *t > last).or(elsewhere.filter(|t| *t > last));
        self.told.is_some_and(|t| now.saturating_duration_since(t) > p.deaf / 2)
    }
}

/// Since when a controller that was deaf stands down, and until when at most.
#[derive(Debug, Clone, Copy)]
struct StandDown {
    from: Instant,
    to: Instant,
}

impl StandDown {
    /// Not before a worker is heard here, or two deaf ones would hand the
    /// lease to and fro; but if nobody else will, it is time to try again.
    fn holds(&self, heard: Option<Instant>, now: Instant) -> bool {
        now < self.to && heard.is_none_or(|t| t < self.from)
    }
}

impl Node {
    /// Whether this controller may act now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lock().acts(now)
    }

    /// Stands for leader whenever there is none, and leads.
    pub async fn stand(&self) {
        let mut stand_down: Option<StandDown> = None;
        loop {
            let free = {
                let i = self.lock();
                i.synced
                    && !stand_down.is_some_and(|s| s.holds(i.heard, Instant::now()))
                    && match &i.leader {
                        None => true,
                        // an earlier life of this very controller: it is dead
                        Some(l) => l.record.name == self.config.name,
                    }
            };
            if free {
                match self.acquire().await {
                    Ok(Some(a)) => {
                        self.lock().authority = Some(a);
                        let why = futures_lite::future::or(self.keep(a), self.lead(a)).await;
                        tracing::info!("term {} ends here: {why}", a.term);
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
                        if why == crate::leader::DEAF {
                            let now = Instant::now();
                            stand_down = Some(StandDown { from: now, to: now + self.policy.ttl * 3 });
                        }
                    }
                    Ok(None) => {}
                    Err(e) => tracing::debug!("cannot stand: {e}"),
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
                tracing::info!("leads from now on, term {}", record.term);
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
                    tracing::debug!("renewal: {e}");
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
    use crate::config::Config;
    use crate::node::Pulse;
    use coralnotch_policy::example::SETTINGS;
    use proptest::prelude::*;

    fn policy() -> Policy {
        Policy::new(&Config::parse("test", SETTINGS).expect("settings of the tests")).expect("the default policy")
    }

    /// Seen on an operators' day: the leader lost the workers alone, and their
    /// leases ran out before it noticed.
    #[test]
    fn a_deaf_leader_hands_over_to_one_that_hears() {
        let (p, t0) = (policy(), Instant::now());
        let at = |s: f64| t0 + Duration::from_secs_f64(s);
        let report = p.deaf.as_secs_f64() * 2.0;
        // workers turn to a sibling, and do not come on to here
        let mut e = Ears::default();
        let when = (0..200).map(|n| f64::from(n) * 0.1).find(|s| e.deaf(t0, Some(at(*s)), true, &p, at(*s)));
        assert!(when.is_some_and(|s| s < report * 1.1), "{when:?}");
        // a world without workers is no reason, however long
        let mut e = Ears::default();
        assert!(!(0..999).any(|s| e.deaf(t0, None, true, &p, at(f64::from(s)))));
        // nobody to ask: a long silence
        let mut e = Ears::default();
        assert!(!e.deaf(t0, None, false, &p, at(report * 1.5)));
        assert!(e.deaf(t0, None, false, &p, at(report * 2.1)));
    }

    proptest! {
        /// A leader that is heard, by however few workers that siblings send
        /// on, never takes itself for deaf.
        #[test]
        fn redirected_workers_are_no_deafness(gaps in prop::collection::vec(0.1f64..6.0, 1..60)) {
            let (p, mut now) = (policy(), Instant::now());
            let (mut e, mut last) = (Ears::default(), now);
            for g in gaps {
                // a new worker turns to a sibling, and comes here half a second later
                now += Duration::from_secs_f64(g);
                prop_assert!(!e.deaf(last, Some(now), true, &p, now));
                now += Duration::from_millis(500);
                last = now;
                prop_assert!(!e.deaf(last, Some(now - Duration::from_millis(500)), true, &p, now));
            }
        }

        /// Gaps are told from ticks, and counted from the wake.
        #[test]
        fn the_pulse_tells_gaps(ticks in prop::collection::vec(0u64..9000, 1..40)) {
            let (mut now, mut pulse, most) = (Instant::now(), None, Duration::from_secs(2));
            let mut since = now;
            Pulse::beat(&mut pulse, most, now);
            for t in ticks {
                now += Duration::from_millis(t);
                let gap = Pulse::beat(&mut pulse, most, now);
                prop_assert_eq!(gap.is_some(), t > 2000);
                if gap.is_some() {
                    since = now;
                }
                prop_assert_eq!(pulse.map(|p| p.since), Some(since));
            }
        }
    }

    #[test]
    fn two_deaf_ones_do_not_take_turns() {
        let t0 = Instant::now();
        let s = |n| t0 + Duration::from_secs(n);
        let d = StandDown { from: s(10), to: s(20) };
        assert!(d.holds(None, s(11)) && d.holds(Some(s(5)), s(11)));
        assert!(!d.holds(Some(s(11)), s(12)), "a worker is heard again");
        assert!(!d.holds(None, s(20)), "nobody else leads");
    }

    #[test]
    fn authority_counts_from_the_sending() {
        let sent = Instant::now();
        let until = lasts_until(sent, Duration::from_secs(4), 0.0005);
        assert!(until < sent + Duration::from_secs(4));
        assert!(until > sent + Duration::from_millis(3990));
    }
}
