//! The emulator's command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use coralnotch_emulator::up::{up, Error, Options};

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
}

/// Exit code for what can't be used.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt().with_max_level(tracing::Level::WARN).with_writer(std::io::stderr).init();
    let (stop, stopped) = smol::channel::bounded(1);
    if let Err(e) = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    }) {
        eprintln!("coralnotch-emulator: signals: {e}");
        return ExitCode::FAILURE;
    }
    let Command::Up(options) = &args.command;
    match up(options, stopped, |_| ()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coralnotch-emulator: {e}");
            match e {
                Error::Input(_) => ExitCode::from(BAD_INPUT),
                Error::Io { .. } | Error::Failed(_) => ExitCode::FAILURE,
            }
        }
    }
}
