//! Real `pebblepost` processes: their configuration, start, end, and the CPU that they used.

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Uri;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// One process. It is ended when this is dropped.
pub struct DispatcherProcess {
    command: Command,
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// How long each of its starts took until it took clients.
    pub ready: Vec<Duration>,
    /// When the last look at it began that did not find it ready: until then it surely was not.
    pub not_ready_at: Instant,
    config: Value,
    seed: u64,
    operator: Value,
    files: [PathBuf; 2],
    /// CPU of lives that have ended, in seconds.
    cpu_of_earlier_runs_s: f64,
}

/// The buildings; dispatcher `n` is in the one of number `n`, counted round.
pub const ZONES: [&str; 3] = ["honkan", "bekkan", "soko"];

/// The one class of jobs; within so many nanoseconds an answer has its full worth.
fn class(on_time: u64) -> Value {
    json!({
        "name": "segment", "effect": "idempotency_key", "group": "all", "window": 10_000_000_000_u64,
        "onTime": on_time, "deadline": 6_000_000_000_u64, "worth": 1.0, "lateValue": 0.0, "streamed": false,
    })
}

/// The settings of the site's kind, as a platform gives them.
fn settings(dispatchers: usize, queue_order: &str) -> Value {
    json!({
        "instances": dispatchers, "locality": 0, "discovery": "ask", "tick": 2_000_000, "worthBy": "work",
        "failureDomains": ZONES, "kinds": ["small-fast", "mid-three", "wide-five"],
        "classes": [class(600_000_000)],
        "caps": {"probing": true, "cancelling": true, "mayDuplicate": true, "sendCap": 3, "retryAfter": false,
                 "keepalive": 30_000_000_000_u64, "connectTimeout": 250_000_000, "maxRetryAfter": 2_000_000_000},
        "charges": {"crossZone": 0.025, "handshake": 0.02, "lateFail": 0.03, "probe": 0.01, "waste": 0.014},
        "report": {"names": ["cpu", "err_rps", "x0"], "source": "pull"},
        "domain": {"reportX0": "free_slots", "tellsStart": true, "classStretch": 2.0, "progress": 2_000_000_000,
                   "queueOrder": queue_order},
        "invariants": {"stopSendingWithin": 500_000_000, "answerSlack": 8_000_000, "askWithin": 10_000_000_000_u64,
                       "coldFrom": 0.12, "warmUp": 23_000_000_000_u64, "tipMultiple": 3.0, "fall": 3_000_000_000_u64}
    })
}

fn write(path: &Path, json: &Value) -> Result<()> {
    std::fs::write(path, json.to_string()).with_context(|| path.display().to_string())
}

/// What a process is started with.
pub struct Launch<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its number, and how many there are.
    pub number: usize,
    /// See `number`.
    pub of: usize,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The list it begins with.
    pub known: Value,
    /// Its seed.
    pub seed: u64,
    /// The operator's file.
    pub operator: &'a Value,
    /// What it says of the order of the workers' queues.
    pub queue_order: &'a str,
    /// A folder for its files.
    pub folder: &'a Path,
}

