use super::answers::answer_text;
use super::input::parse_jobs;
use super::*;
use coralnotch_client::FinalAnswer;

const JOB: &str = r#"{"lane":"demo","crew":"demo","shape":"batch","rank":"normal","pieces":1,"cpus":1.0,"accelerators":0.0,"memGb":1.0,"bundle":"i","sizeGb":0.1,"oneZone":false,"spread":false,"driftwood":true,"expectS":1.0,"markEveryS":0.0,"markTakesS":0.0}"#;

#[test]
fn one_job_or_one_a_line_and_all_errors_at_once() {
    let pretty = JOB.replace(",\"", ",\n\"");
    assert_eq!(parse_jobs("f", &pretty).expect("one job over lines").len(), 1);
    let many = parse_jobs("f", &format!("{JOB}\n\n{JOB}\n")).expect("two jobs");
    assert_ne!(many[0].id, many[1].id);
    let own = JOB.replacen('{', "{\"nameId\":\"j-1\",", 1);
    let faults = parse_jobs("f", &format!("{own}\n{own}\n{{}}\nnonsense\n")).expect_err("three faults").to_string();
    for part in ["f: line 2: j-1 is there twice", "f: line 3: missing field", "f: line 4:"] {
        assert!(faults.contains(part), "{part} is missing in {faults}");
    }
}

/// All faults of dependencies are reported at once, with file and job.
#[test]
fn all_faults_of_dependencies_are_reported_at_once() {
    let job = |id: &str, shape: &str, needs: &str| {
        let job = JOB.replacen('{', &format!("{{\"nameId\":\"{id}\",\"awaits\":{needs},"), 1);
        job.replace("batch", shape)
    };
    let good =
        [job("j-3", "batch", "[\"j-2\",\"j-1\"]"), job("j-2", "group", "[\"j-1\"]"), job("j-1", "batch", "null")];
    assert_eq!(parse_jobs("f", &good.join("\n")).expect("in any order").len(), 3);
    let bad = [
        job("j-1", "standing", "[]"),
        job("j-2", "batch", "[\"j-1\"]"),
        job("j-3", "batch", "[\"j-4\"]"),
        job("j-4", "batch", "[\"j-3\"]"),
        job("j-5", "batch", "[\"j-5\"]"),
        job("j-6", "batch", "7"),
    ];
    let faults = parse_jobs("f", &bad.join("\n")).expect_err("five faults").to_string();
    for part in ["j-2 needs j-1, a service", "f: j-3 needs itself", "f: j-4 needs", "f: j-5 needs", "f: line 6:"] {
        assert!(faults.contains(part), "{part} is missing in {faults}");
    }
    assert_eq!(faults.lines().count(), 5);
    assert!(parse_jobs("f", &job("j-5", "batch", "[\"j-5\"]")).is_err());
}

/// A line that a crash cut off is written again, a whole one never.
#[test]
fn answers_have_one_whole_line_a_job() {
    let path = std::env::temp_dir().join(format!("coralnotch-answers-{}", std::process::id()));
    let line = |id: &str| AnswerLine { id: id.into(), answer: FinalAnswer::Done };
    std::fs::write(&path, "{\"id\":\"j-1\",\"answer\":\"done\"}\n{\"id\":\"j-2\",\"ans").expect("a file");
    let mut answers = AnswersFile::open(&path).expect("answers");
    for id in ["j-1", "j-2", "j-2"] {
        answers.add(&line(id)).expect("room");
    }
    let text = std::fs::read_to_string(&path).expect("the file");
    std::fs::write(&path, "something else\n").expect("a file");
    assert!(AnswersFile::open(&path).is_err());
    std::fs::remove_file(&path).expect("it is there");
    assert_eq!(text, "{\"id\":\"j-1\",\"answer\":\"done\"}\n{\"id\":\"j-2\",\"answer\":\"done\"}\n");
}

/// The lines of `submit --out` are read by users' programs: their form is pinned.
#[test]
fn golden_lines_of_answers() {
    let refused = FinalAnswer::Refused { status: 422, reason: "too large".into() };
    for (answer, want) in [
        (FinalAnswer::Done, r#"{"id":"j-1","answer":"done"}"#),
        (FinalAnswer::Cancelled, r#"{"id":"j-1","answer":"cancelled"}"#),
        (refused, r#"{"id":"j-1","answer":{"refused":{"status":422,"why":"too large"}}}"#),
    ] {
        let line = AnswerLine { id: "j-1".into(), answer };
        assert_eq!(serde_json::to_string(&line).expect("JSON"), want);
        assert_eq!(serde_json::from_str::<AnswerLine>(want).expect("a line"), line);
    }
}

/// What is printed for people is pinned as well.
#[test]
fn golden_answers_in_words() {
    let words = |answer| answer_text(&AnswerLine { id: "j-1".into(), answer });
    assert_eq!(words(FinalAnswer::Done), "j-1 is done");
    assert_eq!(words(FinalAnswer::Cancelled), "j-1 is cancelled");
    assert_eq!(words(FinalAnswer::Refused { status: 400, reason: "pieces".into() }), "j-1 is refused: 400 pieces");
}
