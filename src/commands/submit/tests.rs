use super::answers::answer_text;
use super::input::parse_jobs;
use super::*;
use coralnotch_client::FinalAnswer;

const JOB: &str = r#"{"lane":"demo","crew":"demo","shape":"batch","rank":"normal","pieces":1,"cpus":1.0,"accelerators":0.0,"memGb":1.0,"bundle":"i","sizeGb":0.1,"oneZone":false,"spread":false,"driftwood":true,"expectS":1.0,"markEveryS":0.0,"markTakesS":0.0}"#;

#[test]
fn a_text_has_one_job_or_one_per_line_and_all_its_errors_are_reported() {
    let pretty = JOB.replace(",\"", ",\n\"");
    assert_eq!(parse_jobs("f", &pretty).expect("one job on several lines is valid").len(), 1);
    let many = parse_jobs("f", &format!("{JOB}\n\n{JOB}\n")).expect("two jobs are valid");
    assert_ne!(many[0].id, many[1].id);
    let with_id = JOB.replacen('{', "{\"nameId\":\"j-1\",", 1);
    let faults = parse_jobs("f", &format!("{with_id}\n{with_id}\n{{}}\nnonsense\n"))
        .expect_err("three jobs are invalid")
        .to_string();
    for part in ["f: line 2: duplicate job id j-1", "f: line 3: missing field", "f: line 4:"] {
        assert!(faults.contains(part), "{part} is missing in {faults}");
    }
}

/// Guards against an error that hides others: all invalid dependencies are reported together, with file
/// and job.
#[test]
fn invalid_dependencies_are_reported_together() {
    let job = |id: &str, shape: &str, needs: &str| {
        let job = JOB.replacen('{', &format!("{{\"nameId\":\"{id}\",\"awaits\":{needs},"), 1);
        job.replace("batch", shape)
    };
    let good =
        [job("j-3", "batch", "[\"j-2\",\"j-1\"]"), job("j-2", "group", "[\"j-1\"]"), job("j-1", "batch", "null")];
    assert_eq!(parse_jobs("f", &good.join("\n")).expect("dependencies may come in any order").len(), 3);
    let bad = [
        job("j-1", "standing", "[]"),
        job("j-2", "batch", "[\"j-1\"]"),
        job("j-3", "batch", "[\"j-4\"]"),
        job("j-4", "batch", "[\"j-3\"]"),
        job("j-5", "batch", "[\"j-5\"]"),
        job("j-6", "batch", "7"),
    ];
    let faults = parse_jobs("f", &bad.join("\n")).expect_err("five jobs are invalid").to_string();
    for part in [
        "j-2 depends on j-1, a service",
        "f: j-3 depends on itself",
        "f: j-4 depends on",
        "f: j-5 depends on",
        "f: line 6:",
    ] {
        assert!(faults.contains(part), "{part} is missing in {faults}");
    }
    assert_eq!(faults.lines().count(), 5);
    assert!(parse_jobs("f", &job("j-5", "batch", "[\"j-5\"]")).is_err());
}

/// Guards against lost and duplicate answers after a crash in the middle of a write: an incomplete line
/// is written again, a complete one is not.
#[test]
fn the_answers_file_has_one_complete_line_per_job() {
    let path = std::env::temp_dir().join(format!("coralnotch-answers-{}", std::process::id()));
    let line = |id: &str| AnswerLine { id: id.into(), answer: FinalAnswer::Done };
    std::fs::write(&path, "{\"id\":\"j-1\",\"answer\":\"done\"}\n{\"id\":\"j-2\",\"ans").expect("the file is written");
    let mut answers = AnswersFile::open(&path).expect("an incomplete last line is removed");
    for id in ["j-1", "j-2", "j-2"] {
        answers.add(&line(id)).expect("the answer is written");
    }
    let text = std::fs::read_to_string(&path).expect("the file is readable");
    std::fs::write(&path, "something else\n").expect("the file is written");
    assert!(AnswersFile::open(&path).is_err());
    std::fs::remove_file(&path).expect("the file exists");
    assert_eq!(text, "{\"id\":\"j-1\",\"answer\":\"done\"}\n{\"id\":\"j-2\",\"answer\":\"done\"}\n");
}

/// Users' programs read the lines of `submit --out`, so their format must not change.
#[test]
fn the_json_lines_of_answers_keep_their_format() {
    let refused = FinalAnswer::Refused { status: 422, reason: "too large".into() };
    for (answer, expected) in [
        (FinalAnswer::Done, r#"{"id":"j-1","answer":"done"}"#),
        (FinalAnswer::Cancelled, r#"{"id":"j-1","answer":"cancelled"}"#),
        (refused, r#"{"id":"j-1","answer":{"refused":{"status":422,"why":"too large"}}}"#),
    ] {
        let line = AnswerLine { id: "j-1".into(), answer };
        assert_eq!(serde_json::to_string(&line).expect("the line is encoded"), expected);
        assert_eq!(serde_json::from_str::<AnswerLine>(expected).expect("the line is decoded"), line);
    }
}

/// The texts that are printed for people must not change either.
#[test]
fn the_texts_of_answers_keep_their_format() {
    let text = |answer| answer_text(&AnswerLine { id: "j-1".into(), answer });
    assert_eq!(text(FinalAnswer::Done), "j-1 is done");
    assert_eq!(text(FinalAnswer::Cancelled), "j-1 is cancelled");
    assert_eq!(text(FinalAnswer::Refused { status: 400, reason: "pieces".into() }), "j-1 is refused: 400 pieces");
}
