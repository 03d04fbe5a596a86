//! The loop. Each turn gathers all that is ready, hands it to the core in one go, and carries out what
//! comes back.

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::discovery::{Discovery, Registry};
use crate::engine::{Engine, Input, Output};
use crate::fleet_agent::FleetAgent;
use crate::front::faktory::{Faktory, Peer};
use crate::front::platform::{ClientState, Platform};
use crate::health::{self, Condition};
use crate::net::{ConnKey, Due, Listener, Net, Ready, Role, Shared, Signal};
use crate::sight::Mute;
use crate::workers::Workers;
use pebblepost_dispatch::api::{ListKind, Status};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// After SIGTERM new connections are taken and old ones kept for so long, as balancers notice late.
const LAST_CALLS: Duration = Duration::from_millis(500);

/// So many times what one turn accepts is a listener's whole backlog.
const BACKLOG_TURNS: usize = 16;

/// Where there is an agent it is told this often what is still out at drained workers, and how the workers stand.
const LOOK: Duration = Duration::from_millis(200);

/// What is told to the program from outside while it runs.
pub struct Signals {
    /// Becomes readable at SIGTERM.
    pub stop: UnixStream,
    /// Becomes readable at SIGHUP.
    pub reload: UnixStream,
    /// Reads the configuration anew.
    pub read: Box<dyn Fn() -> Result<Config, ConfigError> + Send>,
}

/// The program.
pub struct Daemon {
    s: Shared,
    engine: Engine,
    platform: Platform,
    workers: Workers,
    discovery: Discovery,
    faktory: Option<Faktory>,
    /// Follows the agreed store, where the operator's file sets it up.
    agent: Option<FleetAgent>,
    /// The agreed revision that is in force once the inputs in hand are, and whether the agent is to be told.
    acts_by: u64,
    to_confirm: bool,
    mute: Mute,
    /// As the operator's file says, where nothing is agreed.
    faktory_times: Option<(Duration, Duration)>,
    signals: Signals,
    outputs: Vec<Output>,
}

