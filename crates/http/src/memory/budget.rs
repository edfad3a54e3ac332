//! Decides how much memory callers' connections may hold, and whose are closed first.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::IpAddr,
    time::{Duration, Instant},
};

/// Memory that an instance needs beside what it holds for others, in bytes: the program, its state,
/// and buffers of fixed size for each connection.
const OWN_BYTES: usize = 48 << 20;
/// Share of the rest that the budget covers. A process that held 104 MB in bursts of uploads took
/// 260 MB: buffers are larger than what has arrived, and the allocator keeps freed ones.
const COVERED_DIVISOR: usize = 3;
/// Smallest budget, in bytes: one body of 4 MiB with its answer.
const MIN_BUDGET_BYTES: usize = 16 << 20;
/// Bytes that a connection may hold beyond the budget, so that small requests are still served while
/// large ones take all of it.
const SMALL_BYTES: usize = 16 << 10;
/// Part of the budget that is added to it for small requests.
const RESERVE_DIVISOR: usize = 8;
/// Length of the windows over which progress is counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Bytes a second below which a caller makes no progress. A modem sends more.
const MIN_PROGRESS_PER_S: usize = 4 << 10;
/// Time without progress after which a connection may be closed to free memory or its place.
const STALL_AGE: Duration = Duration::from_secs(1);
/// Time that a caller waits for memory before the newest of those that wait is refused.
const REFUSE_AFTER: Duration = Duration::from_millis(300);
/// Shortest time between two searches for connections to close, which look at all of them.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the budget that a search frees at least, so that searches stay rare.
const FREED_DIVISOR: usize = 16;

/// Number of an account of a [`MemoryBudget`].
pub type AccountId = usize;

/// Limits of a [`MemoryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bytes that all connections may hold together.
    pub bytes: usize,
    /// Connections whose header section may be incomplete at a time.
    pub incomplete_heads: usize,
    /// The same, from one address.
    pub incomplete_heads_per_address: usize,
}

/// Incomplete header sections for each MB of the machine, and the share of one address.
const INCOMPLETE_HEADS_PER_MB: usize = 4;
const ADDRESS_DIVISOR: usize = 2;

impl MemoryLimits {
    /// Limits for a machine with this memory, in MB.
    pub fn for_machine(memory_mb: f64) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let mb = memory_mb as usize;
        let left = mb.saturating_mul(1 << 20).saturating_sub(OWN_BYTES);
        let heads = mb.saturating_mul(INCOMPLETE_HEADS_PER_MB);
        Self {
            bytes: (left / COVERED_DIVISOR).max(MIN_BUDGET_BYTES),
            incomplete_heads: heads,
            incomplete_heads_per_address: heads / ADDRESS_DIVISOR,
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Activity {
    /// No request has begun.
    #[default]
    Idle,
    /// The caller has sent a part of a header section.
    SendsHead,
    /// The caller has to send the rest of a body.
    SendsBody,
    /// The request is complete, and its answer is not.
    Served,
}

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Close it: it holds memory or a place without progress.
    Close(AccountId),
    /// Refuse its request, which has not run: there is no memory for all that are being sent.
    Refuse(AccountId),
}

/// What one connection holds.
#[derive(Debug)]
struct Account {
    address: IpAddr,
    activity: Activity,
    /// Bytes read or buffered for the current request.
    held: usize,
    /// Bytes of answers that the caller has not read.
    unsent: usize,
    /// When the current request began.
    began: Instant,
    /// When the caller last made progress.
    progressed_at: Instant,
    window_began: Instant,
    window_bytes: usize,
    /// Since when the connection waits for memory, and for how many bytes.
    waits: Option<(Instant, usize)>,
    is_evicted: bool,
}

impl Account {
    fn total(&self) -> usize {
        self.held + self.unsent
    }

    /// Ends a wait for memory, during which the caller could make no progress.
    fn end_wait(&mut self, now: Instant) {
        if self.waits.take().is_some() {
            self.progressed_at = now;
        }
    }

    fn record_progress(&mut self, bytes: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_began);
        if elapsed >= WINDOW {
            self.window_began = now;
            self.window_bytes = 0;
        }
        self.window_bytes += bytes;
        if self.window_bytes >= MIN_PROGRESS_PER_S {
            self.progressed_at = now;
        }
    }

