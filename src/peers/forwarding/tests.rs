use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::config::Config;
use crate::controller::{Controller, ObservedLeader};
use crate::http;
use crate::leadership::lease::{LeaderLease, LeaderRecord};
use crate::peers::links::{lock, wire};
use crate::policy::Policy;
use crate::workers::{Heartbeat, HeartbeatReply};
use coralnotch_policy::example::SETTINGS;

const TERM: u64 = 3;

fn node() -> Controller {
    let sibling = "[[siblings]]\nhost_name = \"b\"\ndomain = \"z1\"\naddr = \"127.0.0.1:5\"\n[services]";
    let settings = SETTINGS.replace("[services]", sibling);
    let config = Config::parse("test", &settings).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    Controller::new(config, policy, Instant::now())
}

/// A controller that leads, and has all others forward reports.
fn leader() -> Controller {
    let (n, now) = (node(), Instant::now());
    {
        let mut i = n.lock();
        let until = now + Duration::from_secs(60);
        i.lease = Some(LeaderLease { term: TERM, revision: 1, lease_id: 1, valid_until: until });
        i.cluster = Some(Cluster::new(TERM, n.policy.clone(), n.team_limits(), now));
        i.cancellation_view.watch_answered(now);
        (i.forwarding_enabled, i.forwarding_requested) = (true, true);
    }
    n
}

fn report(tally: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: "i-000001".into(),
        address: "127.0.0.1:9".into(),
        kind: "t".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: tally,
        fencing_token: token,
        reclaim_in_s: None,
        tasks: vec![],
    }
}

fn full(r: &Heartbeat) -> wire::Report {
    wire::Report { full: http::encode(r), ..wire::Report::default() }
}

fn repeats(r: &Heartbeat, after: u64) -> wire::Report {
    let (machine, session, tally) = (r.machine.to_string(), r.incarnation, r.sequence);
    wire::Report { full: Vec::new(), machine, session, tally, after }
}

fn batch(term: u64, reports: Vec<wire::Report>) -> wire::ReportBatch {
    wire::ReportBatch { from: "another".into(), term, reports }
}

/// The leader answers each report of a batch as its own, and wants in full what repeats a
/// report that it has not had.
#[test]
fn each_report_of_a_batch_is_answered() {
    let n = leader();
    let token = TERM << 24;
    let other = Heartbeat { machine: "i-000002".into(), ..report(5, 0) };
    let reports =
        vec![full(&report(1, 0)), repeats(&other, 4), wire::Report { full: vec![0x90], ..Default::default() }];
    let a = smol::block_on(n.accept_batch(batch(TERM, reports)));
    assert_eq!((a.term, a.answers.iter().map(|a| a.status).collect::<Vec<_>>()), (TERM, vec![200, 0, 400]));
    let first: HeartbeatReply = http::decode(&a.answers[0].body).expect("an answer to a worker");
    assert_eq!((first.fencing_token, first.commands.len()), (token, 0));
    let a = smol::block_on(n.accept_batch(batch(TERM, vec![repeats(&report(2, 0), 1), repeats(&report(2, 0), 1)])));
    let short = wire::ReportAnswer { status: 200, body: vec![], token };
    assert_eq!(a.answers, [short, wire::ReportAnswer::default()], "the second comes too late");
    assert!(
        n.lock().last_heartbeat.is_some() && n.lock().last_remote_zone_heartbeat.is_none(),
        "its own sockets were not reached"
    );
}

/// A batch for another term, and one that finds the lease over, gets no answer that renews.
#[test]
fn only_the_leader_of_the_term_answers() {
    let n = leader();
    for term in [TERM - 1, TERM + 1] {
        let a = smol::block_on(n.accept_batch(batch(term, vec![full(&report(1, 0))])));
        assert!(a.answers.is_empty(), "term {term}");
    }
    let a = smol::block_on(n.accept_batch(batch(TERM, vec![full(&report(1, 0))])));
    assert_eq!(a.answers[0].status, 200);
    if let Some(a) = n.lock().lease.as_mut() {
        a.valid_until = Instant::now();
    }
    let reports = vec![full(&report(2, 0)), repeats(&report(3, 0), 1)];
    let a = smol::block_on(n.accept_batch(batch(TERM, reports)));
    assert!(a.answers.iter().all(|a| a.status != 200), "{:?}", a.answers);
    let a = smol::block_on(node().accept_batch(batch(TERM, vec![full(&report(1, 0))])));
    assert!(a.answers.is_empty(), "it never led");
    let reading = leader();
    reading.lock().cluster = None;
    let a = smol::block_on(reading.accept_batch(batch(TERM, vec![full(&report(1, 0))])));
    assert!(a.answers.is_empty(), "it has not read the store yet, and is asked again");
}

/// Workers are sent only to controllers that have lately reached the leader, and to none where
/// one controller is enough.
#[test]
fn workers_are_sent_to_whoever_reaches_the_leader() {
    let (n, now) = (leader(), Instant::now());
    let to = |n: &Controller, at: Instant| n.redirect_to_forwarder("i-000001", "a", at).map(|r| (r.status, r.body));
    assert!(to(&n, now).is_none(), "nobody has asked");
    let name = n.config.peers[0].name.clone();
    lock(&n.peers.progress_requested_at).insert(name.clone(), now);
    let (status, body) = to(&n, now).expect("one has");
    assert_eq!(status, 421);
    assert!(body.windows(name.len()).any(|w| w == name.as_bytes()));
    assert!(to(&n, now + n.policy.peer_limit * 5).is_none(), "too long ago");
    n.lock().forwarding_requested = false;
    assert!(to(&n, now).is_none(), "few machines");
    n.lock().forwarding_requested = true;
    n.lock().forwarding_enabled = false;
    assert!(to(&n, now).is_none(), "an earlier version is among them");
}

/// A controller forwards while another leads, and deals with reports itself for a while after
/// the leader did not answer.
#[test]
fn a_controller_that_does_not_reach_the_leader_forwards_nothing() {
    let (n, now) = (node(), Instant::now());
    let record = LeaderRecord { name: "another".into(), term: TERM };
    {
        let mut i = n.lock();
        i.leader = Some(ObservedLeader { record, revision: 1 });
        (i.forwarding_enabled, i.forwarding_requested) = (true, true);
    }
    assert!(n.may_forward(now));
    *lock(&n.heartbeat_queue.failed_at) = Some(now);
    assert!(!n.may_forward(now));
    assert!(n.may_forward(now + n.policy.peer_limit));
    n.lock().forwarding_requested = false;
    assert!(!n.may_forward(now + n.policy.peer_limit));
    assert!(!leader().may_forward(now), "it leads itself");
}
