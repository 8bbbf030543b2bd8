//! Pins every form that others depend on: messages on the wire, stored records and keys, the
//! status answer, the settings and the names of operators' policy files.  The golden values
//! were made by the version in production; a rename in the code must never change one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use prost::Message;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use coralnotch::config::Config;
use coralnotch::controller::Controller;
use coralnotch::leadership::lease::LeaderRecord;
use coralnotch::model::{
    JobExplanation, JobOutcome, JobSpec, JobState, MachineType, OutcomeRecord, Priority, Ranges, Shape,
};
use coralnotch::operators::status::Status;
use coralnotch::operators::telemetry::TimedOperation;
use coralnotch::peers::links::wire;
use coralnotch::policy::Policy;
use coralnotch::state_store::client::key;
use coralnotch_core::feature_gate::{FeatureGates, MemberRecord};
use coralnotch_wire::cloud::{ListedMachine, MachineState, Rental};
use coralnotch_wire::http;
use coralnotch_wire::state::{KeyPage, KeyValue, Txn, WatchEvent};
use coralnotch_wire::workers::{Command, DirectCommandBody, ExitCause, Heartbeat, HeartbeatReply, TaskState};

fn protocol() -> Value {
    serde_json::from_str(include_str!("golden/protocol.json")).expect("golden values")
}

/// Decodes a golden value from MessagePack as the named type, and expects the same when it is
/// encoded again.
fn keeps<T: DeserializeOwned + Serialize>(golden: &Value) -> T {
    // a message is always a map; what is none stands in one
    let message = BTreeMap::from([("value", golden)]);
    let mut read: BTreeMap<String, T> = http::decode(&http::encode(&message)).expect("a golden value");
    let again: BTreeMap<String, Value> = http::decode(&http::encode(&read)).expect("an encoded value");
    assert_eq!(&again["value"], golden);
    read.remove("value").expect("the value")
}

fn keeps_each<T: DeserializeOwned + Serialize>(golden: &Value) -> Vec<T> {
    golden.as_array().expect("a list").iter().map(keeps).collect()
}

#[test]
fn submissions_and_answers_to_users_keep_their_form() {
    let golden = protocol();
    let spec: JobSpec = keeps(&golden["spec"]);
    assert_eq!((&*spec.id, &*spec.class, &*spec.team), ("j-000412", "nightly", "team-a"));
    assert_eq!((spec.tasks, spec.cpus, spec.gpus, spec.memory), (4, 1.5, 1.0, 8.0));
    assert_eq!((&*spec.image, spec.image_gb, spec.estimate_s), ("img-1", 2.0, 30.0));
    assert_eq!((spec.checkpoint_s, spec.save_s, spec.deadline_s), (60.0, 5.0, Some(900.0)));
    assert_eq!(spec.zone.as_deref(), Some("z1"));
    assert_eq!((spec.one_zone, spec.spread, spec.spot), (true, false, true));
    assert_eq!((spec.types.map(|t| t.len()), spec.needs.len()), (Some(1), 1));
    assert_eq!(keeps_each::<Shape>(&golden["shapes"]), [Shape::Array, Shape::Gang, Shape::Service]);
    assert_eq!(
        keeps_each::<Priority>(&golden["ranks"]),
        [Priority::Production, Priority::High, Priority::Normal, Priority::Low]
    );
    let outcomes = keeps_each::<OutcomeRecord>(&golden["fates"]);
    assert_eq!(outcomes.iter().map(|f| f.outcome).collect::<Vec<_>>(), [JobOutcome::Done, JobOutcome::Cancelled]);
    assert_eq!([JobOutcome::Done.as_str(), JobOutcome::Cancelled.as_str()], ["done", "cancelled"]);
    keeps::<JobState>(&golden["job_state"]);
    let explained: JobExplanation = keeps(&golden["explained"]);
    assert_eq!((explained.waits_for.len(), explained.cancelled_with.as_deref()), (1, Some("j-000410")));
}

