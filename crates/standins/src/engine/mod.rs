//! A model engine: replicas in limited memory, load times by checkpoint place, continuous
//! batching, token-by-token streams, prefix caching, orders with fencing numbers, and a record
//! by which tests judge.
//!
//! A resumed request's usage counts only the output tokens that its own run has generated.

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

use self::state::State;
pub use self::{
    cache::{BLOCK_BYTES, CacheChange, CacheEvent, CacheEvents, TOKEN_BYTES, prefix_hashes},
    inference::NOT_RUN_HEADER,
    record::{
        Break, BreakKind, Change, Outcome, Receipt, Record, ReplicaChange, RequestRecord, TokenKind,
    },
    settings::{Faults, Settings, Times},
};
use crate::{
    StandinError,
    http::{self, Options, Server},
    tap::Inbound,
    weights::WeightStore,
};

/// A running engine.
pub struct Engine {
    addr: SocketAddr,
    control: Option<Server>,
    shared: Rc<Shared>,
}

/// What outlives a crash of the engine process.
struct Shared {
    /// Address of all lives: the one asked for until the first has chosen its port.
    addr: Cell<SocketAddr>,
    settings: Settings,
    store: WeightStore,
    record: Rc<RefCell<Record>>,
    faults: Rc<RefCell<Faults>>,
    inbound: Inbound,
    life: RefCell<Option<Life>>,
}

struct Life {
    /// Closes its port when it is dropped.
    _server: Server,
    state: Rc<RefCell<State>>,
}

/// Runs an engine that loads from `store`.
pub fn spawn(settings: Settings, store: WeightStore) -> Result<Engine, StandinError> {
    let record = Record {
        name: settings.name.clone(),
        memory_mb: settings.memory_mb,
        ..Record::default()
    };
    let control_addr = settings.control;
    let shared = Rc::new(Shared {
        addr: Cell::new(settings.listen),
        settings,
        store,
        record: Rc::new(RefCell::new(record)),
        faults: Rc::default(),
        inbound: Inbound::default(),
        life: RefCell::default(),
    });
    shared.start()?;
    let addr = shared.addr.get();
    let control = match control_addr {
        Some(addr) => Some(control::bind(addr, &shared)?),
        None => None,
    };
    Ok(Engine {
        addr,
        control,
        shared,
    })
}

impl Engine {
    /// Address for inference and orders.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Control address.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// The record so far.
    pub fn record(&self) -> Record {
        self.shared.record()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.borrow_mut() = faults;
    }

    /// Ends the engine process: connections are closed, everything loaded is lost.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts the engine process after a crash.
    pub fn start(&self) -> Result<(), StandinError> {
        self.shared.start()
    }
}

impl Shared {
    fn start(&self) -> Result<(), StandinError> {
        if self.life.borrow().is_some() {
            return Ok(());
        }
        let state = State::new(
            self.settings.clone(),
            self.store.clone(),
            Rc::clone(&self.record),
            Rc::clone(&self.faults),
        );
        let state = Rc::new(RefCell::new(state));
        let shared = Rc::clone(&state);
        let options = Options {
            inbound: self.settings.record.then(|| self.inbound.clone()),
            ..Options::default()
        };
        let server = http::bind(self.addr.get(), options, move |req| {
            control::handle(Rc::clone(&shared), req)
        })?;
        self.addr.set(server.addr());
        *self.life.borrow_mut() = Some(Life {
            _server: server,
            state,
        });
        Ok(())
    }

    fn crash(&self) {
        if let Some(life) = self.life.take() {
            self.keep_peak(&life);
            life.state.borrow_mut().crash();
        }
    }

    fn record(&self) -> Record {
        if let Some(life) = &*self.life.borrow() {
            self.keep_peak(life);
        }
        self.record.borrow().clone()
    }

    fn keep_peak(&self, life: &Life) {
        let peak = life.state.borrow().batch.most_running();
        let mut record = self.record.borrow_mut();
        record.most_running = record.most_running.max(peak);
    }
}
