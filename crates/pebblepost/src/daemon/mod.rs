//! The daemon: one thread, one event loop.
//!
//! Each iteration gathers all that is ready, hands it to the engine in one turn, and carries out what comes back. The daemon
//! owns the engine, the fronts, the worker connections and the watch, and routes events between them; it decides nothing.

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

/// What reaches the daemon from outside while it runs.
pub struct Signals {
    /// Becomes readable at SIGTERM and SIGINT.
    pub stop: UnixStream,
    /// Becomes readable at SIGHUP.
    pub reload: UnixStream,
    /// Reads the configuration again.
    pub read_config: Box<dyn Fn() -> Result<Config, ConfigError> + Send>,
}

/// Why the daemon could not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Its address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// The fleet agent cannot start.
    #[error(transparent)]
    FleetAgent(#[from] FleetAgentError),
    /// The system gives no poller or descriptor.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The daemon.
pub struct Daemon {
    context: Context,
    engine: Engine,
    platform: Platform,
    workers: WorkerConnections,
    watch: Watch,
    faktory: Option<Faktory>,
    /// The link to the fleet store, if the operator's file has one.
    fleet: Option<FleetLink>,
    signals: Signals,
}

impl Daemon {
    /// Opens the listeners and starts the fleet agent.
    ///
    /// # Errors
    ///
    /// If a listener cannot be opened, the fleet agent cannot start, or the system gives no poller or descriptor.
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
        let default_timeouts =
            config.faktory.as_ref().map(|faktory| (faktory.heartbeat, faktory.reserve_for));
        let faktory = config.faktory.map(|faktory| Faktory::new(&mut context, faktory, report_fields));
        let agent = config.fleet.as_ref();
        let agent = agent.map(|fleet| FleetAgent::start(fleet, &config.name, config.listen, log));
        let fleet = agent.transpose()?.map(|agent| FleetLink::new(agent, default_timeouts));
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

    /// Where the fleet agent listens to operators of this machine.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref()?.control_address()
    }

    /// The address of an open listener.
    pub fn address(&self, listener: ListenerKind) -> Option<SocketAddr> {
        self.context.net.listener_address(listener)
    }

    /// Runs until a stop signal and the last response after it.
    ///
    /// # Errors
    ///
    /// If the poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        self.turn();
        while !self.is_finished() {
            let immediately = !self.context.inputs.is_empty();
            for event in self.context.net.wait(&self.context.clock, immediately)? {
                self.on_ready(event);
            }
            while let Some(timer) = self.context.net.timers.pop_due(self.context.net.now) {
                self.on_timer(timer);
            }
            self.turn();
            if self.context.is_draining() {
                self.platform.close_idle(&mut self.context);
            }
        }
        (self.context.log)("stopped");
        Ok(())
    }

    fn on_ready(&mut self, event: ReadyEvent) {
        match event {
            ReadyEvent::Signal(Signal::Stop) => {
                let _ = (&self.signals.stop).read(&mut [0; 16]);
                self.stop("SIGTERM");
            }
            ReadyEvent::Signal(Signal::Reload) => self.reload(),
            ReadyEvent::Signal(Signal::Fleet) => self.on_fleet_update(),
            ReadyEvent::Listener(index) => drop(self.accept(index)),
            ReadyEvent::Connection { key, readable, writable } => self.serve(key, readable, writable),
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

    /// Puts into force what is agreed in the fleet, as far as it is known.
    fn apply_fleet_view(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        let (view, default_timeouts) = (fleet.take_view(), fleet.default_timeouts);
        if let Some(input) = self.context.registry.set_drained(view.drained.clone()) {
            self.context.inputs.push(input);
        }
        if let Some(revision) = view.permit_revision {
            self.stop(&format!("permitted to end at revision {revision}"));
        }
        if let (Some(faktory), Some((heartbeat, reserve_for))) = (&mut self.faktory, default_timeouts) {
            let heartbeat = view.duration("faktory.heartbeat_s").unwrap_or(heartbeat);
            let reserve_for = view.duration("faktory.reserve_for_s").unwrap_or(reserve_for);
            faktory.set_timeouts(heartbeat, reserve_for);
        }
    }

    fn on_fleet_update(&mut self) {
        if let Some(fleet) = &self.fleet {
            fleet.drain_notifications();
        }
        self.apply_fleet_view();
    }

    /// The state of this node, as load balancers are told.
    fn status(&self) -> NodeStatus {
        NodeStatus {
            stopping: self.context.is_stopping(),
            ready_workers: self.engine.ready_worker_count(),
            connections: self.context.net.connection_count(),
            max_connections: self.context.net.max_connections(),
        }
    }

    /// Goes over to the discovery that the configuration names now; all else stays as it was at the start. A configuration
    /// that cannot be used changes nothing.
    fn reload(&mut self) {
        let _ = (&self.signals.reload).read(&mut [0; 16]);
        let log = self.context.log;
        match (self.signals.read_config)().map(|config| config.discovery) {
            Ok(Some(address)) => self.watch.switch_address(&mut self.context, address),
            Ok(None) => log("SIGHUP: the configuration names no discovery, the old one stays"),
            Err(error) => log(&format!("SIGHUP: the old configuration stays: {error}")),
        }
    }
}

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