impl DispatcherProcess {
    /// Starts one; it takes clients when this returns.
    pub async fn start(start: &Launch<'_>) -> Result<Self> {
        // An address that nobody connects from: a port that was free a moment ago, or is while the process is started
        // again, still is. Runs beside each other draw different ports.
        let [high, low] = u16::try_from(start.number)?.to_be_bytes();
        let address = TcpListener::bind(SocketAddr::from(([127, 4, high, low], 0)))?.local_addr()?;
        let config = json!({
            "name": format!("n{}", start.number), "listen": address.to_string(),
            "discovery": start.discovery.to_string(), "seed": format!("{:x}", start.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": start.known,
            "settings": settings(start.of, start.queue_order),
        });
        let id = format!("{}-{address}", std::process::id()).replace(':', "-");
        let files = ["config", "operator"]
            .map(|name| start.folder.join(format!("pebblepost-harness-{id}-{name}.json")));
        let mut operator = start.operator.clone();
        if let Some(fleet) = operator.get_mut("fleet") {
            fleet["zone"] = ZONES[start.number % ZONES.len()].into();
            if let Some(folder) = fleet["copy"].as_str().map(PathBuf::from) {
                fleet["copy"] = json!(folder.join(format!("n{}", start.number)));
            }
        }
        for (path, json) in files.iter().zip([&config, &operator]) {
            write(path, json)?;
        }
        let log = match std::env::var_os("PEBBLEPOST_RIG_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let mut command = Command::new(start.program);
        let [config_file, operator_file] = &files;
        command.env("PROXY_CONFIG", config_file).env("PEBBLEPOST_OPERATOR", operator_file);
        command.stdin(Stdio::null()).stderr(log);
        let child = command.spawn().with_context(|| start.program.display().to_string())?;
        let (ready, not_ready_at) = (Vec::new(), Instant::now());
        let mut process = Self {
            command,
            child,
            address,
            ready,
            not_ready_at,
            config,
            seed: start.seed,
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

    fn signal(&mut self, signal: Signal) {
        // One that has ended has no number any more that is its own.
        if self.runs()
            && let Ok(pid) = i32::try_from(self.child.id())
        {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// SIGTERM.
    pub fn stop(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// SIGSTOP.
    pub fn pause(&mut self) {
        self.signal(Signal::SIGSTOP);
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::SIGCONT);
    }

    /// Whether it has ended, and then whether without an error.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.success())
    }

    /// The version that it has from its next start on, and whether its configuration is a bad one, by which hardly a worker
    /// is quick enough for any job.
    pub fn set_version(&mut self, version: &str, refuses: bool) -> Result<()> {
        let settings = json!({"domain": {"classStretch": 1.05}, "classes": [class(1_000_000)]});
        match (self.operator.as_object_mut(), refuses) {
            (Some(operator), true) => drop(operator.insert("settings".to_owned(), settings)),
            (Some(operator), false) => drop(operator.remove("settings")),
            (None, _) => {}
        }
        if let Some(fleet) = self.operator.get_mut("fleet") {
            fleet["version"] = version.into();
        }
        write(&self.files[1], &self.operator)
    }

    /// Whether it says so, within a quarter of a second.
    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let http: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
            let uri: Uri = format!("http://{}/ready", self.address).parse().ok()?;
            Some(http.get(uri).await.ok()?.status().is_success())
        };
        tokio::time::timeout(Duration::from_millis(250), ask).await.ok().flatten().unwrap_or(false)
    }

    /// Starts one that has ended anew, at its address, from the list that it had at first.
    pub async fn start_again(&mut self) -> Result<()> {
        // Another one in each life, and never longer than a seed may be.
        let life = (self.ready.len() as u64) << 40;
        self.config["seed"] = format!("{:x}", self.seed ^ life).into();
        write(&self.files[0], &self.config)?;
        self.child = self.command.spawn()?;
        self.wait_until_ready().await
    }

    async fn wait_until_ready(&mut self) -> Result<()> {
        let began = Instant::now();
        self.not_ready_at = began;
        while began.elapsed() < Duration::from_secs(10) {
            if let Some(status) = self.child.try_wait()? {
                bail!("a dispatcher ended at its start: {status}");
            }
            let look = Instant::now();
            if self.is_ready().await {
                self.ready.push(began.elapsed());
                return Ok(());
            }
            self.not_ready_at = look;
            tokio::time::sleep(Duration::from_millis(2)).await;
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
        let limit = Instant::now() + Duration::from_secs(8);
        while Instant::now() < limit && self.runs() {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// The program beside this one, built first so that it is the present one.
pub fn build_program() -> Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "-p", "pebblepost"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if !build.status().context("cargo")?.success() {
        bail!("pebblepost did not build");
    }
    let here = std::env::current_exe()?;
    let folder = here.parent().context("a program without a folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join("pebblepost"))
}
