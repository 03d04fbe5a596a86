//! A small cluster of processes of the binary. Each machine has its own loopback address.

use super::client::{ApiRequest, send};
use super::relay;
use super::settings::{CONTROL_PORT, FRONT_PORT, MEMORY_MB, MachineSettings, READY_PORT, ZONES};
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pebblepost-system");
const PORTS_PER_RANGE: u16 = 16;
/// First port of the first range. All ranges lie below the operating system's ephemeral ports.
const FIRST_RANGE_PORT: u16 = 12_000;
const RANGE_COUNT: u16 = 1_200;
/// Number of last lines of each log that a failed test prints.
const PRINTED_LOG_LINES: usize = 25;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the highest resident memory of a process so far, in megabytes.
fn peak_memory_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a running process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes * 1024 / 1_000_000
}

/// Number of machines of each class.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    pub controls: u8,
    pub stores: u8,
    pub edges: u8,
}

/// One process of a role.
#[derive(Debug)]
struct Process {
    role: &'static str,
    /// Index in [`Cluster::hosts`].
    host: usize,
    child: Option<Child>,
}

/// One machine, with the settings of its processes.
#[derive(Debug)]
struct Host {
    name: String,
    class: &'static str,
    ip: IpAddr,
    zone: &'static str,
    first_port: u16,
    seeds: Vec<SocketAddr>,
}

/// A running cluster. When dropped it kills its processes and, if the test failed, prints the ends of their
/// logs.
#[derive(Debug)]
pub struct Cluster {
    folder: PathBuf,
    hosts: Vec<Host>,
    processes: Vec<Process>,
}

