//! The command line of the emulator.

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
#[command(
    name = "coralnotch-emulator",
    version,
    about = "Runs coralnotch clusters on one machine, with emulated services"
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a cluster of emulated services and three controllers until Ctrl-C.
    Up(Options),
    /// Run a load test with faults on a new cluster.
    Load {
        /// TOML file with the scenario of the load test.
        scenario: PathBuf,
        /// JSON file for the report; a page with plots is written beside it, with the extension html.
        #[arg(long, default_value = "load.json")]
        report: PathBuf,
        /// Path of the controller program; defaults to `coralnotch` in the directory of this program.
        #[arg(long)]
        controller: Option<PathBuf>,
    },
    /// Measure parts of a large target deployment: regions of controllers with emulated workers.
    Scale(scale::Options),
    /// Generate the capacity page from the results of scale runs.
    Capacity(capacity::Options),
    /// Run one process of a scale run; started only by `scale`.
    #[command(hide = true)]
    ScaleRole {
        /// The role of the process, as JSON.
        role: String,
        /// Process id of the scale run that starts this process.
        #[arg(long)]
        parent: u32,
    },
    /// Compare the reports of load tests in one table.
    Compare {
        /// JSON files of the reports.
        #[arg(required = true, num_args = 2..)]
        reports: Vec<PathBuf>,
        /// HTML file for a page with plots of all reports.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

/// Exit code if an argument or a file cannot be used.
const BAD_INPUT_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    if let Command::ScaleRole { role, parent } = &args.command {
        // no handler for Ctrl-C here: that signal is meant for the run that started this process, and
        // the process ends with that run
        return exit_code(scale::role::run(role, *parent));
    }
    tracing_subscriber::fmt().with_max_level(tracing::Level::WARN).with_writer(std::io::stderr).init();
    let (stop, stopped) = smol::channel::bounded(1);
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    }) {
        eprintln!("coralnotch-emulator: cannot install the Ctrl-C handler: {e}");
        return ExitCode::FAILURE;
    }
    let result = match &args.command {
        Command::Up(options) => up::run(options, stopped, |_| ()).map(drop),
        Command::Load { scenario, report, controller } => load(scenario, report, controller.clone()),
        Command::Compare { reports, page } => compare(reports, page.as_deref()),
        Command::Scale(options) => scale::run(options, &stopped).map(drop),
        Command::Capacity(options) => capacity::run(options),
        Command::ScaleRole { .. } => Ok(()),
    };
    exit_code(result)
}

/// Returns the exit code for the result of a command, and prints the error if there is one.
fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coralnotch-emulator: {e}");
            match e {
                Error::Input(_) => ExitCode::from(BAD_INPUT_EXIT_CODE),
                Error::Io { .. } | Error::Failed(_) => ExitCode::FAILURE,
            }
        }
    }
}

/// Writes a text file.
fn write(file: &Path, text: &str) -> Result<(), Error> {
    fs::write(file, text).map_err(|error| Error::Io { what: file.display().to_string(), error })
}

/// Runs a load test, prints its table, and writes the report and its page.
fn load(scenario: &Path, report: &Path, controller: Option<PathBuf>) -> Result<(), Error> {
    let text = fs::read_to_string(scenario)
        .map_err(|e| Error::Input(format!("cannot read the scenario {}: {e}", scenario.display())))?;
    let parsed =
        Scenario::parse(&text).map_err(|e| Error::Input(format!("invalid scenario {}:\n{e}", scenario.display())))?;
    let load_report = load::run(&parsed, controller)?;
    let name = scenario.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
    let named_reports = [(name.as_str(), &load_report)];
    println!("{}", load::table(&named_reports));
    write(report, &serde_json::to_string_pretty(&load_report).unwrap_or_default())?;
    write(&report.with_extension("html"), &page::page(&named_reports)?)?;
    match load_report.wrong.is_empty() {
        true => Ok(()),
        false => Err(Error::Failed(format!(
            "the load test found {} problems:\n{}",
            load_report.wrong.len(),
            join_first_problems(&load_report.wrong)
        ))),
    }
}

/// Joins the first ten problems, one on each line.
fn join_first_problems(wrong: &[String]) -> String {
    let mut text = wrong.iter().take(10).cloned().collect::<Vec<_>>().join("\n");
    if wrong.len() > 10 {
        text += "\n…";
    }
    text
}

/// Prints the table of several reports, and writes their page to `page_file` if it is given.
fn compare(files: &[PathBuf], page_file: Option<&Path>) -> Result<(), Error> {
    let reports = files.iter().map(|f| load::read(f)).collect::<Result<Vec<_>, _>>()?;
    let names: Vec<String> =
        files.iter().map(|f| f.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default()).collect();
    let named_reports: Vec<(&str, &load::Report)> = names.iter().map(String::as_str).zip(&reports).collect();
    println!("{}", load::table(&named_reports));
    match page_file {
        Some(file) => write(file, &page::page(&named_reports)?),
        None => Ok(()),
    }
}
