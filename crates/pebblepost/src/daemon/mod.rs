//! The daemon, which runs one event loop on one thread.
//!
//! Each iteration collects all ready events and due timers, passes the resulting inputs to the engine in one batch, and executes
//! the engine's outputs. The daemon owns the engine, the fronts, the worker connections and the watch, and routes events between
//! them. It makes no scheduling decisions.

mod connections;
mod fleet_link;
mod outputs;
mod shutdown;

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::context::Context;
use crate::discovery::registry::Registry;
use crate::discovery::watch::Watch;
use crate::engine::{Engine, Input};
use crate::fleet_agent::{FleetAgent, FleetAgentError};
use crate::front::faktory::Faktory;
use crate::front::health::NodeStatus;
use crate::front::platform::Platform;
use crate::net::{ListenerKind, ReadyEvent, Signal, Sockets};
use crate::timer::Timer;
use crate::workers::WorkerConnections;
use fleet_link::FleetLink;
use pebblepost_dispatch::api::ListKind;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use thiserror::Error;

/// Process signals, and the means to read the configuration again.
pub struct Signals {
    /// Becomes readable on SIGTERM and SIGINT.
    pub stop: UnixStream,
    /// Becomes readable on SIGHUP.
    pub reload: UnixStream,
    /// Reads the configuration again.
    pub read_config: Box<dyn Fn() -> Result<Config, ConfigError> + Send>,
}

