//! `coralnotch submit`: jobs from a file, pursued by the client library.
//!
//! With a journal and a file for answers, the command may die and be started
//! again with the same arguments at any moment: no job is submitted twice, and
//! the file has one line for each job in the end.

mod acceptance;
mod answers;
mod completion;
mod dependencies;
mod error;
mod input;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use coralnotch_client::{Client, Settings};
use sha2::{Digest, Sha256};

use self::answers::AnswersFile;
use self::error::SubmitError;
use crate::model::JobSpec;

pub use self::answers::AnswerLine;

/// How to submit.  The doc comments of the fields are the command's help.
#[derive(Debug, Clone, clap::Args)]
pub struct SubmitOptions {
    /// Where controllers or a load balancer listen for users; several are
    /// tried in turn.
    #[arg(long = "node", value_name = "IP:PORT", value_delimiter = ',', required = true)]
    nodes: Vec<SocketAddr>,
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

/// Runs the command: 0 if all jobs went well, 1 if one was refused or cancelled
/// or has no answer in time, 2 if what was given can't be used.
pub fn submit(file: &str, options: &SubmitOptions) -> ExitCode {
    match smol::block_on(try_submit(file, options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("coralnotch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Whether all jobs went well.
async fn try_submit(file: &str, options: &SubmitOptions) -> Result<bool, SubmitError> {
    let input = input::read(file)?;
    let specs = input::parse_jobs(file, &input)?;
    dependencies::check_unknown(file, &specs, options).await?;
    let answers = options.out.as_deref().map(AnswersFile::open).transpose()?;
    let client = Client::open(client_settings(options, specs.len())).await?;
    let deadline = (options.patience > 0).then(|| Instant::now() + Duration::from_secs(options.patience));
    // from before the first submission, so that no acceptance is missed
    let mut changes = client.changes();
    let job_count = specs.len();
    hand_over(&client, file, &input, specs, options).await?;
    let handles = client.resumed();
    match options.wait {
        true => completion::wait_for_answers(handles, job_count, answers, deadline, options).await,
        false => acceptance::wait_for_acceptances(&handles, &mut changes, deadline, options.json).await,
    }
}

fn client_settings(options: &SubmitOptions, job_count: usize) -> Settings {
    let mut settings = Settings::new(options.nodes.clone());
    settings.journal = options.journal.clone();
    settings.max_unfinished_jobs = settings.max_unfinished_jobs.max(job_count);
    settings.change_buffer = settings.change_buffer.max(job_count * 2);
    settings
}

/// Submits the jobs; with a journal, those of one input only once.
async fn hand_over(
    client: &Client,
    file: &str,
    input: &str,
    specs: Vec<JobSpec>,
    options: &SubmitOptions,
) -> Result<(), SubmitError> {
    if options.journal.is_none() {
        client.submit_all(specs).await?;
        return Ok(());
    }
    // the input's content, wherever it comes from
    let batch: String = Sha256::digest(input.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    if client.submit_once(&batch, specs).await?.is_none() {
        eprintln!("coralnotch: {file} was taken in before; going on with what is left");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
