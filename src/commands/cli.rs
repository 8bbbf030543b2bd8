//! The command line.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tracing_subscriber::filter::LevelFilter;

use crate::commands::client::{print_line, EXIT_BAD_INPUT};
use crate::config::Config;
use crate::policy::Checked;

#[derive(Parser)]
#[command(name = "coralnotch", version, about = "A cluster scheduler")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
        /// The operators' policy file, on top of the default policy.
        #[arg(long)]
        policy: Option<PathBuf>,
    },
    /// Check settings and policy without starting anything; prints each
    /// tunable with the expression that gave it.
    Check {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
        /// The operators' policy file, on top of the default policy.
        #[arg(long)]
        policy: Option<PathBuf>,
    },
    /// Submit a job, or many, and with --wait pursue each to its final answer.
    Submit {
        /// The job as JSON, in the form of the protocol, or a file of many, a
        /// line each; - for standard input.  Jobs without `nameId` get one.
        file: String,
        #[command(flatten)]
        options: crate::commands::submit::SubmitOptions,
    },
    /// Follow a job until it is over.
    Follow {
        /// The job's id.
        id: String,
        #[command(flatten)]
        to: QueryOptions,
    },
    /// Show how a job stands.
    Show {
        /// The job's id.
        id: String,
        #[command(flatten)]
        to: QueryOptions,
    },
    /// Withdraw a job: its tasks are stopped.
    #[command(name = "withdraw")]
    Cancel {
        /// The job's id.
        id: String,
        #[command(flatten)]
        to: QueryOptions,
    },
    /// Show how a controller stands: who leads, what waits and why.
    Status {
        #[command(flatten)]
        to: QueryOptions,
    },
}

/// Which controller, and how to print its answer.
#[derive(clap::Args)]
struct QueryOptions {
    /// Where the controller listens for users: its `bind`.
    #[arg(long, value_name = "IP:PORT")]
    node: std::net::SocketAddr,
    /// For how many seconds to try again when it refuses for now.
    #[arg(long, default_value_t = 60)]
    patience: u64,
    /// Print JSON, for programs.
    #[arg(long)]
    json: bool,
}

/// How often a followed job is asked about.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Runs the command line.
pub fn main() -> ExitCode {
    let args = Args::parse();
    // a command says what it has to say on standard output
    let usual = if matches!(args.command, Command::Serve { .. }) { LevelFilter::INFO } else { LevelFilter::WARN };
    if let Err(e) = logs(usual) {
        eprintln!("coralnotch: {e}");
        return ExitCode::from(EXIT_BAD_INPUT);
    }
    let (config, policy, run) = match &args.command {
        Command::Serve { config, policy } => (config, policy, true),
        Command::Check { config, policy } => (config, policy, false),
        Command::Submit { file, options } => return crate::commands::submit::run(file, options),
        other => return ask(other),
    };
    let (settings, checked) = match load(config, policy.as_deref()) {
        Ok(l) => l,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if !run {
        for (name, value, origin) in &checked.origins {
            print_line(&format!("{name:20} {value:>12}  = {origin}"));
        }
        print_line(&format!("{}: settings and policy are in order", config.display()));
        return ExitCode::SUCCESS;
    }
    match crate::run::run(settings, checked.policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coralnotch: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Logs go to standard error: as much as `LOG_LEVEL` asks for, or the usual, lines for
/// people or, with `LOG_FORMAT=json`, an object a line.
fn logs(usual: LevelFilter) -> Result<(), String> {
    // the platform's variable: a word that is not known must not keep a
    // controller from starting
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok()).unwrap_or(usual);
    let lines = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match std::env::var("LOG_FORMAT").as_deref() {
        Err(_) | Ok("" | "text") => lines.with_ansi(std::io::stderr().is_terminal()).init(),
        Ok("json") => lines.json().flatten_event(true).init(),
        Ok(f) => return Err(format!("LOG_FORMAT={f:?} is neither text nor json")),
    }
    Ok(())
}

/// Runs a command against a running controller.
fn ask(command: &Command) -> ExitCode {
    use crate::commands::client::{explained_text, job_text, print, status_text, ControllerClient, Error};
    let client = |to: &QueryOptions| ControllerClient::new(to.node, Duration::from_secs(to.patience));
    let done = smol::block_on(async {
        Ok(match command {
            Command::Follow { id, to } => {
                let client = client(to);
                let mut last = None;
                loop {
                    let s = client.job(id).await?.state;
                    if s.stage == "done" || s.stage == "cancelled" {
                        break print(&s, to.json, job_text);
                    }
                    if last.as_ref() != Some(&s) {
                        print_line(&print(&s, to.json, job_text));
                    }
                    last = Some(s);
                    smol::Timer::after(FOLLOW_INTERVAL).await;
                }
            }
            Command::Show { id, to } => print(&client(to).job(id).await?, to.json, explained_text),
            Command::Cancel { id, to } => print(&client(to).cancel(id).await?, to.json, job_text),
            Command::Status { to } => print(&client(to).status().await?, to.json, status_text),
            Command::Serve { .. } | Command::Check { .. } | Command::Submit { .. } => String::new(),
        })
    });
    match done {
        Ok(text) => {
            print_line(&text);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("coralnotch: {e}");
            match e {
                Error::Input(_) => ExitCode::from(EXIT_BAD_INPUT),
                Error::Refused { .. } | Error::GaveUp { .. } => ExitCode::FAILURE,
            }
        }
    }
}

/// Reads settings and policy; the error is all that is wrong with them.
fn load(config: &Path, policy: Option<&Path>) -> Result<(Config, Checked), String> {
    let config = Config::load(config).map_err(|e| format!("coralnotch: {e}"))?;
    let own = match policy {
        None => None,
        Some(p) => {
            let text = std::fs::read_to_string(p).map_err(|e| format!("coralnotch: {}: {e}", p.display()))?;
            Some((p.display().to_string(), text))
        }
    };
    let own = own.as_ref().map(|(f, t)| (f.as_str(), t.as_str()));
    let checked = crate::policy::check(&config, own)
        .map_err(|faults| faults.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n"))?;
    Ok((config, checked))
}
