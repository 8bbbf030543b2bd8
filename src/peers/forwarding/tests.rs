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

fn follower() -> Controller {
    let peer = "[[siblings]]\nhost_name = \"b\"\ndomain = \"z1\"\naddr = \"127.0.0.1:5\"\n[services]";
    let settings = SETTINGS.replace("[services]", peer);
    let config = Config::parse("test", &settings).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    Controller::new(config, policy, Instant::now())
}

/// Returns a controller that leads and requests all others to forward heartbeats.
fn leader() -> Controller {
    let (controller, now) = (follower(), Instant::now());
    {
        let mut state = controller.lock();
        let until = now + Duration::from_secs(60);
        state.lease = Some(LeaderLease { term: TERM, revision: 1, lease_id: 1, valid_until: until });
        state.cluster = Some(Cluster::new(TERM, controller.policy.clone(), controller.team_limits(), now));
        state.cancellation_view.record_watch_response(now);
        (state.forwarding_enabled, state.forwarding_requested) = (true, true);
    }
    controller
}

fn heartbeat(sequence: u64, token: u64) -> Heartbeat {
    Heartbeat {
        machine: "i-000001".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "t".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: token,
        reclaim_in_s: None,
        tasks: vec![],
    }
}

fn full(heartbeat: &Heartbeat) -> wire::Report {
    wire::Report { full: http::encode(heartbeat), ..wire::Report::default() }
}

fn unchanged(heartbeat: &Heartbeat, after: u64) -> wire::Report {
    wire::Report {
        full: Vec::new(),
        machine: heartbeat.machine.to_string(),
        session: heartbeat.incarnation,
        tally: heartbeat.sequence,
        after,
    }
}

fn batch(term: u64, reports: Vec<wire::Report>) -> wire::ReportBatch {
    wire::ReportBatch { from: "another".into(), term, reports }
}

/// The leader answers each heartbeat of a batch like a direct one, and requests the full heartbeat
/// where one repeats a heartbeat that it has not accepted.
#[test]
fn each_heartbeat_of_a_batch_is_answered() {
    let controller = leader();
    let token = TERM << 24;
    let other = Heartbeat { machine: "i-000002".into(), ..heartbeat(5, 0) };
    let reports =
        vec![full(&heartbeat(1, 0)), unchanged(&other, 4), wire::Report { full: vec![0x90], ..Default::default() }];
    let answer = smol::block_on(controller.accept_batch(batch(TERM, reports)));
    assert_eq!((answer.term, answer.answers.iter().map(|a| a.status).collect::<Vec<_>>()), (TERM, vec![200, 0, 400]));
    let first: HeartbeatReply = http::decode(&answer.answers[0].body).expect("an answer to a worker");
    assert_eq!((first.fencing_token, first.commands.len()), (token, 0));
    let answer = smol::block_on(
        controller.accept_batch(batch(TERM, vec![unchanged(&heartbeat(2, 0), 1), unchanged(&heartbeat(2, 0), 1)])),
    );
    let without_commands = wire::ReportAnswer { status: 200, body: vec![], token };
    assert_eq!(
        answer.answers,
        [without_commands, wire::ReportAnswer::default()],
        "the full heartbeat is requested for a duplicate"
    );
    assert!(
        controller.lock().last_heartbeat.is_some() && controller.lock().last_remote_zone_heartbeat.is_none(),
        "no worker has reached this controller directly"
    );
}

/// A batch for another term, or one that arrives after the lease has expired, gets no answer that
/// renews a worker's lease.
#[test]
fn only_the_leader_of_the_term_answers() {
    let controller = leader();
    for term in [TERM - 1, TERM + 1] {
        let answer = smol::block_on(controller.accept_batch(batch(term, vec![full(&heartbeat(1, 0))])));
        assert!(answer.answers.is_empty(), "term {term}");
    }
    let answer = smol::block_on(controller.accept_batch(batch(TERM, vec![full(&heartbeat(1, 0))])));
    assert_eq!(answer.answers[0].status, 200);
    if let Some(lease) = controller.lock().lease.as_mut() {
        lease.valid_until = Instant::now();
    }
    let reports = vec![full(&heartbeat(2, 0)), unchanged(&heartbeat(3, 0), 1)];
    let answer = smol::block_on(controller.accept_batch(batch(TERM, reports)));
    assert!(answer.answers.iter().all(|a| a.status != 200), "{:?}", answer.answers);
    let answer = smol::block_on(follower().accept_batch(batch(TERM, vec![full(&heartbeat(1, 0))])));
    assert!(answer.answers.is_empty(), "a follower accepted a batch");
    let initializing_leader = leader();
    initializing_leader.lock().cluster = None;
    let answer = smol::block_on(initializing_leader.accept_batch(batch(TERM, vec![full(&heartbeat(1, 0))])));
    assert!(answer.answers.is_empty(), "a leader accepted a batch before it had read the leader's state");
}

/// Workers are redirected only to controllers that have recently reached the leader, and to none
/// while the leader can serve all workers directly.
#[test]
fn workers_are_redirected_to_peers_that_reach_the_leader() {
    let (controller, now) = (leader(), Instant::now());
    let redirect_at = |controller: &Controller, at: Instant| {
        controller.redirect_to_forwarder("i-000001", "a", at).map(|r| (r.status, r.body))
    };
    assert!(redirect_at(&controller, now).is_none(), "redirected although no peer has reached the leader");
    let name = controller.config.peers[0].name.clone();
    lock(&controller.peers.progress_requested_at).insert(name.clone(), now);
    let (status, body) = redirect_at(&controller, now).expect("a redirect to the peer that has reached the leader");
    assert_eq!(status, 421);
    assert!(body.windows(name.len()).any(|w| w == name.as_bytes()));
    assert!(
        redirect_at(&controller, now + controller.policy.peer_limit * 5).is_none(),
        "redirected to a peer that last reached the leader too long ago"
    );
    controller.lock().forwarding_requested = false;
    assert!(redirect_at(&controller, now).is_none(), "redirected although forwarding is not requested");
    controller.lock().forwarding_requested = true;
    controller.lock().forwarding_enabled = false;
    assert!(redirect_at(&controller, now).is_none(), "redirected although not every controller supports forwarding");
}

/// A controller forwards heartbeats while another one leads.  After a failed call to the leader it
/// handles them itself for `policy.peer_limit`.
#[test]
fn a_controller_that_does_not_reach_the_leader_forwards_nothing() {
    let (controller, now) = (follower(), Instant::now());
    let record = LeaderRecord { name: "another".into(), term: TERM };
    {
        let mut state = controller.lock();
        state.leader = Some(ObservedLeader { record, revision: 1 });
        (state.forwarding_enabled, state.forwarding_requested) = (true, true);
    }
    assert!(controller.may_forward(now));
    *lock(&controller.heartbeat_queue.failed_at) = Some(now);
    assert!(!controller.may_forward(now));
    assert!(controller.may_forward(now + controller.policy.peer_limit));
    controller.lock().forwarding_requested = false;
    assert!(!controller.may_forward(now + controller.policy.peer_limit));
    assert!(!leader().may_forward(now), "a leader forwards heartbeats");
}
