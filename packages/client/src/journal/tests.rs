use super::*;
use crate::model::FinalAnswer;
use coralnotch_wire::example::job_array;
use std::{fs, io};

/// A file in the temporary directory that is removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("coralnotch-journal-{}-{name}", std::process::id()));
        let _ = fs::remove_file(&path);
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

#[test]
fn records_survive_reopening() {
    let file = TempFile::new("again");
    let journal = Journal::open(&file.0).expect("a new journal");
    assert!(matches!(Journal::open(&file.0), Err(JournalError::AlreadyOpen { .. })));
    journal.add(&[job_array("j-1", 1), job_array("j-2", 2)], Some("a")).expect("a successful write");
    assert_eq!(
        journal.add(&[job_array("j-9", 1)], Some("a")).expect("a successful write"),
        None,
        "the journal already has a batch of that name"
    );
    journal.update(&["j-2".into(), "j-3".into()], |r| r.answer = Some(FinalAnswer::Done)).expect("a successful write");
    drop(journal);
    let journal = Journal::open(&file.0).expect("the journal");
    let records = journal.read_all().expect("two jobs");
    let found: Vec<_> = records.iter().map(|r| (&*r.spec.id, r.answer.clone())).collect();
    assert_eq!(found, [("j-1", None), ("j-2", Some(FinalAnswer::Done))]);
    // Adding the same job again changes nothing.  A batch with a different job
    // under an existing id is rejected as a whole.
    assert_eq!(
        journal.add(&[job_array("j-2", 2)], None).expect("the same specification").expect("no batch")[0].answer,
        Some(FinalAnswer::Done)
    );
    assert!(
        matches!(journal.add(&[job_array("j-4", 1), job_array("j-2", 9)], None), Err(JournalError::IdTaken { id }) if id == "j-2")
    );
    assert_eq!(journal.read_all().expect("readable").len(), 2);
    journal.remove("j-2").expect("a successful write");
    assert_eq!(journal.read_all().expect("readable").len(), 1);
}

/// Guards against overwriting a file that is not a journal, has another layout
/// version or has a damaged record.
#[test]
fn damaged_and_foreign_files_are_reported_and_not_modified() {
    let file = TempFile::new("foreign");
    let text = b"the only copy of something else\n".repeat(200);
    fs::write(&file.0, &text).expect("a file");
    assert!(matches!(Journal::open(&file.0), Err(JournalError::Corrupt { .. })));
    assert_eq!(fs::read(&file.0).expect("the file"), text);
    let file = TempFile::new("layout");
    let journal = Journal::open(&file.0).expect("a new journal");
    let txn = journal.database.begin_write().expect("a transaction");
    txn.open_table(META).expect("a table").insert("layout", "7").expect("a successful write");
    txn.commit().expect("a successful write");
    drop(journal);
    assert!(matches!(Journal::open(&file.0), Err(JournalError::UnsupportedLayout { found, .. }) if found == "7"));
    let file = TempFile::new("record");
    let journal = Journal::open(&file.0).expect("a new journal");
    let txn = journal.database.begin_write().expect("a transaction");
    txn.open_table(JOBS).expect("a table").insert("j-1", &b"{\"spec\":"[..]).expect("a successful write");
    txn.commit().expect("a successful write");
    assert!(matches!(journal.read_all(), Err(JournalError::Corrupt { .. })));
    assert!(
        matches!(journal.add(&[job_array("j-1", 1)], None), Err(JournalError::Corrupt { .. })),
        "the damaged record was overwritten"
    );
}

#[test]
fn messages_of_system_errors_say_what_to_do() {
    let message = |kind: io::ErrorKind| from_io_error(Path::new("x"), &kind.into()).to_string();
    assert!(message(io::ErrorKind::StorageFull).contains("free some"));
    assert!(message(io::ErrorKind::ReadOnlyFilesystem).contains("mounted"));
    assert!(message(io::ErrorKind::PermissionDenied).contains("owns"));
    assert!(matches!(Journal::open(Path::new("/no/such/dir/journal")), Err(JournalError::Io { .. })));
}

/// Guards against changes of the stored layout: each version must read the journals of
/// earlier and later versions.  Table names, keys and rows are compared byte by byte.
#[test]
fn journal_has_the_golden_tables_keys_and_rows() {
    let file = TempFile::new("golden");
    let journal = Journal::open(&file.0).expect("a new journal");
    journal
        .add(&["j-1", "j-2", "j-3", "j-4", "j-5"].map(|id| job_array(id, 2)), Some("a batch"))
        .expect("a successful write");
    journal.update(&["j-2".into()], |r| r.accepted = true).expect("a successful write");
    journal
        .update(&["j-3".into()], |r| (r.cancel_requested, r.answer) = (true, Some(FinalAnswer::Cancelled)))
        .expect("a successful write");
    journal.update(&["j-4".into()], |r| r.answer = Some(FinalAnswer::Done)).expect("a successful write");
    let refused = FinalAnswer::Refused { status: 422, reason: "too large".into() };
    journal.update(&["j-5".into()], |r| r.answer = Some(refused.clone())).expect("a successful write");
    drop(journal);
    let db = Database::open(&file.0).expect("the file");
    let txn = db.begin_read().expect("a transaction");
    let rows = txn.open_table(TableDefinition::<&str, &[u8]>::new("jobs")).expect("the table jobs");
    for (id, row_end) in [
        ("j-1", r#""accepted":false,"withdrawn":false,"answer":null}"#),
        ("j-2", r#""accepted":true,"withdrawn":false,"answer":null}"#),
        ("j-3", r#""accepted":false,"withdrawn":true,"answer":"cancelled"}"#),
        ("j-4", r#""accepted":false,"withdrawn":false,"answer":"done"}"#),
        ("j-5", r#""accepted":false,"withdrawn":false,"answer":{"refused":{"status":422,"why":"too large"}}}"#),
    ] {
        let row = rows.get(id).expect("readable").expect("a row").value().to_vec();
        let expected_row = format!("{{\"spec\":{},{row_end}", GOLDEN_SPEC.replace("ID", id));
        assert_eq!(String::from_utf8(row).expect("text"), expected_row, "{id}");
    }
    let meta = txn.open_table(TableDefinition::<&str, &str>::new("meta")).expect("the table meta");
    assert_eq!(meta.get("layout").expect("readable").expect("a layout").value(), "1");
    let batches = txn.open_table(TableDefinition::<&str, u64>::new("batches")).expect("the table batches");
    assert_eq!(batches.get("a batch").expect("readable").expect("a batch").value(), 5);
    assert_eq!(batches.iter().expect("readable").count(), 1);
    // In the other direction, a golden row is decoded into the original record.
    let row = format!(
        "{{\"spec\":{},\"accepted\":true,\"withdrawn\":true,\"answer\":null}}",
        GOLDEN_SPEC.replace("ID", "j-6")
    );
    let read: JobRecord = serde_json::from_str(&row).expect("a record");
    assert_eq!(
        read,
        JobRecord { spec: (*job_array("j-6", 2)).clone(), accepted: true, cancel_requested: true, answer: None }
    );
}

/// The specification in a golden row; `ID` stands for the job id.
const GOLDEN_SPEC: &str = r#"{"nameId":"ID","lane":"c","crew":"x","shape":"batch","rank":"normal","pieces":2,"cpus":1.0,"accelerators":0.0,"memGb":1.0,"bundle":"img-0","sizeGb":1.0,"hulls":null,"bay":null,"oneZone":false,"spread":false,"driftwood":true,"expectS":10.0,"markEveryS":0.0,"markTakesS":0.0,"dueS":null}"#;
