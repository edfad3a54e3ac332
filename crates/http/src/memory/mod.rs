//! The memory that callers' connections hold, over all ports of an instance.
//!
//! [`budget`] decides; this module keeps what is needed to carry it out: the connections' tasks, and
//! the observer of evictions.

pub mod budget;
pub mod request_end;

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    task::Waker,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time::sleep};

use self::budget::{AccountId, Activity, Eviction, MemoryBudget, MemoryLimits};

/// Interval at which a connection asks again for memory that it did not get.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why a connection was closed, or its request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCause {
    /// It held memory that others needed, without progress.
    Stalled,
    /// It was one of too many incomplete header sections.
    IncompleteHeads,
    /// It was one of too many connections, and made no progress.
    Connections,
    /// One address has too many connections, none of which may be closed for another.
    ConnectionsOfAddress,
    /// There was no memory for its request beside those that began before.
    Memory,
}

impl EvictionCause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::IncompleteHeads => "incomplete_heads",
            Self::Connections => "connections",
            Self::ConnectionsOfAddress => "connections_of_address",
            Self::Memory => "memory",
        }
    }
}

/// The memory that callers' connections hold, and the connections.
pub struct CallerMemory {
    budget: RefCell<MemoryBudget>,
    connections: RefCell<Vec<Option<Rc<Evictable>>>>,
    observe: Box<dyn Fn(EvictionCause, IpAddr)>,
}

/// What it takes to close a connection, or to refuse its request.
#[derive(Default)]
struct Evictable {
    is_closed: Cell<bool>,
    is_refused: Cell<bool>,
    refused: Notify,
    waker: RefCell<Option<Waker>>,
}

/// The part of the memory that one connection holds. Dropping it releases all of it.
pub(crate) struct ConnectionMemory {
    shared: Rc<CallerMemory>,
    id: AccountId,
    evictable: Rc<Evictable>,
}

impl CallerMemory {
    /// Memory of which nothing is held. `observe` is told each eviction, with the caller's address.
    pub fn new<F>(limits: MemoryLimits, observe: F) -> Rc<Self>
    where
        F: Fn(EvictionCause, IpAddr) + 'static,
    {
        Rc::new(Self {
            budget: RefCell::new(MemoryBudget::new(limits)),
            connections: RefCell::default(),
            observe: Box::new(observe),
        })
    }

    /// Memory without a limit.
    pub fn unlimited() -> Rc<Self> {
        let limits = MemoryLimits {
            bytes: usize::MAX >> 1,
            incomplete_heads: usize::MAX,
            incomplete_heads_per_address: usize::MAX,
        };
        Self::new(limits, |_, _| {})
    }

    /// Bytes that are held, and the most that may be.
    pub fn usage(&self) -> (usize, usize) {
        let budget = self.budget.borrow();
        (budget.held(), budget.limits().bytes)
    }

    /// Closes a connection that makes no progress, from `address` if given, so that another one can be
    /// accepted. False if there is none.
    pub(crate) fn evict_one(&self, address: Option<IpAddr>) -> bool {
        let evicted = self.budget.borrow_mut().evict_one(address, Instant::now());
        evicted.is_some_and(|id| {
            self.close(id, EvictionCause::Connections);
            true
        })
    }

    /// Tells the observer of a connection that was closed as it was accepted.
    pub(crate) fn note_rejected(&self, address: IpAddr) {
        (self.observe)(EvictionCause::ConnectionsOfAddress, address);
    }

    pub(crate) fn open(self: &Rc<Self>, address: IpAddr) -> ConnectionMemory {
        let id = self.budget.borrow_mut().open(address, Instant::now());
        let evictable = Rc::<Evictable>::default();
        let mut connections = self.connections.borrow_mut();
        if connections.len() <= id {
            connections.resize_with(id + 1, || None);
        }
        connections[id] = Some(Rc::clone(&evictable));
        drop(connections);
        ConnectionMemory {
            shared: Rc::clone(self),
            id,
            evictable,
        }
    }

    /// Frees memory for connections that wait for it.
    fn search(&self) {
        let evictions = self.budget.borrow_mut().search(Instant::now());
        for eviction in evictions {
            match eviction {
                Eviction::Close(id) => self.close(id, EvictionCause::Stalled),
                Eviction::Refuse(id) => {
                    if let Some(connection) = self.connection(id) {
                        connection.is_refused.set(true);
                        connection.refused.notify_waiters();
                    }
                    self.observe(id, EvictionCause::Memory);
                }
            }
        }
    }

    fn close(&self, id: AccountId, cause: EvictionCause) {
        if let Some(connection) = self.connection(id) {
            connection.is_closed.set(true);
            connection.wake();
        }
        self.observe(id, cause);
    }

