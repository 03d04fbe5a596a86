//! A dispatcher as a process: its start, faults, readiness and CPU time.

use super::settings::{ZONES, rejecting_settings, settings};
use crate::fault::signal::{self, Signal};
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Uri;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time after its start within which a process must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two readiness checks during a start.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which a readiness check must be answered.
const READINESS_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a process that is dropped must exit before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// Position of the lowest bit of the start number in the seed. It keeps the seed within the length that the dispatcher accepts.
const START_NUMBER_SHIFT: u32 = 40;

/// A running dispatcher process. Dropping it shuts the process down, which blocks the thread for up to 8 s, and deletes its
/// files.
pub struct DispatcherProcess {
    command: Command,
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Time from each start until the process was ready.
    pub startup_times: Vec<Duration>,
    /// Start of the last failed readiness check of the latest start. Until then the process was certainly not ready.
    pub not_ready_at: Instant,
    config: Value,
    seed: u64,
    operator: Value,
    files: Files,
    /// CPU time of killed runs of the process, in seconds.
    cpu_of_earlier_runs_s: f64,
}

/// The parameters of a start.
pub struct Launch<'a> {
    /// Path of the program.
    pub program: &'a Path,
    /// Index of the dispatcher.
    pub number: usize,
    /// Number of dispatchers in the run.
    pub dispatcher_count: usize,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The list of workers that the dispatcher starts with, as JSON.
    pub known_workers: Value,
    /// Seed of the dispatcher.
    pub seed: u64,
    /// Content of the operator file.
    pub operator: &'a Value,
    /// The order of the workers' queues, by its name in the settings.
    pub queue_order: &'a str,
    /// Directory for the files of the process.
    pub directory: &'a Path,
}

/// Paths of the files that a process reads.
struct Files {
    config: PathBuf,
    operator: PathBuf,
}

fn write(path: &Path, json: &Value) -> Result<()> {
    std::fs::write(path, json.to_string()).with_context(|| format!("failed to write {}", path.display()))
}

impl Launch<'_> {
    fn config(&self, address: SocketAddr) -> Value {
        json!({
            "name": format!("n{}", self.number), "listen": address.to_string(),
            "discovery": self.discovery.to_string(), "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": self.known_workers,
            "settings": settings(self.dispatcher_count, self.queue_order),
        })
    }

    /// Returns the operator file of this dispatcher. It sets the dispatcher's zone and a separate directory for its copy of the
    /// store's state.
    fn operator_file(&self) -> Value {
        let mut operator = self.operator.clone();
        if let Some(fleet) = operator.get_mut("fleet") {
            fleet["zone"] = ZONES[self.number % ZONES.len()].into();
            if let Some(directory) = fleet["copy"].as_str().map(PathBuf::from) {
                fleet["copy"] = json!(directory.join(format!("n{}", self.number)));
            }
        }
        operator
    }

    fn files(&self, address: SocketAddr) -> Files {
        let id = format!("{}-{address}", std::process::id()).replace(':', "-");
        let file = |name: &str| self.directory.join(format!("pebblepost-harness-{id}-{name}.json"));
        Files { config: file("config"), operator: file("operator") }
    }

    fn command(&self, files: &Files) -> Command {
        let log = match std::env::var_os("PEBBLEPOST_RIG_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let mut command = Command::new(self.program);
        command.env("PROXY_CONFIG", &files.config).env("PEBBLEPOST_OPERATOR", &files.operator);
        command.stdin(Stdio::null()).stderr(log);
        command
    }
}