impl Cluster {
    /// Starts all machines. `number` must be unique among the clusters of one test process.
    pub async fn start(number: u8, size: ClusterSize) -> Cluster {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("pebblepost-end-to-end-{process}-{number}"));
        std::fs::create_dir_all(&folder).expect("a directory");
        let network = Network { number, third_octet: u8::try_from(process % 250).expect("below 250") };
        let mut ranges = free_ranges(process);
        let common = ranges.next().expect("a free range");
        let mut cluster = Cluster { folder, hosts: Vec::new(), processes: Vec::new() };
        let seeds: Vec<SocketAddr> =
            (0..size.controls.min(3)).map(|index| network.address(10 + index, CONTROL_PORT)).collect();
        for index in 0..size.controls {
            cluster.add_host("core", index, network.ip(10 + index), common, seeds.clone());
        }
        for index in 0..size.stores {
            cluster.add_host("storage", index, network.ip(30 + index), common, seeds.clone());
        }
        for index in 0..size.edges {
            let (first_port, seeds) = if index == 0 {
                (common, seeds.clone())
            } else {
                let range = ranges.next().expect("a free range");
                (range, start_seed_relays(network, index, size, common, range).await)
            };
            cluster.add_host("edge", index, network.ip(50 + index), first_port, seeds);
        }
        cluster.start_all();
        cluster
    }

    fn add_host(
        &mut self, class: &'static str, index: u8, ip: IpAddr, first_port: u16, seeds: Vec<SocketAddr>,
    ) {
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let name = format!("{class}-{zone}-{}", index + 1);
        let host = self.hosts.len();
        self.hosts.push(Host { name, class, ip, zone, first_port, seeds });
        let roles: &[&'static str] = match class {
            "core" => &["control"],
            "storage" => &["store"],
            _ => &["proxy", "agent"],
        };
        for role in roles {
            self.processes.push(Process { role, host, child: None });
        }
    }

    fn start_all(&mut self) {
        for index in 0..self.processes.len() {
            self.start_process(index, true);
        }
    }

    fn start_process(&mut self, index: usize, bootstrap: bool) {
        let Process { role, host, .. } = self.processes[index];
        let host = &self.hosts[host];
        let data = self.folder.join(format!("{}-data", host.name));
        let has_disk = host.class != "edge";
        if has_disk {
            std::fs::create_dir_all(&data).expect("a directory");
        }
        let settings = MachineSettings {
            name: &host.name,
            class: host.class,
            ip: host.ip,
            zone: host.zone,
            first_port: host.first_port,
            seeds: &host.seeds,
            bootstrap,
            data_dir: has_disk.then_some(data.as_path()),
        };
        let settings_path = self.folder.join(format!("{}-{role}.toml", host.name));
        std::fs::write(&settings_path, settings.to_toml()).expect("writable");
        let log = File::options().create(true).append(true).open(self.log_path(index)).expect("writable");
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("PEBBLEPOST_SETTINGS", &settings_path)
            .env("RUST_BACKTRACE", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.processes[index].child = Some(child);
    }

    fn log_path(&self, index: usize) -> PathBuf {
        let process = &self.processes[index];
        self.folder.join(format!("{}-{}.log", self.hosts[process.host].name, process.role))
    }

    fn addresses(&self, class: &str, port: u16) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().filter(|host| host.class == class);
        hosts.map(|host| SocketAddr::new(host.ip, port)).collect()
    }

    /// Returns the addresses of the control nodes' HTTP interfaces.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addresses("core", CONTROL_PORT)
    }

    /// Returns the internal addresses of the control nodes, where their state can be read.
    pub fn links(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter().filter(|host| host.class == "core");
        hosts.map(|host| SocketAddr::new(host.ip, host.first_port)).collect()
    }

    /// Returns the addresses at which the proxies accept clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses("edge", FRONT_PORT)
    }

    /// Waits until every edge machine reports that it is ready.
    pub async fn wait_until_ready(&mut self) {
        for address in self.addresses("edge", READY_PORT) {
            let deadline = Instant::now() + READY_TIMEOUT;
            while !is_ready(address).await {
                self.assert_running();
                assert!(Instant::now() < deadline, "{address} is not ready after {READY_TIMEOUT:?}");
                tokio::time::sleep(super::POLL_INTERVAL).await;
            }
        }
    }

    /// Kills the control node with the IP of an address by SIGKILL, and returns the index of the process.
    pub fn kill_control_at(&mut self, address: SocketAddr) -> usize {
        let index = self
            .processes
            .iter()
            .position(|process| process.role == "control" && self.hosts[process.host].ip == address.ip());
        self.kill(index.expect("a control process"))
    }

    /// Kills a store machine by SIGKILL, and returns the index of the process. `number` counts from 0.
    pub fn kill_store(&mut self, number: usize) -> usize {
        self.kill(self.process("store", number))
    }

    /// Returns the index of a process of a role. `number` counts from 0.
    pub fn process(&self, role: &str, number: usize) -> usize {
        let of_role = self.processes.iter().enumerate().filter(|(_, process)| process.role == role);
        of_role.map(|(index, _)| index).nth(number).expect("a process of the role")
    }

    /// Sends a signal to a process.
    pub fn signal(&self, index: usize, signal: &str) {
        let child = self.processes[index].child.as_ref().expect("a running process");
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{signal} was not sent");
    }

    /// Asserts that no running process has ever had more resident memory than `memory_mb` in the settings. Restarting a
    /// process starts anew.
    pub fn assert_memory_within_limits(&self) {
        for (index, process) in self.processes.iter().enumerate() {
            let Some(child) = &process.child else { continue };
            let peak_mb = peak_memory_mb(child.id());
            println!("{:?}: {peak_mb} MB", self.log_path(index).file_name().expect("a name"));
            assert!(peak_mb <= MEMORY_MB, "{:?}: {peak_mb} MB of {MEMORY_MB}", self.log_path(index));
        }
    }

    /// Kills the proxies of all edge machines by SIGKILL, and returns the indices of the processes.
    pub fn kill_proxies(&mut self) -> Vec<usize> {
        let is_proxy = |index: &usize| self.processes[*index].role == "proxy";
        let indices: Vec<usize> = (0..self.processes.len()).filter(is_proxy).collect();
        indices.into_iter().map(|index| self.kill(index)).collect()
    }

    /// Kills a process by SIGKILL, and returns its index.
    pub fn kill(&mut self, index: usize) -> usize {
        let mut child = self.processes[index].child.take().expect("a running process");
        child.kill().expect("killed");
        child.wait().expect("ended");
        index
    }

    /// Restarts a killed process with its data directory.
    pub fn restart(&mut self, index: usize) {
        self.start_process(index, false);
    }

    /// Restarts a killed store and waits until it has loaded its disk and is connected to control.
    pub async fn restart_store(&mut self, index: usize, timeout: Duration) {
        let connections_before = self.control_connections(index);
        self.restart(index);
        super::wait_for("the store is connected", timeout, || {
            self.control_connections(index) > connections_before
        })
        .await;
    }

    /// Returns how often the log of a process reports a connection to control.
    fn control_connections(&self, index: usize) -> usize {
        let log = std::fs::read_to_string(self.log_path(index)).unwrap_or_default();
        log.matches("connected to control plane").count()
    }

    /// Fails the test if a process that was not killed has ended.
    pub fn assert_running(&mut self) {
        for process in &mut self.processes {
            let Some(child) = &mut process.child else { continue };
            if let Some(status) = child.try_wait().expect("a child") {
                let name = &self.hosts[process.host].name;
                panic!("{} on {name} ended unexpectedly: {status}", process.role);
            }
        }
    }

    /// Sends SIGTERM to all processes and waits until they have ended. Asserts that their exit code is 0.
    pub async fn shut_down(mut self) {
        self.assert_running();
        let running = (0..self.processes.len()).filter(|index| self.processes[*index].child.is_some());
        running.for_each(|index| self.signal(index, "-TERM"));
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        for index in 0..self.processes.len() {
            let Some(mut child) = self.processes[index].child.take() else { continue };
            let status = loop {
                if let Some(status) = child.try_wait().expect("a child") {
                    break status;
                }
                if Instant::now() >= deadline {
                    self.processes[index].child = Some(child);
                    panic!("{:?} did not end within {SHUTDOWN_TIMEOUT:?}", self.log_path(index));
                }
                tokio::time::sleep(super::POLL_INTERVAL).await;
            };
            assert!(status.success(), "{:?}: ended with {status}", self.log_path(index));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::thread::panicking() {
            for index in 0..self.processes.len() {
                print_log_tail(&self.log_path(index));
            }
            println!("logs and settings: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    send(address, &ApiRequest::new("GET", "/readyz")).await.is_ok_and(|response| response.status == 200)
}

/// Prints the last lines of a log.
fn print_log_tail(log: &Path) {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    println!("== {} ({} lines)", log.display(), lines.len());
    for line in lines.iter().skip(lines.len().saturating_sub(PRINTED_LOG_LINES)) {
        println!("{line}");
    }
}

/// The loopback addresses of one cluster.
#[derive(Clone, Copy, Debug)]
struct Network {
    number: u8,
    /// Derived from the process id, so that simultaneous test processes usually differ.
    third_octet: u8,
}

impl Network {
    fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 10 + self.number, self.third_octet, host))
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// Iterates over the port ranges that are free on 127.0.0.1, where the agents listen. The first one depends
/// on the process id, so that simultaneous test processes usually get different ranges.
fn free_ranges(process: u32) -> impl Iterator<Item = u16> {
    let start = u16::try_from(process % u32::from(RANGE_COUNT)).expect("below RANGE_COUNT");
    (0..RANGE_COUNT)
        .map(move |step| FIRST_RANGE_PORT + (start + step) % RANGE_COUNT * PORTS_PER_RANGE)
        .filter(|first| {
            (*first..first + PORTS_PER_RANGE).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok())
        })
}

/// Starts the relays for an edge machine with its own port range, and returns its seeds. Each control node
/// gets one relay for its HTTP interface and one for its internal address.
async fn start_seed_relays(
    network: Network, edge: u8, size: ClusterSize, common: u16, range: u16,
) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for control in 0..size.controls.min(3) {
        let relay_host = 100 + edge * 10 + control;
        let seed = network.address(relay_host, CONTROL_PORT);
        relay::start(seed, network.address(10 + control, CONTROL_PORT)).await;
        relay::start(network.address(relay_host, range), network.address(10 + control, common)).await;
        seeds.push(seed);
    }
    seeds
}