#[test]
fn messages_of_workers_keep_their_form() {
    let golden = protocol();
    let report: Heartbeat = keeps(&golden["report"]);
    assert_eq!((&*report.machine, &*report.kind, &*report.zone, report.spot), ("i-1", "large", "z1", false));
    assert_eq!(
        (report.incarnation, report.sequence, report.fencing_token, report.reclaim_in_s),
        (2, 17, 50_331_648, Some(30.0))
    );
    let task = &report.tasks[0];
    assert_eq!((task.task.index, task.attempt, task.state), (3, 50_331_649, TaskState::Exited));
    assert_eq!((task.cause, task.saved), (Some(ExitCause::GangMemberLost), Some(true)));
    assert_eq!(
        keeps_each::<TaskState>(&golden["task_states"]),
        [
            TaskState::Pulling,
            TaskState::WaitingForGang,
            TaskState::Running,
            TaskState::Checkpointing,
            TaskState::Exited
        ]
    );
    assert_eq!(
        keeps_each::<ExitCause>(&golden["causes"]),
        [
            ExitCause::Completed,
            ExitCause::StoppedByCommand,
            ExitCause::GangMemberLost,
            ExitCause::GangTimeout,
            ExitCause::Failed,
            ExitCause::NoRoom,
            ExitCause::AttemptConflict,
            ExitCause::UnknownJob,
            ExitCause::Unknown
        ]
    );
    let answer: HeartbeatReply = keeps(&golden["answer"]);
    assert_eq!((answer.fencing_token, answer.commands.len()), (50_331_648, 3));
    assert!(matches!(answer.commands[0], Command::Start { attempt: 50_331_649, .. }));
    assert!(matches!(answer.commands[1], Command::Stop { attempt: 50_331_650, grace: 5.0, .. }));
    assert!(matches!(answer.commands[2], Command::Acknowledge { attempt: 50_331_651, .. }));
    let direct: DirectCommandBody = keeps(&golden["direct"]);
    assert_eq!((direct.fencing_token, direct.incarnation, direct.commands.len()), (50_331_649, 2, 1));
}

#[test]
fn messages_of_the_cloud_keep_their_form() {
    let golden = protocol();
    let t: MachineType = keeps(&golden["machine_type"]);
    assert_eq!((t.cpus, t.gpus, t.memory, t.cache_gb, t.fetch_gb_per_s), (8.0, 2.0, 64.0, 100.0, 0.5));
    assert_eq!((&*t.name, t.price, t.spot_price, t.boot_s, t.zones.len()), ("large", 1.0, 0.3, 40.0, 2));
    let rental: Rental = keeps(&golden["rental"]);
    assert_eq!((&*rental.request_id, &*rental.kind, &*rental.zone), ("c-3-1", "large", "z1"));
    assert_eq!((rental.spot, rental.count), (true, 12));
    let listed: ListedMachine = keeps(&golden["listed"]);
    assert_eq!((listed.state, listed.age_s, listed.spot), (MachineState::Booting, 12.5, true));
    assert_eq!(
        keeps_each::<MachineState>(&golden["stages"]),
        [MachineState::Booting, MachineState::Running, MachineState::Failed]
    );
}

