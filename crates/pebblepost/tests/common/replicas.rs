//! Three replicas of the fleet store as processes.

use super::within;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Limit of every wait; generous, as it is the outcome that is tested and not the time.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Three replicas as processes.
pub struct Replicas {
    pub folder: PathBuf,
    pub at: Vec<SocketAddr>,
    pub running: Vec<Option<Child>>,
}

impl Replicas {
    pub fn start(first: u8) -> Self {
        let folder = super::path("keepers");
        std::fs::create_dir_all(&folder).expect("a writable folder");
        // On an address that nothing else uses, a port that was free before still is.
        let free: Vec<TcpListener> = (0..3)
            .map(|n| {
                TcpListener::bind((std::net::Ipv4Addr::new(127, 78, first, n + 1), 0)).expect("a free port")
            })
            .collect();
        let at: Vec<SocketAddr> = free.iter().map(|listener| listener.local_addr().expect("bound")).collect();
        drop(free);
        let mut replicas = Self { folder, at, running: vec![None, None, None] };
        (0..3).for_each(|n| replicas.run(n));
        replicas.fleet_until(&["begin"]);
        replicas
    }

    pub fn run(&mut self, n: usize) {
        self.run_with(n, Stdio::null(), &[]);
    }

    /// Starts one with these variables in its environment.
    pub fn run_with(&mut self, n: usize, errors: Stdio, variables: &[(&str, &str)]) {
        let config = self.folder.join(format!("{n}.json"));
        let folder = self.folder.join(n.to_string());
        let json =
            json!({"group": "g", "id": n + 1, "listen": self.at[n], "folder": folder, "session_s": 3.0});
        std::fs::write(&config, json.to_string()).expect("a writable folder");
        let mut keep = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        keep.arg("keep")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .env("RUST_LOG", "off");
        keep.envs(variables.iter().copied());
        self.running[n] = Some(keep.spawn().expect("it starts"));
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.running[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for a replica that must stop by itself, with its errors piped; returns them.
    pub fn ends(&mut self, n: usize) -> String {
        // It stays among those that are killed at the end until it has ended.
        within(LIMIT, "it ends by itself", || {
            let ended = self.running[n].as_mut().expect("started").try_wait().expect("a child");
            ended.map(|status| assert!(!status.success(), "by an error"))
        });
        let child = self.running[n].take().expect("started");
        let said = child.wait_with_output().expect("ended");
        String::from_utf8_lossy(&said.stderr).into_owned()
    }

    /// Starts a replica that must refuse to run; returns its errors.
    pub fn refuses(&mut self, n: usize) -> String {
        self.run_with(n, Stdio::piped(), &[]);
        self.ends(n)
    }

    /// The leader's index, and the revision of each replica.
    pub fn leader_and_revisions(&self) -> (usize, Vec<u64>) {
        within(LIMIT, "one leads", || {
            let all = self.fleet(&["status", "--json"]).stdout;
            let all = String::from_utf8_lossy(&all).into_owned();
            let lines: Vec<Value> = all.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            let leader =
                lines.iter().find(|status| status["leader"].is_u64() && status["leader"] == status["id"])?;
            let revisions = lines.iter().map(|status| status["revision"].as_u64().unwrap_or(0)).collect();
            Some((leader["id"].as_u64()? as usize - 1, revisions))
        })
    }

    /// The addresses by number, as in an operator's file.
    pub fn addresses_json(&self) -> Value {
        (0..3).map(|n| ((n + 1).to_string(), json!(self.at[n]))).collect::<serde_json::Map<_, _>>().into()
    }

    pub fn fleet(&self, words: &[&str]) -> Output {
        let named: Vec<String> = (0..3).map(|n| format!("{}={}", n + 1, self.at[n])).collect();
        let mut fleet = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        fleet.args(["fleet", "--keepers", &named.join(","), "--by", "tester"]).args(words);
        fleet.output().expect("it starts")
    }

    /// Repeats an operator's command until the group accepts it; a failure shows the last error.
    pub fn fleet_until(&self, words: &[&str]) -> String {
        let start = Instant::now();
        loop {
            let output = self.fleet(words);
            if output.status.success() {
                return String::from_utf8_lossy(&output.stdout).into_owned();
            }
            let errors = String::from_utf8_lossy(&output.stderr);
            assert!(start.elapsed() < LIMIT, "{words:?}: {errors}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Replicas {
    fn drop(&mut self) {
        (0..3).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
