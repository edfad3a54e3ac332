//! Implementations of [`Allowances`] and [`PlacementView`] that need no other process, for tests
//! and for a gate without peers and planner.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_config::catalog::Workspace;
use tokio::sync::Notify;

use crate::{
    allowances::{Allowances, Charge, Reservation, Shortage},
    placement_view::{PlacementView, ReplicaView},
};

/// Allowances of a gate that does not share them with other gates: one token bucket for each
/// workspace. Clones share the buckets.
#[derive(Clone, Default)]
pub struct LocalAllowances {
    buckets: Rc<RefCell<BTreeMap<String, Bucket>>>,
}

struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// Tokens reserved from a bucket of [`LocalAllowances`]; dropping it returns them.
pub struct LocalReservation {
    allowances: LocalAllowances,
    workspace: String,
    tokens: u64,
}

impl LocalAllowances {
    /// Creates a full bucket for each workspace.
    pub fn new<'a, I>(workspaces: I) -> Self
    where
        I: IntoIterator<Item = (&'a String, &'a Workspace)>,
    {
        let buckets = workspaces.into_iter().map(|(name, w)| {
            let bucket = Bucket {
                rate: as_f64(w.rate),
                burst: as_f64(w.burst),
                tokens: as_f64(w.burst),
                refilled_at: Instant::now(),
            };
            (name.clone(), bucket)
        });
        Self {
            buckets: Rc::new(RefCell::new(buckets.collect())),
        }
    }

    /// Tokens in the bucket of a workspace now, or `None` if it is not configured.
    pub fn tokens(&self, workspace: &str) -> Option<f64> {
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.get_mut(workspace)?;
        bucket.refill();
        Some(bucket.tokens)
    }

    fn refund(&self, workspace: &str, tokens: u64) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(workspace) {
            bucket.refill();
            bucket.tokens = (bucket.tokens + as_f64(tokens)).min(bucket.burst);
        }
    }
}

impl Bucket {
    fn refill(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
    }
}

impl Allowances for LocalAllowances {
    type Reservation = LocalReservation;

    async fn reserve(
        &self,
        workspace: &str,
        cost: u64,
        _deadline: Instant,
    ) -> Result<LocalReservation, Shortage> {
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets
            .get_mut(workspace)
            .ok_or(Shortage::UnknownWorkspace)?;
        bucket.refill();
        let cost_f64 = as_f64(cost);
        if cost_f64 > bucket.burst {
            return Err(Shortage::ExceedsBurst);
        }
        if cost_f64 > bucket.tokens {
            let missing_tokens = cost_f64 - bucket.tokens;
            let retry_after = Duration::try_from_secs_f64(missing_tokens / bucket.rate);
            return Err(Shortage::RetryAfter(retry_after.unwrap_or(Duration::MAX)));
        }
        bucket.tokens -= cost_f64;
        Ok(LocalReservation {
            allowances: self.clone(),
            workspace: workspace.to_owned(),
            tokens: cost,
        })
    }
}

impl Reservation for LocalReservation {
    type Charge = LocalCharge;

    fn charge(mut self) -> Result<LocalCharge, Shortage> {
        let tokens = std::mem::take(&mut self.tokens);
        Ok(LocalCharge {
            allowances: self.allowances.clone(),
            workspace: self.workspace.clone(),
            tokens,
        })
    }
}

impl Drop for LocalReservation {
    fn drop(&mut self) {
        self.allowances.refund(&self.workspace, self.tokens);
    }
}

/// Tokens charged to a bucket of [`LocalAllowances`].
pub struct LocalCharge {
    allowances: LocalAllowances,
    workspace: String,
    tokens: u64,
}

impl Charge for LocalCharge {
    fn progress(&mut self, _used: u64) {}

    fn settle(self, used: u64) {
        let unused = self.tokens.saturating_sub(used);
        self.allowances.refund(&self.workspace, unused);
    }
}

/// A placement view whose contents are set by its owner. Clones share them.
#[derive(Clone, Default)]
pub struct FixedView {
    state: Rc<FixedViewState>,
}

#[derive(Default)]
struct FixedViewState {
    replicas: RefCell<BTreeMap<String, Vec<ReplicaView>>>,
    ready_in: RefCell<BTreeMap<String, Duration>>,
    leaving: RefCell<Vec<String>>,
    waiting: RefCell<BTreeMap<String, usize>>,
    changed: Notify,
}

/// A request counted as waiting in a [`FixedView`] until it is dropped.
pub struct FixedWaiting {
    view: FixedView,
    served_name: String,
}

impl FixedView {
    /// Replaces the replicas of an artifact.
    pub fn set_replicas(&self, served_name: &str, replicas: Vec<ReplicaView>) {
        let mut all = self.state.replicas.borrow_mut();
        all.insert(served_name.to_owned(), replicas);
        self.state.changed.notify_waiters();
    }

    /// Sets the estimated time until an artifact can be served.
    pub fn set_ready_in(&self, served_name: &str, time: Duration) {
        let mut all = self.state.ready_in.borrow_mut();
        all.insert(served_name.to_owned(), time);
        self.state.changed.notify_waiters();
    }

    /// Marks an upstream as leaving: it takes no new work.
    pub fn set_leaving(&self, upstream: &str) {
        self.state.leaving.borrow_mut().push(upstream.to_owned());
        self.state.changed.notify_waiters();
    }

    /// Number of requests that wait for an artifact.
    pub fn waiting(&self, served_name: &str) -> usize {
        let waiting = self.state.waiting.borrow();
        waiting.get(served_name).copied().unwrap_or_default()
    }
}

impl PlacementView for FixedView {
    type Waiting = FixedWaiting;

    fn replicas(&self, served_name: &str) -> Vec<ReplicaView> {
        let all = self.state.replicas.borrow();
        all.get(served_name).cloned().unwrap_or_default()
    }

    fn ready_in(&self, served_name: &str) -> Option<Duration> {
        self.state.ready_in.borrow().get(served_name).copied()
    }

    fn is_leaving(&self, upstream: &str) -> bool {
        self.state.leaving.borrow().iter().any(|u| u == upstream)
    }

    fn wait_for(&self, served_name: &str, _workspace: &str, _deadline: Instant) -> FixedWaiting {
        let mut waiting = self.state.waiting.borrow_mut();
        *waiting.entry(served_name.to_owned()).or_default() += 1;
        FixedWaiting {
            view: self.clone(),
            served_name: served_name.to_owned(),
        }
    }

    async fn changed(&self) {
        self.state.changed.notified().await;
    }
}

impl Drop for FixedWaiting {
    fn drop(&mut self) {
        let mut waiting = self.view.state.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(&self.served_name) {
            *count -= 1;
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