#[test]
fn messages_of_the_state_service_keep_their_form() {
    let golden = protocol();
    let txn: Txn = keeps(&golden["txn"]);
    assert_eq!(
        (txn.preconditions[0].key.as_str(), txn.preconditions[0].revision, txn.writes.len()),
        ("c2/w/leader", 7, 3)
    );
    let item = serde_json::json!({"path": "c2/p/term", "data": {"term": 3}, "stamp": 9});
    let read: KeyValue = http::decode(&http::encode(&item)).expect("a key");
    assert_eq!((read.key.as_str(), read.revision, read.value.is_map()), ("c2/p/term", 9, true));
    let page = serde_json::json!({"rows": [item], "truncated": true, "epoch": 10});
    let read: KeyPage = http::decode(&http::encode(&page)).expect("a page");
    assert_eq!((read.items.len(), read.truncated, read.revision), (1, true, 10));
    let put = serde_json::json!({"set": "c2/p/term", "data": {"term": 3}, "stamp": 9});
    let read: WatchEvent = http::decode(&http::encode(&put)).expect("a change");
    assert_eq!((read.set.as_deref(), read.delete, read.revision), (Some("c2/p/term"), None, 9));
    let removed: WatchEvent =
        http::decode(&http::encode(&serde_json::json!({"delete": "x", "stamp": 9}))).expect("a change");
    assert_eq!((removed.set, removed.delete.as_deref(), removed.revision), (None, Some("x"), 9));
}

#[test]
fn stored_records_and_keys_keep_their_form() {
    let golden = protocol();
    let leader: LeaderRecord = keeps(&golden["leader"]);
    assert_eq!((leader.name.as_str(), leader.term), ("a", 3));
    let gates: FeatureGates = keeps(&golden["gates"]);
    assert_eq!((gates.enabled.len(), gates.term), (3, 3));
    let member: MemberRecord = keeps(&golden["member"]);
    assert_eq!((member.features.len(), member.version.as_str()), (3, "0.1.0"));
    assert_eq!(gates.enabled, coralnotch_core::feature_gate::SUPPORTED);
    let ranges: Ranges = keeps(&golden["ranges"]);
    assert_eq!(ranges.iter().collect::<Vec<_>>(), [0, 1, 2, 7]);
    let keys = [key::WATCHED, key::JOB, key::OUTCOME, key::LEADER, key::TERM, key::GATES, key::MEMBER, key::TYPES];
    let names = ["", "job/", "fate/", "leader"].map(|k| format!("c2/w/{k}"));
    assert_eq!(keys[..4], names);
    assert_eq!(keys[4..], ["c2/p/term", "c2/w/gates", "c2/p/member/", "c2/w/types"]);
    assert_eq!([key::SHARD, key::RENTAL, key::PREVIOUS_LAYOUT], ["c2/p/page/", "c2/p/rental/", "c1/"]);
}

fn node() -> Controller {
    let config = Config::parse("settings", coralnotch_policy::example::SETTINGS).expect("settings");
    let policy = Policy::new(&config).expect("a policy");
    Controller::new(config, policy, Instant::now())
}

#[test]
fn the_status_answer_keeps_its_form() {
    let golden: Value = serde_json::from_str(include_str!("golden/status.json")).expect("golden values");
    let status: Status = keeps(&golden);
    assert_eq!((status.known_jobs, status.leading.map(|f| f.dependent_jobs)), (3, Some(1)));
    let node = node();
    for (what, name) in [
        (TimedOperation::Submission, "submission"),
        (TimedOperation::Query, "query"),
        (TimedOperation::Cancellation, "withdrawal"),
        (TimedOperation::Commit, "commit"),
        (TimedOperation::Pass, "pass"),
        (TimedOperation::Placement, "placement"),
    ] {
        node.telemetry.record(what, Duration::from_millis(3));
        assert!(node.telemetry.latencies().contains_key(name), "{name}");
    }
    let counters: Vec<String> = node.status(Instant::now()).counters.into_keys().collect();
    assert_eq!(
        counters,
        [
            "commits failed",
            "direct calls",
            "direct calls lost",
            "kept alive",
            "lookups refused",
            "refused",
            "relayed",
            "reports",
            "reports forwarded",
            "requests"
        ]
    );
}

fn hex(message: &impl Message) -> String {
    message.encode_to_vec().iter().map(|b| format!("{b:02x}")).collect()
}

