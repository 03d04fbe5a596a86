//! Runs three replicas of the fleet store as processes.

use super::wait_for;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Limit of every wait. It is generous, as these tests check the outcome and not the time.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A store group of three replicas, each a process. Dropping it kills them and deletes their files.
pub struct Replicas {
    pub folder: PathBuf,
    pub addresses: Vec<SocketAddr>,
    pub running: Vec<Option<Child>>,
}

impl Replicas {
    /// Starts the replicas at 127.78.`subnet`.1 to .3 and bootstraps the group. Each caller needs a subnet of its own.
    pub fn start(subnet: u8) -> Self {
        let folder = super::temp_path("keepers");
        std::fs::create_dir_all(&folder).expect("a writable directory");
        // Nothing else uses these addresses, so a port that was free stays free until the replica binds it.
        let free: Vec<TcpListener> = (0..3)
            .map(|n| {
                TcpListener::bind((std::net::Ipv4Addr::new(127, 78, subnet, n + 1), 0)).expect("a free port")
            })
            .collect();
        let addresses: Vec<SocketAddr> =
            free.iter().map(|listener| listener.local_addr().expect("a bound listener")).collect();
        drop(free);
        let mut replicas = Self { folder, addresses, running: vec![None, None, None] };
        (0..3).for_each(|n| replicas.start_replica(n));
        replicas.fleet_command_until_success(&["begin"]);
        replicas
    }

    pub fn start_replica(&mut self, n: usize) {
        self.start_replica_with(n, Stdio::null(), &[]);
    }

    /// Starts a replica with these variables in its environment, and its standard error sent to `errors`.
    pub fn start_replica_with(&mut self, n: usize, errors: Stdio, variables: &[(&str, &str)]) {
        let config = self.folder.join(format!("{n}.json"));
        let folder = self.folder.join(n.to_string());
        let json = json!({"group": "g", "id": n + 1, "listen": self.addresses[n], "folder": folder, "session_s": 3.0});
        std::fs::write(&config, json.to_string()).expect("a writable directory");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        command
            .arg("keep")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .env("RUST_LOG", "off");
        command.envs(variables.iter().copied());
        self.running[n] = Some(command.spawn().expect("the program starts"));
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.running[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a replica exits with an error, and returns its standard error, which must be piped.
    pub fn wait_for_failure(&mut self, n: usize) -> String {
        // Until it has exited it stays in `running`, so that the drop kills it if this wait fails.
        wait_for(LIMIT, "the replica did not exit", || {
            let ended = self.running[n].as_mut().expect("a running replica").try_wait().expect("a child");
            ended.map(|status| assert!(!status.success(), "the replica exited without an error"))
        });
        let child = self.running[n].take().expect("a running replica");
        let output = child.wait_with_output().expect("the output of the exited replica");
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    /// Starts a replica that must exit with an error at startup, and returns its standard error.
    pub fn start_expecting_failure(&mut self, n: usize) -> String {
        self.start_replica_with(n, Stdio::piped(), &[]);
        self.wait_for_failure(n)
    }

    /// Waits for a leader; returns its index and the revision of each replica.
    pub fn leader_and_revisions(&self) -> (usize, Vec<u64>) {
        wait_for(LIMIT, "no replica became the leader", || {
            let all = self.fleet_command(&["status", "--json"]).stdout;
            let all = String::from_utf8_lossy(&all).into_owned();
            let lines: Vec<Value> = all.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            let leader =
                lines.iter().find(|status| status["leader"].is_u64() && status["leader"] == status["id"])?;
            let revisions = lines.iter().map(|status| status["revision"].as_u64().unwrap_or(0)).collect();
            Some((leader["id"].as_u64()? as usize - 1, revisions))
        })
    }

    /// Returns the addresses by replica ID, in the form of an operator's file.
    pub fn addresses_json(&self) -> Value {
        (0..3)
            .map(|n| ((n + 1).to_string(), json!(self.addresses[n])))
            .collect::<serde_json::Map<_, _>>()
            .into()
    }

    /// Runs `pebblepost fleet` with these arguments against the group.
    pub fn fleet_command(&self, arguments: &[&str]) -> Output {
        let named: Vec<String> = (0..3).map(|n| format!("{}={}", n + 1, self.addresses[n])).collect();
        let mut fleet = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        fleet.args(["fleet", "--keepers", &named.join(","), "--by", "tester"]).args(arguments);
        fleet.output().expect("the program starts")
    }

    /// Repeats `pebblepost fleet` with these arguments until it succeeds, and returns its standard output.
    ///
    /// # Panics
    ///
    /// Panics with the last error if the command does not succeed within [`LIMIT`].
    pub fn fleet_command_until_success(&self, arguments: &[&str]) -> String {
        let start = Instant::now();
        loop {
            let output = self.fleet_command(arguments);
            if output.status.success() {
                return String::from_utf8_lossy(&output.stdout).into_owned();
            }
            let errors = String::from_utf8_lossy(&output.stderr);
            assert!(start.elapsed() < LIMIT, "{arguments:?}: {errors}");
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
