//! One dispatcher as a process: its start, faults, readiness and CPU time.

use super::settings::{ZONES, refusing_settings, settings};
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

/// A process must be ready within this after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two readiness probes at a start.
const START_PROBE_INTERVAL: Duration = Duration::from_millis(2);
/// A readiness probe must be answered within this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// A process that is dropped is killed if it has not ended within this.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);
/// The number of the start is in the seed from this bit on: never longer than a seed may be.
const START_NUMBER_BIT: u32 = 40;

/// One process. It is ended when this is dropped.
pub struct DispatcherProcess {
    command: Command,
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// How long each of its starts took until it took clients.
    pub ready: Vec<Duration>,
    /// When the last readiness probe began that failed: until then it certainly was not ready.
    pub not_ready_at: Instant,
    config: Value,
    seed: u64,
    operator: Value,
    files: Files,
    /// CPU of earlier starts, in seconds.
    cpu_of_earlier_runs_s: f64,
}

/// What a process is started with.
pub struct Launch<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its number.
    pub number: usize,
    /// How many dispatchers there are.
    pub of: usize,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The list of workers that it begins with.
    pub known: Value,
    /// Its seed.
    pub seed: u64,
    /// The operator file.
    pub operator: &'a Value,
    /// The order of the workers' queues, by its name in the settings.
    pub queue_order: &'a str,
    /// A folder for its files.
    pub folder: &'a Path,
}

/// Files that a process reads.
struct Files {
    config: PathBuf,
    operator: PathBuf,
}

fn write(path: &Path, json: &Value) -> Result<()> {
    std::fs::write(path, json.to_string()).with_context(|| path.display().to_string())
}

impl Launch<'_> {
    fn config(&self, address: SocketAddr) -> Value {
        json!({
            "name": format!("n{}", self.number), "listen": address.to_string(),
            "discovery": self.discovery.to_string(), "seed": format!("{:x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": self.known,
            "settings": settings(self.of, self.queue_order),
        })
    }

    /// The operator file of this dispatcher: in its zone, with a folder of its own for its copy of the state.
    fn operator_file(&self) -> Value {
        let mut operator = self.operator.clone();
        if let Some(fleet) = operator.get_mut("fleet") {
            fleet["zone"] = ZONES[self.number % ZONES.len()].into();
            if let Some(folder) = fleet["copy"].as_str().map(PathBuf::from) {
                fleet["copy"] = json!(folder.join(format!("n{}", self.number)));
            }
        }
        operator
    }

    fn files(&self, address: SocketAddr) -> Files {
        let id = format!("{}-{address}", std::process::id()).replace(':', "-");
        let file = |name: &str| self.folder.join(format!("pebblepost-harness-{id}-{name}.json"));
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
    /// Starts a process; it takes clients when this returns.
    ///
    /// # Errors
    ///
    /// If its files can not be written, or it ends at once or is not ready in time.
    pub async fn start(launch: &Launch<'_>) -> Result<Self> {
        // An address that nobody connects from: a port that was free a moment ago, or is while the process is started
        // again, still is. Runs beside each other draw different ports.
        let [high, low] = u16::try_from(launch.number)?.to_be_bytes();
        let address = TcpListener::bind(SocketAddr::from(([127, 4, high, low], 0)))?.local_addr()?;
        let (config, operator, files) =
            (launch.config(address), launch.operator_file(), launch.files(address));
        write(&files.config, &config)?;
        write(&files.operator, &operator)?;
        let mut command = launch.command(&files);
        let child = command.spawn().with_context(|| launch.program.display().to_string())?;
        let mut process = Self {
            command,
            child,
            address,
            ready: Vec::new(),
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

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.cpu_of_earlier_runs_s = self.cpu_s();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn send_signal(&mut self, signal: Signal) {
        // The id of a process that has ended may be that of another one.
        if self.runs() {
            signal::send(self.child.id(), signal);
        }
    }

    /// SIGTERM.
    pub fn stop(&mut self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// SIGSTOP.
    pub fn pause(&mut self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Whether it has ended, and then whether without an error.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// Sets the version that it has from its next start on. `refuses`: with settings by which it refuses most requests.
    ///
    /// # Errors
    ///
    /// If the operator file can not be written.
    pub fn set_version(&mut self, version: &str, refuses: bool) -> Result<()> {
        match (self.operator.as_object_mut(), refuses) {
            (Some(operator), true) => drop(operator.insert("settings".to_owned(), refusing_settings())),
            (Some(operator), false) => drop(operator.remove("settings")),
            (None, _) => {}
        }
        if let Some(fleet) = self.operator.get_mut("fleet") {
            fleet["version"] = version.into();
        }
        write(&self.files.operator, &self.operator)
    }

    /// Whether it answers that it is ready.
    pub async fn is_ready(&self) -> bool {
        let probe = async {
            let http: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
            let uri: Uri = format!("http://{}/ready", self.address).parse().ok()?;
            Some(http.get(uri).await.ok()?.status().is_success())
        };
        tokio::time::timeout(PROBE_TIMEOUT, probe).await.ok().flatten().unwrap_or(false)
    }

    /// Starts it again after it has ended, at its address, with the list of workers that it had at first.
    ///
    /// # Errors
    ///
    /// If it does not start, ends at once or is not ready in time.
    pub async fn start_again(&mut self) -> Result<()> {
        // Each start has a seed of its own.
        let start_number = (self.ready.len() as u64) << START_NUMBER_BIT;
        self.config["seed"] = format!("{:x}", self.seed ^ start_number).into();
        write(&self.files.config, &self.config)?;
        self.child = self.command.spawn()?;
        self.wait_until_ready().await
    }

    async fn wait_until_ready(&mut self) -> Result<()> {
        let began = Instant::now();
        self.not_ready_at = began;
        while began.elapsed() < START_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                bail!("a dispatcher ended at its start: {status}");
            }
            let probed_at = Instant::now();
            if self.is_ready().await {
                self.ready.push(began.elapsed());
                return Ok(());
            }
            self.not_ready_at = probed_at;
            tokio::time::sleep(START_PROBE_INTERVAL).await;
        }
        bail!("a dispatcher was not ready at {} within 10 s", self.address)
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// CPU that it has used, in seconds (proc(5): `stat`, fields 14 and 15, in hundredths).
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
        while Instant::now() < limit && self.runs() {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.files.config);
        let _ = std::fs::remove_file(&self.files.operator);
    }
}
