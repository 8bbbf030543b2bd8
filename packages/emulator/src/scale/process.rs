//! Starts and kills the processes of a scale run and measures their resource usage.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::process::Process as ProcFs;

use super::result::Usage;
use super::role::Role;
use crate::error::{Error, IoContext};

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The usage of cores is measured over intervals longer than this, because the kernel counts
/// processor time in ticks.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Why a process did not report its listen addresses.
#[derive(Debug, thiserror::Error)]
enum ReadyError {
    #[error("its standard output is not connected")]
    NoOutput,
    #[error("{0}")]
    Read(#[from] io::Error),
    #[error("unexpected output {0:?}")]
    Unexpected(String),
    #[error("invalid listen address: {0}")]
    Address(String),
}

/// A child process of the run, which is killed when this value is dropped.
pub struct ManagedProcess {
    child: Child,
    meter: Meter,
}

impl ManagedProcess {
    /// Starts a role in a new process and waits until it listens; returns the process with its listen
    /// addresses, the control interface first.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or does not report its addresses.
    pub fn start(role: &Role, dir: &Path, name: &str) -> Result<(ManagedProcess, Vec<SocketAddr>), Error> {
        let (mut child, out) = Self::spawn(role, dir, name, Stdio::piped())?;
        let ready = match out {
            Some(out) => read_ready(out),
            None => Err(ReadyError::NoOutput),
        };
        match ready {
            Ok(addresses) => Ok((ManagedProcess { meter: Meter::new(child.id()), child }, addresses)),
            Err(reason) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Error::Failed(format!(
                    "process {name} did not become ready: {reason}; see the logs in {}",
                    dir.display()
                )))
            }
        }
    }

    /// Starts a controller in a new process, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_controller(role: &Role, dir: &Path, name: &str) -> Result<ManagedProcess, Error> {
        let (child, _) = Self::spawn(role, dir, name, Stdio::null())?;
        Ok(ManagedProcess { meter: Meter::new(child.id()), child })
    }

    fn spawn(role: &Role, dir: &Path, name: &str, out: Stdio) -> Result<(Child, Option<ChildStdout>), Error> {
        let program = std::env::current_exe().context("cannot find the path of this program")?;
        let log: PathBuf = dir.join(format!("{name}.log"));
        let open = std::fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = open.context(log.display().to_string())?;
        let text = serde_json::to_string(role).map_err(|error| Error::Failed(format!("{name}: {error}")))?;
        let mut command = Command::new(program);
        command.arg("scale-role").arg(text).arg("--parent").arg(std::process::id().to_string());
        let mut child = command.stdin(Stdio::null()).stdout(out).stderr(log).spawn().context(name)?;
        let out = child.stdout.take();
        Ok((child, out))
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status as text, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the meter of the process's resource usage.
    pub fn meter(&mut self) -> &mut Meter {
        &mut self.meter
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the `ready` line in which a process lists its listen addresses.
fn read_ready(out: ChildStdout) -> Result<Vec<SocketAddr>, ReadyError> {
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line)?;
    let Some(list) = line.trim().strip_prefix("ready ") else { return Err(ReadyError::Unexpected(line)) };
    list.split(' ').map(|text| text.parse().map_err(|_| ReadyError::Address(text.to_owned()))).collect()
}

/// The processor time that a process had used at one moment.
#[derive(Debug, Clone, Copy)]
struct CpuSample {
    at: Instant,
    /// Processor time since the start of the process, in seconds.
    cpu_time_s: f64,
}

impl CpuSample {
    fn now(cpu_time_s: f64) -> CpuSample {
        CpuSample { at: Instant::now(), cpu_time_s }
    }

    /// Returns the mean number of cores used between an earlier sample and this one.  The interval
    /// counts as at least `min_s` seconds.
    fn cores_since(&self, earlier: &CpuSample, min_s: f64) -> f64 {
        (self.cpu_time_s - earlier.cpu_time_s) / self.at.duration_since(earlier.at).as_secs_f64().max(min_s)
    }
}

/// Resource usage of a process as the kernel reports it.
struct ProcessStat {
    /// Processor time since the start of the process, in seconds.
    cpu_time_s: f64,
    memory_mb: f64,
}

/// Measures the resource usage of a process during a phase.
pub struct Meter {
    process_id: u32,
    /// Sample at the beginning of the phase.
    first: CpuSample,
    /// Sample at the end of the last interval over which cores were measured.
    last: CpuSample,
    max_cores: f64,
    max_memory_mb: f64,
}

impl Meter {
    /// Creates a meter for the process with this id.
    pub fn new(process_id: u32) -> Meter {
        let now = CpuSample::now(0.0);
        Meter { process_id, first: now, last: now, max_cores: 0.0, max_memory_mb: 0.0 }
    }

    fn stat(&self) -> Option<ProcessStat> {
        let stat = ProcFs::new(i32::try_from(self.process_id).ok()?).ok()?.stat().ok()?;
        let ticks = procfs::ticks_per_second() as f64;
        let memory_mb = stat.rss as f64 * procfs::page_size() as f64 / BYTES_PER_MB;
        Some(ProcessStat { cpu_time_s: (stat.utime + stat.stime) as f64 / ticks, memory_mb })
    }

    /// Resets the meter at the beginning of a phase.
    pub fn begin(&mut self) {
        let Some(stat) = self.stat() else { return };
        self.first = CpuSample::now(stat.cpu_time_s);
        self.last = self.first;
        self.max_cores = 0.0;
        self.max_memory_mb = stat.memory_mb;
    }

    /// Records the usage since the last sample; returns the current memory usage in MB, or 0 if the
    /// process has ended.
    pub fn sample(&mut self) -> f64 {
        let Some(stat) = self.stat() else { return 0.0 };
        let now = CpuSample::now(stat.cpu_time_s);
        if now.at.duration_since(self.last.at) > MIN_SAMPLE_INTERVAL {
            self.max_cores = self.max_cores.max(now.cores_since(&self.last, 0.0));
            self.last = now;
        }
        self.max_memory_mb = self.max_memory_mb.max(stat.memory_mb);
        stat.memory_mb
    }

    /// Returns the usage since the beginning of the phase; all figures are 0 if the process has ended.
    pub fn usage(&mut self) -> Usage {
        self.sample();
        let Some(stat) = self.stat() else { return Usage::default() };
        let cores = CpuSample::now(stat.cpu_time_s).cores_since(&self.first, 1e-3);
        let files = ProcFs::new(self.process_id as i32).and_then(|process| process.fd_count()).unwrap_or(0);
        let (cores_most, memory_mb) = (self.max_cores.max(cores), self.max_memory_mb);
        Usage { processes: 1, cores, cores_most, memory_mb, files }
    }
}

/// Combines the usage of the processes of one role: their number, the mean of their cores and the
/// maximum of the other figures.
pub fn combined_usage(usages: impl IntoIterator<Item = Usage>) -> Usage {
    let mut combined = Usage::default();
    for usage in usages {
        combined.processes += usage.processes;
        combined.cores += usage.cores;
        combined.cores_most = combined.cores_most.max(usage.cores_most);
        combined.memory_mb = combined.memory_mb.max(usage.memory_mb);
        combined.files = combined.files.max(usage.files);
    }
    combined.cores /= combined.processes.max(1) as f64;
    combined
}
