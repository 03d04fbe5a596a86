//! Real `pebblepost` processes: their configuration, start, end, and the CPU that they used.

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// One process. It is ended when this is dropped.
pub struct Process {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    files: Vec<PathBuf>,
}

/// The settings of the site's kind, as a platform gives them.
fn settings(dispatchers: usize, queue_order: &str) -> Value {
    json!({
        "instances": dispatchers, "locality": 0, "discovery": "ask", "tick": 2_000_000, "worthBy": "work",
        "failureDomains": ["honkan", "bekkan", "soko"], "kinds": ["small-fast", "mid-three", "wide-five"],
        "classes": [{
            "name": "segment", "effect": "idempotency_key", "group": "all", "window": 10_000_000_000_u64,
            "onTime": 600_000_000, "deadline": 6_000_000_000_u64, "worth": 1.0, "lateValue": 0.0, "streamed": false,
        }],
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

/// What a process is started with.
pub struct Start<'a> {
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
    /// Where it listens, if it has been there before.
    pub address: Option<SocketAddr>,
}

impl Process {
    /// Starts one; it is ready when this returns.
    pub fn start(start: &Start<'_>) -> Result<Self> {
        // The port is free a moment later, when the process binds it.
        let fresh = || TcpListener::bind("127.0.0.1:0")?.local_addr();
        let address = start.address.map_or_else(fresh, Ok)?;
        let config = json!({
            "name": format!("n{}", start.number), "listen": address.to_string(),
            "discovery": start.discovery.to_string(), "seed": format!("{:x}", start.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": start.known,
            "settings": settings(start.of, start.queue_order),
        });
        let id = format!("{}-{}", std::process::id(), address.port());
        let files = [("config", &config), ("operator", start.operator)]
            .map(|(what, json)| (start.folder.join(format!("pebblepost-rig-{id}-{what}.json")), json));
        for (path, json) in &files {
            std::fs::write(path, json.to_string()).with_context(|| path.display().to_string())?;
        }
        let [(config, _), (operator, _)] = files;
        let log = match std::env::var_os("PEBBLEPOST_RIG_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let child = Command::new(start.program)
            .env("PROXY_CONFIG", &config)
            .env("PEBBLEPOST_OPERATOR", &operator)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| start.program.display().to_string())?;
        let mut process = Self { child, address, files: vec![config, operator] };
        process.wait_until_up()?;
        Ok(process)
    }

    fn wait_until_up(&mut self) -> Result<()> {
        let limit = Instant::now() + Duration::from_secs(10);
        while Instant::now() < limit {
            if let Some(status) = self.child.try_wait()? {
                bail!("a dispatcher ended at its start: {status}");
            }
            if std::net::TcpStream::connect(self.address).is_ok() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        bail!("a dispatcher did not listen at {} within 10 s", self.address)
    }

    /// Waits until it takes clients (`GET /ready` says 200), for a second at most.
    pub fn wait_until_ready(&self) -> bool {
        let limit = Instant::now() + Duration::from_secs(1);
        let ask = || -> std::io::Result<bool> {
            let mut stream = std::net::TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_millis(200)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(head.ends_with(b"200"))
        };
        while Instant::now() < limit {
            if matches!(ask(), Ok(true)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// CPU that it has used, in seconds (proc(5): `stat`, fields 14 and 15, in hundredths).
    pub fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
        }
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
pub fn built() -> Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "-p", "pebblepost"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    if !build.status().context("cargo")?.success() {
        bail!("pebblepost did not build");
    }
    let here = std::env::current_exe()?;
    let folder = here.parent().context("a program without a folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join("pebblepost"))
}