/// Field numbers and types of what passes between controllers, by the bytes of one message each.
#[test]
fn messages_between_controllers_keep_their_form() {
    let withdrawal = || wire::Withdrawal { stamp: 5, id: "j-1".into() };
    let report = wire::Report { full: vec![1, 2], machine: "i-1".into(), session: 3, tally: 4, after: 5 };
    let batch = wire::ReportBatch { from: "a".into(), term: 3, reports: vec![report] };
    assert_eq!(hex(&batch), "0a016110031a0f0a020102120369 2d31 1803 2004 2805".replace(' ', ""));
    let answer = wire::ReportAnswer { status: 200, body: vec![9], token: 7 };
    assert_eq!(
        hex(&wire::ReportAnswers { term: 3, answers: vec![answer] }),
        "08031208 08c801 120109 1807".replace(' ', "")
    );
    assert_eq!(hex(&wire::TellRequest { known: vec![withdrawal()] }), "0a0708051203 6a2d31".replace(' ', ""));
    assert_eq!(hex(&wire::TellResponse { clear: vec!["j-1".into()] }), "0a036a2d31");
    let relay = wire::RelayRequest { method: "GET".into(), path: "/x".into(), body: vec![1] };
    assert_eq!(hex(&relay), "0a034745541202 2f78 1a0101".replace(' ', ""));
    let relayed = wire::RelayResponse { status: 200, body: vec![1], retry_after_s: 2 };
    assert_eq!(hex(&relayed), "08c801 120101 1802".replace(' ', ""));
    let ask = wire::StatusRequest {
        progress: true,
        from: "a".into(),
        knows: vec!["chains".into()],
        withdrawn_since: Some(9),
        withdrawn_life: 8,
        withdrawn_had: 7,
        without_machines: true,
    };
    assert_eq!(hex(&ask), "0801 120161 1a06636861696e73 2009 2808 3007 3801".replace(' ', ""));
    let stands = wire::StatusResponse {
        served: true,
        term: 3,
        leads: true,
        jobs: vec![wire::Progress { id: "j-1".into(), done: 1, running: 2 }],
        machines: vec![wire::Learned {
            machine: "i-1".into(),
            speed: 1.0,
            samples: 2,
            images: vec![0],
            heard_ms: Some(6),
        }],
        images: vec![wire::Image { name: "g".into(), gb: 2.0 }],
        heard_ms: Some(4),
        knows: vec!["told".into()],
        version: "0".into(),
        account: Some(wire::Account { life: 1, known: vec![withdrawal()], next: 2, whole: true }),
        spread: true,
    };
    let expected = "0801 1003 1801 22090a036a2d3110011802 2a150a03692d3111000000000000f03f18022201002806 \
                    320c0a01671100000000000000 40 3804 4204746f6c64 4a0130 520f080112070805 12036a2d31 1802 2001 5801";
    assert_eq!(hex(&stands), expected.replace(' ', ""));
}

/// Service and methods: the paths of HTTP/2 requests.
#[test]
fn the_service_between_controllers_keeps_its_name() {
    let proto = include_str!("../proto/peer.proto");
    assert!(proto.contains("package coralnotch.peer;") && proto.contains("service Peer {"));
    let methods: Vec<_> = proto.lines().filter_map(|l| l.trim().strip_prefix("rpc ")?.split('(').next()).collect();
    assert_eq!(methods, ["Relay", "Status", "Tell", "Report"]);
}

/// Every setting is read, and every tunable keeps its name and its default.
#[test]
fn settings_and_policy_names_keep_their_form() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_coralnotch"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["check", "--config", "examples/settings.toml"])
        .output()
        .expect("the program runs");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    // a line's place in the default policy may move
    let printed = String::from_utf8_lossy(&out.stdout);
    let tunables: Vec<&str> = printed.lines().filter_map(|l| l.split("  ((default policy)").next()).collect();
    assert_eq!(tunables, include_str!("golden/check.txt").lines().collect::<Vec<_>>());
}
