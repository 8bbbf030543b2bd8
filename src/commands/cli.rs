//! The command line interface of the program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tracing_subscriber::filter::LevelFilter;

use crate::commands::client::{ControllerClient, Error};
use crate::commands::logging;
use crate::commands::output::{print_line, render, EXIT_BAD_INPUT, EXIT_FAILURE};
use crate::commands::submit::{submit, SubmitOptions};
use crate::commands::text::{explained_text, job_text, status_text};
use crate::config::Config;
use crate::policy::check::PolicyError;
use crate::policy::CheckedPolicy;

#[derive(Parser)]
#[command(name = "coralnotch", version, about = "A cluster scheduler")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

// The doc comments of commands and options are the help texts of the program.
#[derive(Subcommand)]
enum Command {
    /// Run a controller until the process is killed.
    Serve {
        #[command(flatten)]
        files: SettingsFiles,
    },
    /// Validate the settings and the policy without starting a controller, and print each
    /// tunable with its value and its expression.
    Check {
        #[command(flatten)]
        files: SettingsFiles,
    },
    /// Submit one or more jobs; with --wait, wait for the final answer of each.
    Submit {
        /// File with one job as JSON in the format of the API, or with one such job per
        /// line; - for standard input.  A job without `nameId` gets a generated id.
        file: String,
        #[command(flatten)]
        options: SubmitOptions,
    },
    /// Print each state of a job until the job is done or cancelled.
    Follow {
        /// Id of the job, as in j-000412.
        id: String,
        #[command(flatten)]
        options: QueryOptions,
    },
    /// Show the state of a job, and the jobs it depends on.
    Show {
        /// Id of the job, as in j-000412.
        id: String,
        #[command(flatten)]
        options: QueryOptions,
    },
    /// Cancel a job and stop its tasks.
    #[command(name = "withdraw")]
    Cancel {
        /// Id of the job, as in j-000412.
        id: String,
        #[command(flatten)]
        options: QueryOptions,
    },
    /// Show the status of a controller: the leader, waiting jobs and why they wait.
    Status {
        #[command(flatten)]
        options: QueryOptions,
    },
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// Settings file of the platform.
    #[arg(long)]
    config: PathBuf,
    /// Policy file of the operators; its definitions replace those of the default policy.
    #[arg(long)]
    policy: Option<PathBuf>,
}

#[derive(clap::Args)]
struct QueryOptions {
    /// Address on which the controller listens for users: the value of `bind` in its settings.
    #[arg(long, value_name = "IP:PORT")]
    node: std::net::SocketAddr,
    /// How long to retry a request that fails temporarily, in seconds.
    #[arg(long, default_value_t = 60)]
    patience: u64,
    /// Print the result as JSON, for use by programs.
    #[arg(long)]
    json: bool,
}

impl QueryOptions {
    fn client(&self) -> ControllerClient {
        ControllerClient::new(self.node, Duration::from_secs(self.patience))
    }
}

/// Interval between two queries for the state of a followed job.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let args = Args::parse();
    // the other commands print their results on standard output and log warnings only
    let default_level =
        if matches!(args.command, Command::Serve { .. }) { LevelFilter::INFO } else { LevelFilter::WARN };
    if let Err(error) = logging::init(default_level) {
        return exit_with(EXIT_BAD_INPUT, &error);
    }
    match args.command {
        Command::Serve { files } => serve(&files),
        Command::Check { files } => check(&files),
        Command::Submit { file, options } => submit(&file, &options),
        Command::Follow { id, options } => finish(smol::block_on(follow(&id, &options))),
        Command::Show { id, options } => finish(smol::block_on(show(&id, &options))),
        Command::Cancel { id, options } => finish(smol::block_on(cancel(&id, &options))),
        Command::Status { options } => finish(smol::block_on(status(&options))),
    }
}

fn exit_with(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("coralnotch: {error}");
    ExitCode::from(code)
}

/// Prints the error without a prefix, as each of its lines already names the program or the file.
fn exit_with_load_error(error: &LoadError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_BAD_INPUT)
}

fn serve(files: &SettingsFiles) -> ExitCode {
    let (config, checked) = match load(files) {
        Ok(loaded) => loaded,
        Err(error) => return exit_with_load_error(&error),
    };
    match crate::run::run(config, checked.policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with(EXIT_FAILURE, &error),
    }
}

fn check(files: &SettingsFiles) -> ExitCode {
    let checked = match load(files) {
        Ok((_, checked)) => checked,
        Err(error) => return exit_with_load_error(&error),
    };
    for (name, value, origin) in &checked.origins {
        print_line(&format!("{name:20} {value:>12}  = {origin}"));
    }
    print_line(&format!("{}: settings and policy are in order", files.config.display()));
    ExitCode::SUCCESS
}

/// An error in the settings file or in the policy.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("coralnotch: {0}")]
    Config(#[from] crate::config::Error),
    #[error("coralnotch: {}: cannot read the policy file: {source}", .file.display())]
    ReadPolicy { file: PathBuf, source: std::io::Error },
    /// All errors of the policy.  Each names its file and line.
    #[error("{}", join_lines(.0))]
    Policy(Vec<PolicyError>),
}

fn join_lines(errors: &[PolicyError]) -> String {
    let lines: Vec<String> = errors.iter().map(PolicyError::to_string).collect();
    lines.join("\n")
}

/// Reads and validates the settings file and the policy file.
fn load(files: &SettingsFiles) -> Result<(Config, CheckedPolicy), LoadError> {
    let config = Config::load(&files.config)?;
    let operators_policy = match &files.policy {
        None => None,
        Some(file) => {
            let read = std::fs::read_to_string(file);
            let text = read.map_err(|source| LoadError::ReadPolicy { file: file.clone(), source })?;
            Some((file.display().to_string(), text))
        }
    };
    let operators_policy = operators_policy.as_ref().map(|(file, text)| (file.as_str(), text.as_str()));
    let checked = crate::policy::check(&config, operators_policy).map_err(LoadError::Policy)?;
    Ok((config, checked))
}

async fn follow(id: &str, options: &QueryOptions) -> Result<String, Error> {
    let client = options.client();
    let mut last_printed = None;
    loop {
        let job = client.job(id).await?.state;
        if job.stage == "done" || job.stage == "cancelled" {
            return Ok(render(&job, options.json, job_text));
        }
        if last_printed.as_ref() != Some(&job) {
            print_line(&render(&job, options.json, job_text));
        }
        last_printed = Some(job);
        smol::Timer::after(FOLLOW_INTERVAL).await;
    }
}

async fn show(id: &str, options: &QueryOptions) -> Result<String, Error> {
    Ok(render(&options.client().job(id).await?, options.json, explained_text))
}

async fn cancel(id: &str, options: &QueryOptions) -> Result<String, Error> {
    Ok(render(&options.client().cancel(id).await?, options.json, job_text))
}

async fn status(options: &QueryOptions) -> Result<String, Error> {
    Ok(render(&options.client().status().await?, options.json, status_text))
}

/// Prints the result of a query, and returns the exit code of the command.
fn finish(result: Result<String, Error>) -> ExitCode {
    match result {
        Ok(text) => {
            print_line(&text);
            ExitCode::SUCCESS
        }
        Err(error) => exit_with(error.exit_code(), &error),
    }
}
