//! `coralnotch submit`: jobs from a file, pursued by the client library.
//!
//! With a journal and a file for answers, the command may die and be started
//! again with the same arguments at any moment: no job is submitted twice, and
//! the file has one line for each job in the end.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{self, IsTerminal, Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use coralnotch_client::{fresh_id, Change, Client, Error, Final, JobHandle, Settings};
use futures_util::stream::{FuturesUnordered, StreamExt};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::commands::client::{print_line, ControllerClient, EXIT_BAD_INPUT};
use crate::model::{JobSpec, Name, Shape};

/// How to submit.
#[derive(Debug, Clone, clap::Args)]
pub struct SubmitOptions {
    /// Where controllers or a load balancer listen for users; several are
    /// tried in turn.
    #[arg(long, value_name = "IP:PORT", value_delimiter = ',', required = true)]
    node: Vec<SocketAddr>,
    /// Wait for the final answer of each job.
    #[arg(long)]
    wait: bool,
    /// Keep the jobs here until their answers are taken: the same command
    /// again goes on where it was.
    #[arg(long, value_name = "FILE", requires = "wait")]
    journal: Option<PathBuf>,
    /// Append each final answer to this file, a JSON line each, once.
    #[arg(long, value_name = "FILE", requires = "wait")]
    out: Option<PathBuf>,
    /// For how many seconds to try until a job is accepted, or with --wait,
    /// over; 0 for as long as it takes.
    #[arg(long, default_value_t = 60)]
    patience: u64,
    /// Print JSON, for programs.
    #[arg(long)]
    json: bool,
}

/// A final answer, as a line of output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The job.
    pub id: Name,
    /// Its answer.
    pub answer: Final,
}

fn answer_text(l: &Line) -> String {
    match &l.answer {
        Final::Done => format!("{} is done", l.id),
        Final::Cancelled => format!("{} is cancelled", l.id),
        Final::Refused { status, reason } => format!("{} is refused: {status} {reason}", l.id),
    }
}

/// Answers on disk: whole lines only, each durable before it counts.
struct AnswersFile {
    file: File,
    answered: HashSet<Name>,
}

impl AnswersFile {
    fn open(path: &Path) -> Result<AnswersFile, String> {
        let fault = |e: io::Error| format!("{}: {e}", path.display());
        let mut file = File::options().read(true).write(true).create(true).truncate(false).open(path).map_err(fault)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text).map_err(fault)?;
        // what a crash cut off is written again
        let whole = text.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
        let mut answered = HashSet::new();
        for (n, line) in text[..whole].split(|b| *b == b'\n').filter(|l| !l.is_empty()).enumerate() {
            let l: Line =
                serde_json::from_slice(line).map_err(|e| format!("{}: line {}: {e}", path.display(), n + 1))?;
            answered.insert(l.id);
        }
        file.set_len(whole as u64).map_err(fault)?;
        file.seek(SeekFrom::End(0)).map_err(fault)?;
        Ok(AnswersFile { file, answered })
    }

    fn add(&mut self, line: &Line) -> io::Result<()> {
        if self.answered.contains(&line.id) {
            return Ok(());
        }
        let mut bytes = serde_json::to_vec(line)?;
        bytes.push(b'\n');
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.answered.insert(line.id.clone());
        Ok(())
    }
}

/// Jobs of a text: one, or one a line.  The error is all that is wrong.
fn parse_jobs(file: &str, text: &str) -> Result<Vec<JobSpec>, String> {
    let one = |text: &str| -> Result<JobSpec, String> {
        let mut v: serde_json::Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if let Some(m) = v.as_object_mut().filter(|m| m.get("nameId").is_none_or(|i| i.is_null())) {
            m.insert("nameId".into(), fresh_id().map_err(|e| e.to_string())?.as_ref().into());
        }
        let spec: JobSpec = serde_json::from_value(v).map_err(|e| e.to_string())?;
        match spec.validation_error() {
            Some(why) => Err(format!("bad value: {why}")),
            None => Ok(spec),
        }
    };
    let lines: Vec<&str> = text.lines().filter(|l| !l.trim().is_empty()).collect();
    // a job may be spread over lines; many are a line each
    let many = lines.len() > 1 && serde_json::from_str::<serde_json::Value>(lines[0]).is_ok();
    if !many {
        let specs = one(text).map(|s| vec![s]).map_err(|e| format!("{file}: {e}"))?;
        let wrong = check_dependencies(file, &specs);
        return if wrong.is_empty() { Ok(specs) } else { Err(wrong.join("\n")) };
    }
    let (mut specs, mut wrong, mut ids) = (Vec::new(), Vec::new(), HashSet::new());
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        match one(line) {
            Ok(s) if !ids.insert(s.id.clone()) => {
                wrong.push(format!("{file}: line {}: {} is there twice", n + 1, s.id))
            }
            Ok(s) => specs.push(s),
            Err(e) => wrong.push(format!("{file}: line {}: {e}", n + 1)),
        }
    }
    wrong.extend(check_dependencies(file, &specs));
    match wrong.is_empty() {
        true => Ok(specs),
        false => Err(wrong.join("\n")),
    }
}