impl Daemon {
    /// Opens the listeners.
    pub fn new(config: Config, signals: Signals, log: fn(&str)) -> io::Result<Self> {
        let clock = Clock::default();
        let mut net = Net::new(config.max_descriptors, clock.now())?;
        for (signal, pipe) in [(Signal::Stop, &signals.stop), (Signal::Reload, &signals.reload)] {
            pipe.set_nonblocking(true)?;
            net.watch_signal(signal, pipe)?;
        }
        let faktory = config.faktory.as_ref().map(|f| f.listen);
        let listeners = [
            (Listener::Faktory, faktory),
            (Listener::Platform, config.listen),
            (Listener::Agent, config.agent_check),
            (Listener::Health, config.health),
        ];
        for (listener, address) in listeners {
            if let Some(address) = address {
                net.listen(listener, address)
                    .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))?;
            }
        }
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
            registry.hold_back();
        }
        let mut s = Shared::new(net, registry, clock, log);
        s.inputs.push(s.registry.whole());
        let classes = config.classes;
        let fields = config.settings.report_fields.clone();
        let faktory_times = config.faktory.as_ref().map(|f| (f.heartbeat, f.reserve_for));
        let faktory = config.faktory.map(|f| Faktory::new(&mut s, f, fields));
        let agent = config
            .fleet
            .as_ref()
            .map(|f| FleetAgent::start(f, &config.name, config.listen, log))
            .transpose()?;
        if let Some(agent) = &agent {
            agent.wake.set_nonblocking(true)?;
            s.net.watch_signal(Signal::Fleet, &agent.wake)?;
        }
        let mut daemon = Self {
            s,
            faktory,
            agent,
            acts_by: 0,
            to_confirm: false,
            mute: Mute::default(),
            faktory_times,
            engine,
            platform: Platform::new(classes, config.tenants),
            workers: Workers::new(&config.settings, config.connect_timeout, config.report_names),
            discovery: Discovery::new(config.discovery, &config.settings, config.seed),
            signals,
            outputs: Vec::new(),
        };
        daemon.discovery.keep_up(&mut daemon.s);
        daemon.apply_agreed();
        if daemon.agent.is_some() {
            daemon.s.net.timers.schedule(daemon.s.net.now + LOOK, Due::Doing);
        }
        Ok(daemon)
    }

    /// Puts into force what is agreed in the fleet, as far as it is known.
    fn apply_agreed(&mut self) {
        let Some(agent) = &self.agent else { return };
        let known = agent.view();
        if let Some(told) = self.s.registry.mark(known.drained.clone()) {
            self.s.inputs.push(told);
        }
        (self.acts_by, self.to_confirm) = (known.revision, true);
        if let Some(revision) = known.permit_revision {
            self.stop(&format!("permitted to end at revision {revision}"));
        }
        if let (Some(faktory), Some((heartbeat, reserve_for))) = (&mut self.faktory, self.faktory_times) {
            let heartbeat = known.duration("faktory.heartbeat_s").unwrap_or(heartbeat);
            let reserve_for = known.duration("faktory.reserve_for_s").unwrap_or(reserve_for);
            faktory.set_times(heartbeat, reserve_for);
        }
    }

    /// The agent has something new.
    fn woken(&mut self) {
        if let Some(agent) = &mut self.agent {
            // One byte for each; what is taken is the newest in any case.
            while matches!((&agent.wake).read(&mut [0; 64]), Ok(1..)) {}
        }
        self.apply_agreed();
    }

    /// Where the agent listens to operators of this machine.
    pub fn control(&self) -> Option<SocketAddr> {
        self.agent.as_ref()?.control
    }

    /// Where a listener listens.
    pub fn address(&self, listener: Listener) -> Option<SocketAddr> {
        self.s.net.address(listener)
    }

    /// Runs until SIGTERM and the last answer after it.
    pub fn run(&mut self) -> io::Result<()> {
        self.hand_over();
        while !self.finished() {
            let more = !self.s.inputs.is_empty();
            for ready in self.s.net.wait(&self.s.clock, more)? {
                match ready {
                    Ready::Signal(Signal::Stop) => {
                        let _ = (&self.signals.stop).read(&mut [0; 16]);
                        self.stop("SIGTERM");
                    }
                    Ready::Signal(Signal::Reload) => self.reload(),
                    Ready::Signal(Signal::Fleet) => self.woken(),
                    Ready::Listener(index) => drop(self.accept(index)),
                    Ready::Conn(key, readable, writable) => self.serve(key, readable, writable),
                }
            }
            while let Some(due) = self.s.net.timers.pop_due(self.s.net.now) {
                self.due(due);
            }
            self.hand_over();
            if self.s.last_calls {
                self.platform.close_idle(&mut self.s);
            }
        }
        (self.s.log)("stopped");
        Ok(())
    }

    /// Hands what happened to the core and carries out what it asks for.
    fn hand_over(&mut self) {
        self.bury();
        if !self.s.inputs.is_empty() {
            let mut inputs = std::mem::take(&mut self.s.inputs);
            if self.agent.is_some() {
                for input in &inputs {
                    if let Input::Probed { worker, status, .. } = input {
                        self.mute.probed(self.s.net.now, *worker, *status);
                    }
                }
            }
            self.engine.turn(self.s.net.now, &mut inputs, &mut self.outputs);
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out(output);
            }
            self.bury();
        }
        let ready = self.condition().ready();
        if ready != self.s.ready {
            self.s.ready = ready;
            (self.s.log)(if ready { "ready" } else { "not ready" });
            if let Some(agent) = &self.agent {
                agent.set_ready(ready);
            }
        }
        self.confirm();
    }

    /// Tells the agent what is in force here by now, and what is still out at drained workers.
    fn confirm(&mut self) {
        let Some(agent) = &self.agent else { return };
        agent.set_request_counts(self.engine.counts());
        if !std::mem::take(&mut self.to_confirm) {
            return;
        }
        let busy = self.engine.busy(&self.s.registry.all_marked());
        let busy = busy.into_iter().filter_map(|worker| self.s.registry.mark_of(worker)?.parse().ok());
        agent.confirm(self.acts_by, busy.collect());
        if let Some(seen) =
            self.s.registry.seen(self.s.net.now, self.engine.settings().warm_up_time, &self.mute)
        {
            agent.set_observations(seen);
        }
    }

    fn condition(&self) -> Condition {
        Condition {
            stopping: self.s.stopping,
            ready_workers: self.engine.ready_workers(),
            descriptors: self.s.net.load(),
        }
    }

    /// Connections that broke while something was written to them.
    fn bury(&mut self) {
        while let Some(key) = self.s.net.broken.pop() {
            self.closed(key);
        }
    }

    fn carry_out(&mut self, output: Output) {
        let s = &mut self.s;
        match output {
            Output::Deliver { attempt, worker, time_left } => {
                if let Some(request) = self.platform.request(attempt.request, time_left) {
                    self.workers.deliver(s, attempt, worker, &request);
                } else if !self.faktory.as_mut().is_some_and(|f| f.deliver(s, attempt, worker)) {
                    s.inputs.push(Input::attempt_failed(attempt, Status::ConnectFailed));
                }
            }
            Output::Transmit { attempt, time_left } => {
                if let Some(request) = self.platform.request(attempt.request, time_left) {
                    self.workers.transmit(s, attempt, &request);
                }
            }
            Output::Abandon(attempt) => {
                self.workers.give_up(s, attempt);
                self.faktory.iter_mut().for_each(|f| f.give_up(attempt));
            }
            Output::Probe(worker) => {
                if !self.faktory.as_mut().is_some_and(|f| f.probe(s, worker)) {
                    self.workers.probe(s, worker);
                }
            }
            Output::CloseIdle(worker) => self.workers.close_idle(s, worker),
            // The watch is kept up in any case: when a change counts as told does not wait for the decisions.
            Output::Watch | Output::Fetch => {}
            Output::SetTimer(at, due) => {
                s.net.timers.schedule(at, Due::Core(due));
            }
            Output::Respond(id, answer) => {
                if !self.platform.answer(s, id, &answer)
                    && let Some(faktory) = &mut self.faktory
                {
                    faktory.answer(s, id, answer);
                }
            }
        }
    }

    /// Takes newcomers; whether there may be more.
    fn accept(&mut self, index: usize) -> bool {
        let role = |listener| match listener {
            Listener::Health => Role::Health(health::Asker),
            Listener::Agent => Role::Closing,
            Listener::Faktory => Role::Faktory(Peer::default()),
            _ => Role::Client(ClientState::Head),
        };
        let (listener, condition) = (self.s.net.listener(index), self.condition());
        let taken = self.s.net.accept(index, role);
        let any = !taken.is_empty();
        for key in taken {
            match listener {
                Some(Listener::Agent) => health::agent(&mut self.s, key, condition),
                Some(Listener::Health) => health::on_open(&mut self.s, key),
                Some(Listener::Faktory) => self.faktory.iter_mut().for_each(|f| f.on_open(&mut self.s, key)),
                Some(Listener::Platform) => self.platform.on_open(&mut self.s, key),
                None => {}
            }
        }
        any
    }

    fn serve(&mut self, key: ConnKey, readable: bool, writable: bool) {
        if writable {
            let fresh = self.s.net.get(key).is_some_and(|c| !c.connected);
            if !self.s.net.came_up(key) {
                return self.closed(key);
            }
            match self.s.net.get(key).map(|c| &c.role).filter(|_| fresh) {
                Some(Role::Worker(_)) => self.workers.on_up(&mut self.s, key),
                Some(Role::Discovery(_)) => self.discovery.on_up(&mut self.s, key),
                _ => {}
            }
            self.s.net.flush(key);
        }
        if readable {
            let alive = self.s.net.read(key);
            match self.s.net.get(key).map(|c| &c.role) {
                Some(Role::Client(_)) if alive => self.platform.on_data(&mut self.s, key),
                Some(Role::Worker(_)) => self.workers.on_data(&mut self.s, key),
                Some(Role::Discovery(_)) => {
                    for worker in self.discovery.on_data(&mut self.s, key) {
                        self.workers.close_idle(&mut self.s, worker);
                    }
                }
                Some(Role::Faktory(_)) => self.faktory.iter_mut().for_each(|f| f.on_data(&mut self.s, key)),
                Some(Role::Health(_)) if alive => {
                    let fleet = self.agent.as_ref().map(FleetAgent::status_line);
                    health::on_data(&mut self.s, key, fleet.as_deref().unwrap_or_default());
                }
                _ => {}
            }
            if !alive {
                self.closed(key);
            }
        }
    }

    /// A connection ended or broke.
    fn closed(&mut self, key: ConnKey) {
        match self.s.net.get(key).map(|c| &c.role) {
            Some(Role::Client(_)) => self.platform.on_closed(&mut self.s, key),
            Some(Role::Worker(_)) => self.workers.on_closed(&mut self.s, key),
            Some(Role::Discovery(_)) => self.discovery.on_closed(&mut self.s, key),
            Some(Role::Faktory(_)) => self.faktory.iter_mut().for_each(|f| f.on_closed(&mut self.s, key)),
            _ => {
                self.s.net.close(key);
            }
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Core(due) => self.s.inputs.push(Input::TimerDue(due)),
            Due::Write(key) => self.closed(key),
            Due::Conn(key) => match self.s.net.get(key).map(|c| &c.role) {
                Some(Role::Client(_)) => self.platform.on_deadline(&mut self.s, key),
                Some(Role::Worker(_)) => self.workers.on_deadline(&mut self.s, key),
                Some(Role::Discovery(_)) => self.discovery.on_deadline(&mut self.s, key),
                Some(Role::Faktory(_)) => {
                    self.faktory.iter_mut().for_each(|f| f.on_deadline(&mut self.s, key))
                }
                _ => self.closed(key),
            },
            Due::LastCalls => {
                self.s.last_calls = true;
                for which in [Listener::Platform, Listener::Faktory] {
                    // Whoever has connected is served: the end of the listener would reset what it has not given out.
                    if let Some(index) = self.s.net.index(which) {
                        // As many as a backlog holds: who goes on connecting must not hold up the end.
                        let _ = (0..BACKLOG_TURNS).all(|_| self.accept(index));
                    }
                    self.s.net.shut(which);
                }
            }
            Due::Watch => self.discovery.on_due(&mut self.s),
            Due::Accept => self.s.net.resume_accepting(),
            Due::Doing => {
                self.to_confirm = true;
                self.s.net.timers.schedule(self.s.net.now + LOOK, Due::Doing);
            }
            Due::Faktory => self.faktory.iter_mut().for_each(|f| f.sweep(&mut self.s)),
        }
    }

    fn stop(&mut self, why: &str) {
        if !self.s.stopping {
            self.s.stopping = true;
            (self.s.log)(&format!("{why}: finishing what was taken"));
            self.s.net.timers.schedule(self.s.net.now + LAST_CALLS, Due::LastCalls);
        }
    }

    /// Goes over to the discovery that the configuration names now; all else stays as it was at the start. A
    /// file that cannot be used changes nothing.
    fn reload(&mut self) {
        let mut byte = [0; 16];
        let _ = (&self.signals.reload).read(&mut byte);
        let log = self.s.log;
        match (self.signals.read)().map(|config| config.discovery) {
            Ok(Some(address)) => self.discovery.move_to(&mut self.s, address),
            Ok(None) => log("SIGHUP: the configuration names no discovery, the old one stays"),
            Err(error) => log(&format!("SIGHUP: the old configuration stays: {error}")),
        }
    }

    /// After the last calls: nothing taken is left, and all answers are out.
    fn finished(&mut self) -> bool {
        self.s.last_calls
            && self.engine.unanswered() == 0
            && !self.s.net.keys().into_iter().any(|key| {
                self.s.net.get(key).is_some_and(|c| match &c.role {
                    // One that closes stays until its peer has read the answer: our end would reset it away.
                    Role::Client(_) | Role::Closing => true,
                    Role::Faktory(_) => !c.written(),
                    _ => false,
                })
            })
    }
}