/// The reason why the daemon could not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The fleet agent cannot start.
    #[error(transparent)]
    FleetAgent(#[from] FleetAgentError),
    /// The operating system did not provide a poller or a descriptor.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The dispatcher daemon.
pub struct Daemon {
    context: Context,
    engine: Engine,
    platform: Platform,
    workers: WorkerConnections,
    watch: Watch,
    faktory: Option<Faktory>,
    /// The link to the fleet agent; `None` if the operator's file does not configure a fleet.
    fleet: Option<FleetLink>,
    signals: Signals,
}

impl Daemon {
    /// Opens the listeners and starts the fleet agent.
    ///
    /// # Errors
    ///
    /// If a listener cannot be opened, the fleet agent cannot start, or the operating system does not provide a poller or a
    /// descriptor.
    pub fn new(config: Config, signals: Signals, log: fn(&str)) -> Result<Self, DaemonError> {
        let clock = Clock::default();
        let net = open_sockets(&config, &signals, &clock)?;
        let trace = std::env::var_os("PEBBLEPOST_TRACE").map(|_| log);
        if let Some(log) = trace {
            log(&format!("trace settings {:?}", config.settings));
        }
        let engine = Engine::new(config.settings.clone(), config.seed, net.now).with_trace(trace);
        let mut registry = Registry::new(config.zones, config.kinds);
        if let Some(known) = &config.known_endpoints {
            registry.apply(known, Some(ListKind::Cached), &clock);
        }
        if config.discovery.is_some() {
            registry.withhold();
        }
        let mut context = Context::new(net, registry, clock, log);
        context.inputs.push(context.registry.membership());
        let report_fields = config.settings.report_fields.clone();
        let configured_timeouts =
            config.faktory.as_ref().map(|faktory| (faktory.heartbeat, faktory.reserve_for));
        let faktory = config.faktory.map(|faktory| Faktory::new(&mut context, faktory, report_fields));
        let agent = config.fleet.as_ref();
        let agent = agent.map(|fleet| FleetAgent::start(fleet, &config.name, config.listen, log));
        let fleet = agent.transpose()?.map(|agent| FleetLink::new(agent, configured_timeouts));
        if let Some(fleet) = &fleet {
            fleet.watch(&context.net)?;
        }
        let mut daemon = Self {
            context,
            engine,
            platform: Platform::new(config.classes, config.tenants),
            workers: WorkerConnections::new(&config.settings, config.connect_timeout, config.report_names),
            watch: Watch::new(config.discovery, &config.settings, config.seed),
            faktory,
            fleet,
            signals,
        };
        daemon.watch.schedule_call(&mut daemon.context);
        daemon.apply_fleet_view();
        if let Some(fleet) = &daemon.fleet {
            fleet.schedule_report(&mut daemon.context);
        }
        Ok(daemon)
    }

    /// Returns the address at which the fleet agent accepts operators of this machine; `None` if there is none.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref()?.control_address()
    }

    /// Returns the address of a listener; `None` if it is not open.
    pub fn address(&self, listener: ListenerKind) -> Option<SocketAddr> {
        self.context.net.listener_address(listener)
    }

    /// Runs until the graceful shutdown after a stop signal is complete.
    ///
    /// # Errors
    ///
    /// If the poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        self.process_inputs();
        while !self.has_drained() {
            let immediately = !self.context.inputs.is_empty();
            for event in self.context.net.wait(&self.context.clock, immediately)? {
                self.on_ready_event(event);
            }
            while let Some(timer) = self.context.net.timers.pop_due(self.context.net.now) {
                self.on_timer(timer);
            }
            self.process_inputs();
            if self.context.is_draining() {
                self.platform.close_idle(&mut self.context);
            }
        }
        (self.context.log)("stopped");
        Ok(())
    }

    fn on_ready_event(&mut self, event: ReadyEvent) {
        match event {
            ReadyEvent::Signal(Signal::Stop) => {
                let _ = (&self.signals.stop).read(&mut [0; 16]);
                self.begin_shutdown("SIGTERM");
            }
            ReadyEvent::Signal(Signal::Reload) => self.reload(),
            ReadyEvent::Signal(Signal::Fleet) => self.on_fleet_update(),
            ReadyEvent::Listener(index) => drop(self.accept(index)),
            ReadyEvent::Connection { key, readable, writable } => {
                self.on_connection_ready(key, readable, writable)
            }
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        let context = &mut self.context;
        match timer {
            Timer::Engine(timer) => context.inputs.push(Input::TimerDue(timer)),
            Timer::WriteTimeout(key) => self.on_closed(key),
            Timer::Connection(key) => self.on_deadline(key),
            Timer::GracePeriodEnd => self.start_draining(),
            Timer::DiscoveryCall => self.watch.on_call_timer(context),
            Timer::ResumeAccepting => context.net.resume_accepting(),
            Timer::FleetReport => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.request_report();
                    fleet.schedule_report(context);
                }
            }
            Timer::FaktoryExpiry => self.faktory.iter_mut().for_each(|faktory| faktory.expire(context)),
        }
    }

    /// Applies the newest view of the state agreed in the fleet: drain marks, the permit to stop and settings.
    fn apply_fleet_view(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        let (view, configured_timeouts) = (fleet.take_view(), fleet.configured_timeouts);
        if let Some(input) = self.context.registry.set_drained(view.drained.clone()) {
            self.context.inputs.push(input);
        }
        if let Some(revision) = view.permit_revision {
            self.begin_shutdown(&format!("permit to stop granted at revision {revision}"));
        }
        if let (Some(faktory), Some((heartbeat, reserve_for))) = (&mut self.faktory, configured_timeouts) {
            let heartbeat = view.duration("faktory.heartbeat_s").unwrap_or(heartbeat);
            let reserve_for = view.duration("faktory.reserve_for_s").unwrap_or(reserve_for);
            faktory.set_timeouts(heartbeat, reserve_for);
        }
    }

    /// Handles a notification of the fleet agent.
    fn on_fleet_update(&mut self) {
        if let Some(fleet) = &self.fleet {
            fleet.drain_notifications();
        }
        self.apply_fleet_view();
    }

    /// Returns the state of this node, as reported to load balancers.
    fn status(&self) -> NodeStatus {
        NodeStatus {
            stopping: self.context.is_stopping(),
            ready_workers: self.engine.ready_worker_count(),
            connections: self.context.net.connection_count(),
            max_connections: self.context.net.max_connections(),
        }
    }

    /// Reads the configuration again and applies a changed discovery address. All other settings stay as at the start. An invalid
    /// configuration changes nothing.
    fn reload(&mut self) {
        let _ = (&self.signals.reload).read(&mut [0; 16]);
        let log = self.context.log;
        match (self.signals.read_config)().map(|config| config.discovery) {
            Ok(Some(address)) => self.watch.switch_address(&mut self.context, address),
            Ok(None) => log("SIGHUP: configuration has no discovery address; keeping the current one"),
            Err(error) => {
                log(&format!("SIGHUP: cannot reload the configuration; keeping the current one: {error}"))
            }
        }
    }
}

/// Creates the sockets, registers the signals and opens the configured listeners.
fn open_sockets(config: &Config, signals: &Signals, clock: &Clock) -> Result<Sockets, DaemonError> {
    let mut net = Sockets::new(config.max_descriptors, clock.now())?;
    for (signal, pipe) in [(Signal::Stop, &signals.stop), (Signal::Reload, &signals.reload)] {
        pipe.set_nonblocking(true)?;
        net.watch_signal(signal, pipe)?;
    }
    let listeners = [
        (ListenerKind::Faktory, config.faktory.as_ref().map(|faktory| faktory.listen)),
        (ListenerKind::Platform, config.listen),
        (ListenerKind::AgentCheck, config.agent_check),
        (ListenerKind::Health, config.health),
    ];
    for (listener, address) in listeners {
        if let Some(address) = address {
            net.listen(listener, address).map_err(|error| DaemonError::Listen { address, error })?;
        }
    }
    Ok(net)
}