    /// Time for which the caller has not done what it has to do next; `None` if the connection waits
    /// for this instance or an upstream.
    fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let owes = match self.activity {
            Activity::SendsHead | Activity::SendsBody => self.waits.is_none(),
            Activity::Idle | Activity::Served => false,
        };
        if self.is_evicted || !owes && self.unsent == 0 {
            return None;
        }
        let stalled = now.saturating_duration_since(self.progressed_at);
        (stalled >= STALL_AGE).then_some(stalled)
    }

    /// Most of all is closed what holds most for longest.
    fn weight(&self, stalled: Duration) -> u128 {
        (self.total() as u128 + 1) * stalled.as_millis()
    }
}

/// The memory that connections hold for their callers. All operations but [`Self::search`] and
/// [`Self::evict_one`] take constant time.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    held: usize,
    accounts: Vec<Option<Account>>,
    free: Vec<AccountId>,
    incomplete_heads: usize,
    heads_by_address: HashMap<IpAddr, usize>,
    searched_at: Option<Instant>,
}

impl MemoryBudget {
    /// A budget of which nothing is held.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: 0,
            accounts: Vec::new(),
            free: Vec::new(),
            incomplete_heads: 0,
            heads_by_address: HashMap::new(),
            searched_at: None,
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The limits.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Address of a connection's caller.
    pub fn address(&self, id: AccountId) -> Option<IpAddr> {
        Some(self.accounts.get(id)?.as_ref()?.address)
    }

    /// Adds a connection.
    pub fn open(&mut self, address: IpAddr, now: Instant) -> AccountId {
        let account = Account {
            address,
            activity: Activity::Idle,
            held: 0,
            unsent: 0,
            began: now,
            progressed_at: now,
            window_began: now,
            window_bytes: 0,
            waits: None,
            is_evicted: false,
        };
        if let Some(id) = self.free.pop() {
            self.accounts[id] = Some(account);
            return id;
        }
        self.accounts.push(Some(account));
        self.accounts.len() - 1
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, id: AccountId) {
        self.set_activity(id, Activity::Idle);
        if let Some(account) = self.accounts.get_mut(id).and_then(Option::take) {
            self.held -= account.total();
            self.free.push(id);
        }
    }

    /// Whether a connection may hold `bytes` more. Records that it waits if not.
    pub fn may_hold(&mut self, id: AccountId, bytes: usize, now: Instant) -> bool {
        let room = self.room(id);
        let Some(account) = self.account(id) else {
            return false;
        };
        if bytes <= room {
            account.end_wait(now);
            return true;
        }
        let since = account.waits.map_or(now, |(since, _)| since);
        account.waits = Some((since, bytes));
        false
    }

    /// Bytes that a connection may hold more.
    pub fn room(&self, id: AccountId) -> usize {
        let Some(account) = self.accounts.get(id).and_then(Option::as_ref) else {
            return 0;
        };
        let room = self.limits.bytes.saturating_sub(self.held);
        let small = SMALL_BYTES.saturating_sub(account.held);
        let reserve = self.limits.bytes / RESERVE_DIVISOR;
        let reserved = (self.limits.bytes + reserve).saturating_sub(self.held);
        room.max(small.min(reserved))
    }

    /// Adds bytes that a connection holds. Those that the caller sent count as progress.
    pub fn hold(&mut self, id: AccountId, bytes: usize, is_progress: bool, now: Instant) {
        if let Some(account) = self.account(id) {
            account.held += bytes;
            account.end_wait(now);
            if is_progress {
                account.record_progress(bytes, now);
            }
            self.held += bytes;
        }
    }

    /// Sets the bytes that wait to be written, after `written` bytes were.
    pub fn set_unsent(&mut self, id: AccountId, bytes: usize, written: usize, now: Instant) {
        if let Some(account) = self.account(id) {
            let before = std::mem::replace(&mut account.unsent, bytes);
            if before == 0 {
                account.progressed_at = now;
            }
            account.record_progress(written, now);
            self.held = self.held - before + bytes;
        }
    }

    /// Records what a connection does now.
    pub fn set_activity(&mut self, id: AccountId, activity: Activity) {
        let Some(account) = self.account(id) else {
            return;
        };
        let before = std::mem::replace(&mut account.activity, activity);
        let address = account.address;
        let counts = |a| usize::from(a == Activity::SendsHead);
        if counts(before) == counts(activity) {
            return;
        }
        let total = self.incomplete_heads + counts(activity) - counts(before);
        self.incomplete_heads = total;
        let by_address = self.heads_by_address.entry(address).or_default();
        *by_address = *by_address + counts(activity) - counts(before);
        if *by_address == 0 {
            self.heads_by_address.remove(&address);
        }
    }

    /// Begins a request of a connection.
    pub fn begin(&mut self, id: AccountId, activity: Activity, now: Instant) {
        self.set_activity(id, activity);
        if let Some(account) = self.account(id) {
            account.began = now;
            account.progressed_at = now;
            account.waits = None;
            account.is_evicted = false;
        }
    }