impl DispatcherProcess {
    /// Starts a process and waits until it accepts clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can not be written, or the process does not start, exits during its start or is not ready
    /// within 10 s.
    pub async fn start(launch: &Launch<'_>) -> Result<Self> {
        // No connection originates from this loopback address, so a port that is free now stays free until the process binds
        // it, and during a restart. Concurrent runs get different ports.
        let [high, low] = u16::try_from(launch.number)?.to_be_bytes();
        let address = TcpListener::bind(SocketAddr::from(([127, 4, high, low], 0)))?.local_addr()?;
        let (config, operator, files) =
            (launch.config(address), launch.operator_file(), launch.files(address));
        write(&files.config, &config)?;
        write(&files.operator, &operator)?;
        let mut command = launch.command(&files);
        let child =
            command.spawn().with_context(|| format!("failed to start {}", launch.program.display()))?;
        let mut process = Self {
            command,
            child,
            address,
            startup_times: Vec::new(),
            not_ready_at: Instant::now(),
            config,
            seed: launch.seed,
            operator,
            files,
            cpu_of_earlier_runs_s: 0.0,
        };
        process.wait_until_ready().await?;
        Ok(process)
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        self.cpu_of_earlier_runs_s = self.cpu_s();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn send_signal(&mut self, signal: Signal) {
        // The process id may have been reused after the exit.
        if self.is_running() {
            signal::send(self.child.id(), signal);
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Sends SIGSTOP.
    pub fn pause(&mut self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&mut self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Returns `None` while the process is running, and after its exit whether it succeeded.
    pub fn exited_successfully(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// Sets the version from the next start on. With `rejects_requests` the dispatcher gets settings with which it rejects most
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator file can not be written.
    pub fn set_version(&mut self, version: &str, rejects_requests: bool) -> Result<()> {
        match (self.operator.as_object_mut(), rejects_requests) {
            (Some(operator), true) => drop(operator.insert("settings".to_owned(), rejecting_settings())),
            (Some(operator), false) => drop(operator.remove("settings")),
            (None, _) => {}
        }
        if let Some(fleet) = self.operator.get_mut("fleet") {
            fleet["version"] = version.into();
        }
        write(&self.files.operator, &self.operator)
    }

    /// Returns whether the process answers a readiness check with success within 250 ms.
    pub async fn is_ready(&self) -> bool {
        let check = async {
            let http: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
            let uri: Uri = format!("http://{}/ready", self.address).parse().ok()?;
            Some(http.get(uri).await.ok()?.status().is_success())
        };
        tokio::time::timeout(READINESS_TIMEOUT, check).await.ok().flatten().unwrap_or(false)
    }

    /// Restarts the process after its exit, at the same address and with its initial list of workers, and waits until it accepts
    /// clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start, exits during its start or is not ready within 10 s.
    pub async fn restart(&mut self) -> Result<()> {
        // Each start has a different seed.
        let start_number = (self.startup_times.len() as u64) << START_NUMBER_SHIFT;
        self.config["seed"] = format!("{:x}", self.seed ^ start_number).into();
        write(&self.files.config, &self.config)?;
        self.child = self.command.spawn()?;
        self.wait_until_ready().await
    }

    async fn wait_until_ready(&mut self) -> Result<()> {
        let started_at = Instant::now();
        self.not_ready_at = started_at;
        while started_at.elapsed() < START_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                bail!("the dispatcher at {} exited during its start: {status}", self.address);
            }
            let checked_at = Instant::now();
            if self.is_ready().await {
                self.startup_times.push(started_at.elapsed());
                return Ok(());
            }
            self.not_ready_at = checked_at;
            tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
        }
        bail!("the dispatcher at {} was not ready within 10 s of its start", self.address)
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the CPU time that the process has used, in seconds, including earlier runs that were killed.
    ///
    /// It is read from `/proc/[pid]/stat`, fields 14 and 15, which are in hundredths of a second (see proc(5)).
    pub fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        self.cpu_of_earlier_runs_s
            + fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / 100.0
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        self.resume();
        self.stop();
        let limit = Instant::now() + SHUTDOWN_TIMEOUT;
        while Instant::now() < limit && self.is_running() {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.files.config);
        let _ = std::fs::remove_file(&self.files.operator);
    }
}
