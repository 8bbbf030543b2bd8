//! The emulator's command line.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use coralnotch_emulator::capacity;
use coralnotch_emulator::error::Error;
use coralnotch_emulator::load::{self, Scenario};
use coralnotch_emulator::page;
use coralnotch_emulator::scale;
use coralnotch_emulator::up::{self, Options};

#[derive(Parser)]
#[command(name = "coralnotch-emulator", version, about = "A coralnotch cluster on one machine")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a cluster: stand-ins and three controllers, until Ctrl-C.
    Up(Options),
    /// Play a scenario of load and faults on a cluster of its own.
    Load {
        /// The scenario.
        scenario: PathBuf,
        /// Where the report goes, as JSON; a page with plots goes beside it.
        #[arg(long, default_value = "load.json")]
        report: PathBuf,
        /// The controller program; beside this program if not given.
        #[arg(long)]
        controller: Option<PathBuf>,
    },
    /// Play parts of a large target: regions of controllers among hollow workers.
    Scale(scale::Options),
    /// Make the capacity page from results.
    Capacity(capacity::Options),
    /// A process of a scale run.
    #[command(hide = true)]
    ScaleRole {
        /// What to be.
        role: String,
        /// The process that started this.
        #[arg(long)]
        parent: u32,
    },
    /// Set reports side by side.
    Compare {
        /// Reports.
        #[arg(required = true, num_args = 2..)]
        reports: Vec<PathBuf>,
        /// A page with plots of them all.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

/// Exit code for what can't be used.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    if let Command::ScaleRole { role, parent } = &args.command {
        // ends with the run that started it, not at a signal meant for that
        return ended(scale::role::run(role, *parent));
    }
    tracing_subscriber::fmt().with_max_level(tracing::Level::WARN).with_writer(std::io::stderr).init();
    let (stop, stopped) = smol::channel::bounded(1);
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    }) {
        eprintln!("coralnotch-emulator: signals: {e}");
        return ExitCode::FAILURE;
    }
    let done = match &args.command {
        Command::Up(options) => up::run(options, stopped, |_| ()).map(drop),
        Command::Load { scenario, report, controller } => load(scenario, report, controller.clone()),
        Command::Compare { reports, page } => compare(reports, page.as_deref()),
        Command::Scale(options) => scale::run(options, &stopped).map(drop),
        Command::Capacity(options) => capacity::run(options),
        Command::ScaleRole { .. } => Ok(()),
    };
    ended(done)
}

/// The exit code, with the error said.
fn ended(done: Result<(), Error>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coralnotch-emulator: {e}");
            match e {
                Error::Input(_) => ExitCode::from(BAD_INPUT),
                Error::Io { .. } | Error::Failed(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn write(file: &Path, text: &str) -> Result<(), Error> {
    fs::write(file, text).map_err(|error| Error::Io { what: file.display().to_string(), error })
}

fn load(scenario: &Path, report: &Path, controller: Option<PathBuf>) -> Result<(), Error> {
    let text = fs::read_to_string(scenario).map_err(|e| Error::Input(format!("{}: {e}", scenario.display())))?;
    let s = Scenario::parse(&text).map_err(|e| Error::Input(format!("{}:\n{e}", scenario.display())))?;
    let r = load::run(&s, controller)?;
    let name = scenario.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
    let all = [(name.as_str(), &r)];
    println!("{}", load::table(&all));
    write(report, &serde_json::to_string_pretty(&r).unwrap_or_default())?;
    write(&report.with_extension("html"), &page::page(&all)?)?;
    match r.wrong.is_empty() {
        true => Ok(()),
        false => Err(Error::Failed(format!("{} things are wrong:\n{}", r.wrong.len(), some(&r.wrong)))),
    }
}

fn some(wrong: &[String]) -> String {
    let mut text = wrong.iter().take(10).cloned().collect::<Vec<_>>().join("\n");
    if wrong.len() > 10 {
        text += "\n…";
    }
    text
}

fn compare(files: &[PathBuf], to: Option<&Path>) -> Result<(), Error> {
    let reports = files.iter().map(|f| load::read(f)).collect::<Result<Vec<_>, _>>()?;
    let names: Vec<String> =
        files.iter().map(|f| f.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()).collect();
    let all: Vec<(&str, &load::Report)> = names.iter().map(String::as_str).zip(&reports).collect();
    println!("{}", load::table(&all));
    match to {
        Some(file) => write(file, &page::page(&all)?),
        None => Ok(()),
    }
}