/// What is wrong with what the jobs of a file need, as far as the file tells: a
/// service is never done, and jobs that wait for one another never start.
fn check_dependencies(file: &str, specs: &[JobSpec]) -> Vec<String> {
    let by_id: HashMap<&Name, &JobSpec> = specs.iter().map(|s| (&s.id, s)).collect();
    let mut wrong = Vec::new();
    for s in specs {
        let services = s.needs.iter().filter_map(|n| by_id.get(n)).filter(|n| n.shape == Shape::Service);
        wrong.extend(services.map(|n| format!("{file}: {} needs {}, a service, which is never done", s.id, n.id)));
    }
    // what needs nothing else of the file goes first; what is left goes round
    let inside = |s: &JobSpec| s.needs.iter().filter(|n| by_id.contains_key(*n)).count();
    let mut left: HashMap<&Name, usize> = specs.iter().map(|s| (&s.id, inside(s))).collect();
    let mut after: HashMap<&Name, Vec<&Name>> = HashMap::new();
    for s in specs {
        s.needs.iter().for_each(|n| after.entry(n).or_default().push(&s.id));
    }
    let mut next: Vec<&Name> = left.iter().filter(|l| *l.1 == 0).map(|l| *l.0).collect();
    while let Some(id) = next.pop() {
        left.remove(id);
        for a in after.get(id).into_iter().flatten() {
            if let Some(n) = left.get_mut(a) {
                *n -= 1;
                if *n == 0 {
                    next.push(a);
                }
            }
        }
    }
    let round = specs.iter().filter(|s| left.contains_key(&s.id));
    wrong.extend(round.map(|s| format!("{file}: {} needs itself, or waits for jobs that do", s.id)));
    wrong
}

/// Names that the jobs need, that are not among them and that no controller
/// knows.
async fn check_unknown(file: &str, specs: &[JobSpec], options: &SubmitOptions) -> Result<Vec<String>, Failed> {
    let own: HashSet<&Name> = specs.iter().map(|s| &s.id).collect();
    let mut known: HashMap<&Name, bool> = HashMap::new();
    let mut wrong = Vec::new();
    let patience = Duration::from_secs(if options.patience > 0 { options.patience } else { u64::MAX / 4 });
    let Some(node) = options.node.first() else { return Ok(wrong) };
    let controller = ControllerClient::new(*node, patience);
    for s in specs {
        for n in s.needs.iter().filter(|n| !own.contains(n)) {
            let found = match known.get(n) {
                Some(found) => *found,
                None => match controller.job(n).await {
                    Ok(_) => true,
                    Err(crate::commands::client::Error::Refused { status: 404, .. }) => false,
                    Err(e) => return Err(Failed(1, e.to_string())),
                },
            };
            known.insert(n, found);
            if !found {
                wrong.push(format!("{file}: {} needs {n}, which nobody submitted", s.id));
            }
        }
    }
    Ok(wrong)
}

fn read(file: &str) -> Result<String, String> {
    let mut text = String::new();
    let read = match file {
        "-" => io::stdin().read_to_string(&mut text).map(|_| ()),
        f => std::fs::read_to_string(f).map(|t| text = t),
    };
    read.map(|()| text).map_err(|e| format!("{file}: {e}"))
}

/// Why it came to nothing, with the exit code.
struct Failed(u8, String);

impl From<Error> for Failed {
    fn from(e: Error) -> Failed {
        let code = match e {
            Error::Settings(_) | Error::InvalidJob { .. } | Error::BatchTooLarge { .. } | Error::Journal(_) => {
                EXIT_BAD_INPUT
            }
            Error::Deadline { .. } | Error::Closed | Error::Random(_) => 1,
        };
        Failed(code, e.to_string())
    }
}

