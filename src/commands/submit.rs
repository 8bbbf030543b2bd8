//! `coralnotch submit`: submits the jobs of a file through the client library.
//!
//! With a journal and an answers file, the command may be killed at any time and run again with the
//! same arguments: no job is submitted twice, and the file finally has one line for each job.

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

/// Options of `submit`.  The doc comments of the fields are the help texts of the command.
#[derive(Debug, Clone, clap::Args)]
pub struct SubmitOptions {
    /// Addresses on which controllers or a load balancer listen for users, separated by
    /// commas; they are tried in turn.
    #[arg(long = "node", value_name = "IP:PORT", value_delimiter = ',', required = true)]
    nodes: Vec<SocketAddr>,
    /// Wait for the final answer of each job.
    #[arg(long)]
    wait: bool,
    /// Journal file that keeps the jobs until their answers are written out; the same
    /// command, run again, continues with them.
    #[arg(long, value_name = "FILE", requires = "wait")]
    journal: Option<PathBuf>,
    /// Append the final answer of each job to this file, exactly once, as one line of JSON.
    #[arg(long, value_name = "FILE", requires = "wait")]
    out: Option<PathBuf>,
    /// How long to wait until all jobs are accepted, or with --wait until all have a final
    /// answer, in seconds; 0 for no limit.
    #[arg(long, default_value_t = 60)]
    patience: u64,
    /// Print the results as JSON, for use by programs.
    #[arg(long)]
    json: bool,
}

/// Runs the command and returns its exit code.
///
/// The code is 0 if all jobs succeed, 1 if a job is refused or cancelled or has no answer in time, and 2
/// if the input or the options are invalid.
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

/// Submits the jobs, and reports whether all of them succeed.  Without `--wait`, only a refused job
/// counts as failed.
async fn try_submit(file: &str, options: &SubmitOptions) -> Result<bool, SubmitError> {
    let input = input::read(file)?;
    let specs = input::parse_jobs(file, &input)?;
    dependencies::check_unknown(file, &specs, options).await?;
    let answers = options.out.as_deref().map(AnswersFile::open).transpose()?;
    let client = Client::open(client_settings(options, specs.len())).await?;
    let deadline = (options.patience > 0).then(|| Instant::now() + Duration::from_secs(options.patience));
    // subscribed before the first submission, so that no acceptance is missed
    let mut changes = client.changes();
    let job_count = specs.len();
    submit_jobs(&client, file, &input, specs, options).await?;
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

/// Submits the jobs.  With a journal, the jobs of an input are submitted only once.
async fn submit_jobs(
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
    // identifies the input by its content, whichever file it comes from
    let batch: String = Sha256::digest(input.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    if client.submit_once(&batch, specs).await?.is_none() {
        eprintln!("coralnotch: the journal already has the jobs of {file}; continuing with the unfinished ones");
    }
    Ok(())
}

#[cfg(test)]
mod tests;
