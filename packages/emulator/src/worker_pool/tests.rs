use super::*;
use coralnotch_wire::example::spec;

fn worker_pool(machines: usize, now: Instant) -> WorkerPool {
    let s = Settings { lease_s: 10.0, gang_wait_s: 5.0, gang_peer_s: 1.0 };
    let mut y = WorkerPool::new(s, 1.0, Rng::with_seed(1));
    let kind = MachineType {
        name: "t".into(),
        cpus: 2.0,
        gpus: 0.0,
        memory: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 1.0,
        zones: vec!["z".into()],
    };
    for i in 0..machines {
        y.up(format!("i-{i}").into(), kind.clone(), "z".into(), false, "127.0.0.1:9".into(), now);
    }
    y
}

fn task(index: u32) -> Task {
    Task { job: "j-000001".into(), index }
}

fn run(y: &mut WorkerPool, machine: &str, token: u64, index: u32, now: Instant) -> bool {
    let orders = vec![Command::Start { task: task(index), attempt: 1 }];
    y.command(machine, DirectCommandBody { fencing_token: token, incarnation: 1, commands: orders }, now)
}

fn states(y: &mut WorkerPool, machine: &str, now: Instant) -> Vec<(TaskState, Option<ExitCause>)> {
    y.report(machine, now).map(|r| r.0.tasks.iter().map(|t| (t.state, t.cause)).collect()).unwrap_or_default()
}

/// A lower token does nothing, and a lease that ends takes the tasks and
/// the session with it.
#[test]
fn fences_and_leases_hold() {
    let t0 = Instant::now();
    let mut y = worker_pool(1, t0);
    y.upload((*spec("j-000001", 3)).clone());
    assert!(run(&mut y, "i-0", 5, 0, t0));
    assert!(!run(&mut y, "i-0", 4, 1, t0), "a former leader's");
    assert!(run(&mut y, "i-0", 5, 1, t0) && run(&mut y, "i-0", 5, 2, t0));
    let refused = (TaskState::Exited, Some(ExitCause::NoRoom));
    assert_eq!(states(&mut y, "i-0", t0), [(TaskState::Pulling, None), (TaskState::Pulling, None), refused]);
    let (_, sent) = y.report("i-0", t0).expect("it is there");
    let later = t0 + Duration::from_secs(11);
    y.step(later);
    assert!(states(&mut y, "i-0", later).is_empty());
    assert_eq!(y.killed, 2);
    y.answered(
        "i-0",
        sent,
        HeartbeatReply { fencing_token: 9, commands: vec![Command::Start { task: task(0), attempt: 2 }] },
        later,
    );
    assert!(states(&mut y, "i-0", later).is_empty(), "an answer to an earlier session");
}

/// Tasks run for their time and complete; a second copy is noted.
#[test]
fn tasks_complete_and_a_second_copy_is_seen() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut y = worker_pool(2, t0);
    y.upload((*spec("j-000001", 1)).clone());
    run(&mut y, "i-0", 1, 0, t0);
    y.step(at(2));
    assert_eq!(states(&mut y, "i-0", at(2)), [(TaskState::Running, None)]);
    run(&mut y, "i-1", 1, 0, at(2));
    y.step(at(4));
    assert_eq!(y.broken.len(), 1, "{:?}", y.broken);
    for m in ["i-0", "i-1"] {
        let (_, sent) = y.report(m, at(4)).expect("it is there");
        y.answered(m, sent, HeartbeatReply { fencing_token: 1, commands: vec![] }, at(4));
    }
    y.step(at(13));
    assert_eq!(states(&mut y, "i-0", at(13)), [(TaskState::Exited, Some(ExitCause::Completed))]);
    assert_eq!(y.done("j-000001"), 1);
}

/// A gang waits, starts together, and falls with one of its tasks.
#[test]
fn gangs_start_and_fall_together() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut y = worker_pool(2, t0);
    y.upload(JobSpec { shape: Shape::Gang, ..(*spec("j-000001", 2)).clone() });
    run(&mut y, "i-0", 1, 0, t0);
    y.step(at(2));
    assert_eq!(states(&mut y, "i-0", at(2)), [(TaskState::WaitingForGang, None)]);
    run(&mut y, "i-1", 1, 1, at(2));
    y.step(at(4));
    y.step(at(4));
    y.step(at(4));
    assert_eq!(states(&mut y, "i-0", at(4)), [(TaskState::Running, None)]);
    y.gone("i-1");
    y.step(at(5));
    y.step(at(7));
    assert_eq!(states(&mut y, "i-0", at(7)), [(TaskState::Exited, Some(ExitCause::GangMemberLost))]);
}