/// Runs the command.
pub fn run(file: &str, options: &SubmitOptions) -> ExitCode {
    match smol::block_on(submit(file, options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(Failed(code, why)) => {
            eprintln!("coralnotch: {why}");
            ExitCode::from(code)
        }
    }
}

/// Whether all went well.
async fn submit(file: &str, options: &SubmitOptions) -> Result<bool, Failed> {
    let bad = |e: String| Failed(EXIT_BAD_INPUT, e);
    let input = read(file).map_err(bad)?;
    let specs = parse_jobs(file, &input).map_err(bad)?;
    let wrong = check_unknown(file, &specs, options).await?;
    if !wrong.is_empty() {
        return Err(Failed(EXIT_BAD_INPUT, wrong.join("\n")));
    }
    let mut answers = options.out.as_deref().map(AnswersFile::open).transpose().map_err(bad)?;
    let mut settings = Settings::new(options.node.clone());
    settings.journal = options.journal.clone();
    settings.max_unfinished_jobs = settings.max_unfinished_jobs.max(specs.len());
    settings.change_buffer = settings.change_buffer.max(specs.len() * 2);
    let client = Client::open(settings).await?;
    let deadline = (options.patience > 0).then(|| Instant::now() + Duration::from_secs(options.patience));
    let mut changes = client.changes();
    let total = specs.len() as u64;
    if options.journal.is_some() {
        // what this file is, not where: its jobs are taken in once
        let batch: String = Sha256::digest(input.as_bytes()).iter().map(|b| format!("{b:02x}")).collect();
        if client.submit_once(&batch, specs).await?.is_none() {
            eprintln!("coralnotch: {file} was taken in before; going on with what is left");
        }
    } else {
        client.submit_all(specs).await?;
    }
    let handles = client.resumed();
    if !options.wait {
        return wait_for_acceptances(&handles, &mut changes, deadline, options.json).await;
    }
    let bar = match total > 1 && io::stderr().is_terminal() {
        true => ProgressBar::with_draw_target(Some(total), ProgressDrawTarget::stderr()),
        false => ProgressBar::hidden(),
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} over, {elapsed}") {
        bar.set_style(style);
    }
    bar.set_position(total.saturating_sub(handles.len() as u64));
    let wait = |h: JobHandle| async move {
        let got = match deadline {
            Some(t) => h.wait_until(t).await,
            None => h.wait().await,
        };
        (h, got)
    };
    let mut waiting: FuturesUnordered<_> = handles.into_iter().map(wait).collect();
    let (mut well, mut late) = (true, 0);
    while let Some((handle, got)) = waiting.next().await {
        let answer = match got {
            Err(Error::Deadline { .. }) => {
                late += 1;
                continue;
            }
            other => other?,
        };
        well &= answer == Final::Done;
        let line = Line { id: handle.id().clone(), answer };
        match answers.as_mut() {
            Some(a) => a.add(&line).map_err(|e| Failed(1, format!("the answers' file: {e}")))?,
            None if options.json => print_line(&serde_json::to_string(&line).unwrap_or_default()),
            None => bar.suspend(|| print_line(&answer_text(&line))),
        }
        bar.inc(1);
        handle.take().await?;
    }
    bar.finish_and_clear();
    if late > 0 {
        let again = match options.journal {
            Some(_) => "they are in the journal: the same command goes on with them",
            None => "with --journal the same command would go on with them",
        };
        return Err(Failed(1, format!("{late} jobs have no final answer yet; {again}")));
    }
    Ok(well)
}

/// Waits until each job is accepted or over, and prints it.
async fn wait_for_acceptances(
    handles: &[JobHandle],
    changes: &mut async_broadcast::Receiver<Change>,
    deadline: Option<Instant>,
    json: bool,
) -> Result<bool, Failed> {
    let mut open: HashSet<Name> = handles.iter().map(|h| h.id().clone()).collect();
    let mut well = true;
    while !open.is_empty() {
        let next = async { changes.recv().await.ok() };
        let late = async {
            match deadline {
                Some(t) => drop(smol::Timer::at(t).await),
                None => std::future::pending().await,
            }
            None
        };
        let Some(c) = futures_lite::future::or(next, late).await else {
            let ids: Vec<&str> = open.iter().map(|i| &**i).take(3).collect();
            return Err(Failed(
                1,
                format!(
                    "gave up: {} jobs are not accepted yet ({} …); is a controller running there?",
                    open.len(),
                    ids.join(", ")
                ),
            ));
        };
        if !open.remove(&c.id) {
            continue;
        }
        well &= !matches!(c.answer, Some(Final::Refused { .. }));
        let stage = match &c.answer {
            None => "accepted".to_owned(),
            Some(a) => answer_text(&Line { id: c.id.clone(), answer: a.clone() }),
        };
        print_line(&match (json, &c.answer) {
            (true, a) => serde_json::json!({ "id": c.id, "accepted": true, "answer": a }).to_string(),
            (false, None) => format!("{} is {stage}", c.id),
            (false, Some(_)) => stage,
        });
    }
    Ok(well)
}

#[cfg(test)]
mod tests;