    /// Releases all that a connection holds for its request.
    pub fn release(&mut self, id: AccountId) {
        self.set_activity(id, Activity::Idle);
        if let Some(account) = self.account(id) {
            account.waits = None;
            let held = std::mem::take(&mut account.held);
            self.held -= held;
        }
    }

    /// Releases a part of what a connection holds for its request.
    pub fn release_part(&mut self, id: AccountId, bytes: usize) {
        if let Some(account) = self.account(id) {
            let released = bytes.min(account.held);
            account.held -= released;
            self.held -= released;
        }
    }

    /// Connections to close or refuse because another one waits for memory. Looks at all
    /// connections, but only once in a while.
    pub fn search(&mut self, now: Instant) -> Vec<Eviction> {
        let is_soon = |at: Instant| now.saturating_duration_since(at) < SEARCH_INTERVAL;
        if self.searched_at.is_some_and(is_soon) {
            return Vec::new();
        }
        self.searched_at = Some(now);
        let mut stalled: Vec<_> = self.stalled(now, None).collect();
        stalled.sort_unstable_by_key(|s| Reverse(s.1));
        let wanted = self.limits.bytes / FREED_DIVISOR;
        let mut freed = 0;
        let mut evictions = Vec::new();
        for (id, _, total) in stalled {
            if freed >= wanted || total == 0 {
                break;
            }
            freed += total;
            evictions.push(Eviction::Close(id));
        }
        if evictions.is_empty() {
            evictions.extend(self.newest_waiting(now).map(Eviction::Refuse));
        }
        for eviction in &evictions {
            let (Eviction::Close(id) | Eviction::Refuse(id)) = *eviction;
            self.mark_evicted(id);
        }
        evictions
    }

    /// The connection to close so that another one can be accepted: the one that holds most for
    /// longest without progress, from `address` if given.
    pub fn evict_one(&mut self, address: Option<IpAddr>, now: Instant) -> Option<AccountId> {
        let id = self.stalled(now, address).max_by_key(|s| s.1)?.0;
        self.mark_evicted(id);
        Some(id)
    }

    /// The connection to close because too many header sections are incomplete: the oldest from the
    /// address, if that has too many, or of all.
    pub fn surplus_head(&mut self, id: AccountId) -> Option<AccountId> {
        let address = self.account(id)?.address;
        let by_address = self.heads_by_address.get(&address).copied().unwrap_or(0);
        let is_over_here = by_address > self.limits.incomplete_heads_per_address;
        if !is_over_here && self.incomplete_heads <= self.limits.incomplete_heads {
            return None;
        }
        let heads = self.live().filter(|(_, a)| {
            a.activity == Activity::SendsHead && (!is_over_here || a.address == address)
        });
        let oldest = heads.min_by_key(|(_, a)| a.began)?.0;
        self.mark_evicted(oldest);
        Some(oldest)
    }

    fn mark_evicted(&mut self, id: AccountId) {
        if let Some(account) = self.account(id) {
            account.is_evicted = true;
        }
    }

    /// Connections whose callers make no progress, with their weight and the bytes that they hold.
    fn stalled(
        &self,
        now: Instant,
        address: Option<IpAddr>,
    ) -> impl Iterator<Item = (AccountId, u128, usize)> {
        self.live()
            .filter(move |(_, a)| address.is_none_or(|address| a.address == address))
            .filter_map(move |(id, a)| {
                let stalled = a.stalled_for(now)?;
                Some((id, a.weight(stalled), a.total()))
            })
    }

    /// The connection whose request began last among those that have waited for memory for long. The
    /// oldest ones can thus be completed. Requests that have run are refused only if no other waits.
    fn newest_waiting(&self, now: Instant) -> Option<AccountId> {
        let waiting = self.live().filter(|(id, a)| {
            a.waits.is_some_and(|(since, bytes)| {
                let waited = now.saturating_duration_since(since);
                waited >= REFUSE_AFTER && bytes > self.room(*id)
            })
        });
        let newest = waiting.max_by_key(|(_, a)| (a.activity == Activity::SendsBody, a.began));
        newest.map(|(id, _)| id)
    }

    fn live(&self) -> impl Iterator<Item = (AccountId, &Account)> {
        let accounts = self.accounts.iter().enumerate();
        let accounts = accounts.filter_map(|(id, a)| Some((id, a.as_ref()?)));
        accounts.filter(|(_, a)| !a.is_evicted)
    }

    fn account(&mut self, id: AccountId) -> Option<&mut Account> {
        self.accounts.get_mut(id)?.as_mut()
    }
}