    fn observe(&self, id: AccountId, cause: EvictionCause) {
        let address = self.budget.borrow().address(id);
        if let Some(address) = address {
            (self.observe)(cause, address);
        }
    }

    fn connection(&self, id: AccountId) -> Option<Rc<Evictable>> {
        self.connections.borrow().get(id)?.clone()
    }
}

impl Evictable {
    fn wake(&self) {
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

impl ConnectionMemory {
    /// Whether the connection has to be closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.evictable.is_closed.get()
    }

    /// Remembers the task to wake when the connection has to be closed or may read again.
    pub(crate) fn set_waker(&self, waker: &Waker) {
        let mut known = self.evictable.waker.borrow_mut();
        if known.as_ref().is_none_or(|known| !known.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }

    /// Wakes the connection's task.
    pub(crate) fn wake(&self) {
        self.evictable.wake();
    }

    /// Bytes that may be read now, at most `wanted`. If there are none, other connections are asked to
    /// give some back.
    pub(crate) fn readable(&self, wanted: usize) -> usize {
        let mut budget = self.shared.budget.borrow_mut();
        let room = budget.room(self.id).min(wanted);
        if !budget.may_hold(self.id, room.max(1), Instant::now()) {
            drop(budget);
            self.shared.search();
        }
        room
    }

    /// Counts bytes that were read from the caller.
    pub(crate) fn hold_read(&self, bytes: usize) {
        let mut budget = self.shared.budget.borrow_mut();
        budget.hold(self.id, bytes, true, Instant::now());
    }

    /// Counts bytes that are buffered for the caller, once there is memory for them. False if there is
    /// none and the request is refused.
    pub(crate) async fn hold_buffered(&self, bytes: usize) -> bool {
        loop {
            if self.try_hold(bytes) {
                return true;
            }
            self.shared.search();
            tokio::select! {
                () = self.refused() => return false,
                () = sleep(RETRY_INTERVAL) => {}
            }
        }
    }

    fn try_hold(&self, bytes: usize) -> bool {
        let now = Instant::now();
        let mut budget = self.shared.budget.borrow_mut();
        let may_hold = budget.may_hold(self.id, bytes, now);
        if may_hold {
            budget.hold(self.id, bytes, false, now);
        }
        may_hold
    }

    /// Whether there is memory for a body of this length; others are asked to give some back if not.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let has_room = || self.shared.budget.borrow().room(self.id) >= bytes;
        has_room() || {
            self.shared.search();
            has_room()
        }
    }

    /// Completes when the request is refused because there is no memory for it.
    pub(crate) async fn refused(&self) {
        while !self.evictable.is_refused.get() {
            self.evictable.refused.notified().await;
        }
    }

    /// Counts a piece of a stream that waits for the caller. A stream with no other piece need not wait
    /// for memory, so that none stands still.
    pub(crate) async fn hold_piece<F>(&self, bytes: usize, is_queue_empty: F)
    where
        F: Fn() -> bool,
    {
        while self.shared.budget.borrow().room(self.id) < bytes && !is_queue_empty() {
            sleep(RETRY_INTERVAL).await;
        }
        let mut budget = self.shared.budget.borrow_mut();
        budget.hold(self.id, bytes, false, Instant::now());
    }

    /// Releases a piece of a stream.
    pub(crate) fn release_piece(&self, bytes: usize) {
        self.shared.budget.borrow_mut().release_part(self.id, bytes);
    }

    pub(crate) fn set_unsent(&self, bytes: usize, written: usize) {
        let mut budget = self.shared.budget.borrow_mut();
        budget.set_unsent(self.id, bytes, written, Instant::now());
    }

    /// Begins a header section that is not complete yet.
    pub(crate) fn begin_head(&self) {
        let mut budget = self.shared.budget.borrow_mut();
        budget.begin(self.id, Activity::SendsHead, Instant::now());
        let surplus = budget.surplus_head(self.id);
        drop(budget);
        if let Some(id) = surplus {
            self.shared.close(id, EvictionCause::IncompleteHeads);
        }
    }

    pub(crate) fn begin_request(&self) {
        self.evictable.is_refused.set(false);
        let mut budget = self.shared.budget.borrow_mut();
        budget.begin(self.id, Activity::Served, Instant::now());
    }

    pub(crate) fn set_activity(&self, activity: Activity) {
        self.shared
            .budget
            .borrow_mut()
            .set_activity(self.id, activity);
    }

    /// Releases what was held for a request.
    pub(crate) fn release(&self) {
        self.shared.budget.borrow_mut().release(self.id);
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.shared.budget.borrow_mut().close(self.id);
        if let Some(slot) = self.shared.connections.borrow_mut().get_mut(self.id) {
            *slot = None;
        }
    }
}
