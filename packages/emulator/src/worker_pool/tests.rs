use coralnotch_wire::example::job_array;
use coralnotch_wire::model::MachineType;
use coralnotch_wire::workers::{Command, DirectCommandBody, ExitCause, HeartbeatReply, TaskState};

use super::*;

fn worker_pool(machines: usize, now: Instant) -> WorkerPool {
    let settings = Settings { lease_s: 10.0, gang_wait_s: 5.0, gang_peer_s: 1.0 };
    let mut pool = WorkerPool::new(settings, 1.0, Rng::with_seed(1));
    let kind = MachineType {
        name: "t".into(),
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.5,
        boot_s: 1.0,
        zones: vec!["z".into()],
    };
    for i in 0..machines {
        let machine = NewMachine {
            name: format!("i-{i}").into(),
            kind: kind.clone(),
            zone: "z".into(),
            spot: false,
            address: "127.0.0.1:9".into(),
        };
        pool.add_machine(machine, now);
    }
    pool
}

fn task(index: u32) -> Task {
    Task { job: "j-000001".into(), index }
}

fn start(pool: &mut WorkerPool, machine: &str, token: u64, index: u32, now: Instant) -> bool {
    let commands = vec![Command::Start { task: task(index), attempt: 1 }];
    pool.apply_direct_commands(machine, DirectCommandBody { fencing_token: token, incarnation: 1, commands }, now)
}

fn states(pool: &mut WorkerPool, machine: &str, now: Instant) -> Vec<(TaskState, Option<ExitCause>)> {
    pool.heartbeat(machine, now)
        .map(|sent_heartbeat| sent_heartbeat.0.tasks.iter().map(|status| (status.state, status.cause)).collect())
        .unwrap_or_default()
}

/// Commands with a lower fencing token than the highest one seen are rejected.  The expiry of the
/// lease kills the tasks and starts a new incarnation, which ignores replies to the previous one.
#[test]
fn lower_fencing_token_is_rejected_and_lease_expiry_kills_tasks() {
    let t0 = Instant::now();
    let mut pool = worker_pool(1, t0);
    pool.upload((*job_array("j-000001", 3)).clone());
    assert!(start(&mut pool, "i-0", 5, 0, t0));
    assert!(!start(&mut pool, "i-0", 4, 1, t0), "a command of a former leader must be rejected");
    assert!(start(&mut pool, "i-0", 5, 1, t0) && start(&mut pool, "i-0", 5, 2, t0));
    let refused = (TaskState::Exited, Some(ExitCause::NoRoom));
    assert_eq!(states(&mut pool, "i-0", t0), [(TaskState::Pulling, None), (TaskState::Pulling, None), refused]);
    let (_, sent) = pool.heartbeat("i-0", t0).expect("the machine exists");
    let later = t0 + Duration::from_secs(11);
    pool.step(later);
    assert!(states(&mut pool, "i-0", later).is_empty());
    assert_eq!(pool.killed, 2);
    pool.apply_reply(
        "i-0",
        sent,
        HeartbeatReply { fencing_token: 9, commands: vec![Command::Start { task: task(0), attempt: 2 }] },
        later,
    );
    assert!(states(&mut pool, "i-0", later).is_empty(), "a reply to an earlier incarnation must be dropped");
}

/// A task completes after its run time.  Starting the same task on a second machine meanwhile is
/// recorded as a violation.
#[test]
fn task_completes_and_a_second_copy_is_recorded_as_a_violation() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut pool = worker_pool(2, t0);
    pool.upload((*job_array("j-000001", 1)).clone());
    start(&mut pool, "i-0", 1, 0, t0);
    pool.step(at(2));
    assert_eq!(states(&mut pool, "i-0", at(2)), [(TaskState::Running, None)]);
    start(&mut pool, "i-1", 1, 0, at(2));
    pool.step(at(4));
    assert_eq!(pool.violations.len(), 1, "{:?}", pool.violations);
    for machine in ["i-0", "i-1"] {
        let (_, sent) = pool.heartbeat(machine, at(4)).expect("the machine exists");
        pool.apply_reply(machine, sent, HeartbeatReply { fencing_token: 1, commands: vec![] }, at(4));
    }
    pool.step(at(13));
    assert_eq!(states(&mut pool, "i-0", at(13)), [(TaskState::Exited, Some(ExitCause::Completed))]);
    assert_eq!(pool.completed_task_count("j-000001"), 1);
}

/// The tasks of a gang wait for each other and start together.  When one of them is lost, the others
/// exit.
#[test]
fn gang_tasks_start_together_and_exit_when_one_is_lost() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut pool = worker_pool(2, t0);
    pool.upload(JobSpec { shape: Shape::Gang, ..(*job_array("j-000001", 2)).clone() });
    start(&mut pool, "i-0", 1, 0, t0);
    pool.step(at(2));
    assert_eq!(states(&mut pool, "i-0", at(2)), [(TaskState::WaitingForGang, None)]);
    start(&mut pool, "i-1", 1, 1, at(2));
    pool.step(at(4));
    pool.step(at(4));
    pool.step(at(4));
    assert_eq!(states(&mut pool, "i-0", at(4)), [(TaskState::Running, None)]);
    pool.remove_machine("i-1");
    pool.step(at(5));
    pool.step(at(7));
    assert_eq!(states(&mut pool, "i-0", at(7)), [(TaskState::Exited, Some(ExitCause::GangMemberLost))]);
}
