//! Stand-in of a model engine: replicas in limited memory, load times by location of the
//! checkpoint, continuous batching, token-by-token streams, prefix caching, orders with fencing
//! tokens, and a record that tests evaluate.
//!
//! The usage of a resumed request counts only the output tokens that its own run generated.

mod batch;
mod cache;
mod completion;
mod control;
mod inference;
mod record;
mod settings;
mod state;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use self::state::EngineState;
pub use self::{
    cache::{BLOCK_BYTES, CacheChange, CacheEvent, CacheEvents, TOKEN_BYTES, prefix_hashes},
    inference::NOT_RUN_HEADER,
    record::{
        EngineRecord, ReplicaChange, ReplicaChangeKind, RequestOutcome, RequestRecord, TokenKind,
        TokenReceipt, Violation, ViolationKind,
    },
    settings::{Faults, Settings, Times},
};
use crate::{
    StandinError,
    http::{self, Server, ServerOptions},
    recording_stream::InboundLog,
    weights::WeightStore,
};

/// An engine stand-in. It keeps its address and its record across crashes of the engine process
/// that it simulates.
pub struct Engine {
    addr: SocketAddr,
    control: Option<Server>,
    host: Rc<EngineHost>,
}

/// Starts and crashes the simulated engine process, and holds what outlives a crash.
struct EngineHost {
    /// Address of the engine: the one in the settings until the first start has chosen a port, and
    /// then that one for every restart.
    addr: Cell<SocketAddr>,
    settings: Settings,
    store: WeightStore,
    record: Rc<RefCell<EngineRecord>>,
    faults: Rc<RefCell<Faults>>,
    inbound: InboundLog,
    /// `None` after a crash.
    process: RefCell<Option<EngineProcess>>,
}

struct EngineProcess {
    /// Closes the port when it is dropped.
    _server: Server,
    state: Rc<RefCell<EngineState>>,
}

/// Starts an engine that loads from `store`, on the current Actix runtime.
pub fn spawn(settings: Settings, store: WeightStore) -> Result<Engine, StandinError> {
    let record = EngineRecord {
        name: settings.name.clone(),
        memory_mb: settings.memory_mb,
        ..EngineRecord::default()
    };
    let control_addr = settings.control;
    let host = Rc::new(EngineHost {
        addr: Cell::new(settings.listen),
        settings,
        store,
        record: Rc::new(RefCell::new(record)),
        faults: Rc::default(),
        inbound: InboundLog::default(),
        process: RefCell::default(),
    });
    host.start()?;
    let addr = host.addr.get();
    let control = match control_addr {
        Some(addr) => Some(control::bind(addr, &host)?),
        None => None,
    };
    Ok(Engine {
        addr,
        control,
        host,
    })
}

impl Engine {
    /// Address for inference, orders and reports; the same after a restart.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Control address, if the settings name one.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// Copy of the record so far.
    pub fn record(&self) -> EngineRecord {
        self.host.record()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.host.faults.borrow_mut() = faults;
    }

    /// Crashes the engine process: its connections are closed, and all replicas are lost. Without
    /// effect if it is not running.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts the engine process after a crash; without effect if it is running.
    pub fn start(&self) -> Result<(), StandinError> {
        self.host.start()
    }
}

impl EngineHost {
    fn start(&self) -> Result<(), StandinError> {
        if self.process.borrow().is_some() {
            return Ok(());
        }
        let state = EngineState::new(
            self.settings.clone(),
            self.store.clone(),
            Rc::clone(&self.record),
            Rc::clone(&self.faults),
        );
        let state = Rc::new(RefCell::new(state));
        let handler_state = Rc::clone(&state);
        let options = ServerOptions {
            inbound: self.settings.record.then(|| self.inbound.clone()),
            ..ServerOptions::default()
        };
        let server = http::bind(self.addr.get(), options, move |req| {
            control::handle(Rc::clone(&handler_state), req)
        })?;
        self.addr.set(server.addr());
        *self.process.borrow_mut() = Some(EngineProcess {
            _server: server,
            state,
        });
        Ok(())
    }

    fn crash(&self) {
        if let Some(process) = self.process.take() {
            self.update_peak(&process);
            process.state.borrow_mut().crash();
        }
    }

    fn record(&self) -> EngineRecord {
        if let Some(process) = &*self.process.borrow() {
            self.update_peak(process);
        }
        self.record.borrow().clone()
    }

    /// Copies the highest number of running requests into the record.
    fn update_peak(&self, process: &EngineProcess) {
        let peak = process.state.borrow().batch.most_running();
        let mut record = self.record.borrow_mut();
        record.most_running = record.most_running.max(peak);
    }
}
