//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use smol::net::TcpListener;

use crate::config::Config;
use crate::http::{serve, ServerLimits};
use crate::node::Node;

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
    },
    /// Check a settings file without starting anything.
    Check {
        /// The platform's settings file.
        #[arg(long)]
        config: PathBuf,
    },
}

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Runs the command line.
pub fn main() -> ExitCode {
    let args = Args::parse();
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .parse_env("LOG_LEVEL")
        .target(env_logger::Target::Stderr)
        .init();
    let (path, run) = match &args.command {
        Command::Serve { config } => (config, true),
        Command::Check { config } => (config, false),
    };
    let config = match Config::load(path) {
        Ok(c) => c,
        Err(e) => {
            eprintln!("coralnotch: {e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if !run {
        println!("{}: settings are in order", path.display());
        return ExitCode::SUCCESS;
    }
    match daemon(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coralnotch: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a controller on this thread.
fn daemon(config: Config) -> std::io::Result<()> {
    let ex = Rc::new(smol::LocalExecutor::new());
    let limits = ServerLimits {
        // sockets are left for the state service, the cloud and siblings
        connections: config.deployment.quota.fd_limit.saturating_sub(64).clamp(16, 4000),
        idle: Duration::from_secs(75),
        arrive: Duration::from_secs(10),
    };
    let (bind, peer_bind) = (config.bind, config.peer_bind);
    let node = Arc::new(Node::new(config, Instant::now()));
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind(bind).await?;
        log::info!("{} listens on {bind}", node.config.name);
        let peers = TcpListener::bind(peer_bind).await?;
        ex.spawn(node.clone().serve_peers(peers)).detach();
        let (n, e) = (node.clone(), ex.clone());
        ex.spawn(async move { n.peer_work(|w| e.spawn(w).detach()).await }).detach();
        let n = node.clone();
        ex.spawn(async move { n.follow().await }).detach();
        let n = node.clone();
        ex.spawn(async move { n.watch().await }).detach();
        let n = node.clone();
        ex.spawn(async move { n.stand().await }).detach();
        let n = node.clone();
        ex.spawn(async move { n.store_submissions().await }).detach();
        let n = node.clone();
        ex.spawn(async move { n.confirm_open().await }).detach();
        ex.spawn(node.clone().types_at_start()).detach();
        let handler = Rc::new(move |r| node.clone().handle(r));
        serve(ex.clone(), listener, limits, handler).await;
        Ok(())
    }))
}
