//! An in-memory platform. Instances that share its state see the same store, which can be made to
//! fail.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::header::{HeaderMap, HeaderName};
use bytes::Bytes;
use comfreyweir_entry::platform::{
    CommitOutcome, DecodeError, EngineAnswer, HeaderNames, Lease, OrderAnswer, OrderCall, Platform,
    PlatformError, ReadLimit, StoreItem, StoreItems, StoreKeys, Transaction, UpstreamNotice,
    WatchOutcome,
};
use comfreyweir_fleet::{
    config::{Config, Engine, Model, Route, RouteKind, Service, Target, Workspace},
    duty::LeaseId,
    planner::{Order, OrderResult},
    request::{Artifact, PromptPart, RequestMetadata},
    upstream::{LoadedModel, Report, Upstream},
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

/// Store and engines that several instances share.
#[derive(Default)]
pub struct SharedState {
    /// Items with their lease (0: none), by key.
    items: RefCell<BTreeMap<String, (StoreItem, u64)>>,
    /// Revisions at which keys were removed.
    removed_at: RefCell<BTreeMap<String, u64>>,
    revision: Cell<u64>,
    last_lease_id: Cell<u64>,
    /// Time of the last renewal of each lease, by number.
    live_leases: RefCell<BTreeMap<u64, Instant>>,
    changed: Notify,
    /// Configurations by version. The store holds only the version number.
    configs: RefCell<BTreeMap<u64, Config>>,
    upstreams: RefCell<BTreeMap<String, Upstream>>,
    /// Accepted orders with the id of their engine.
    pub orders: RefCell<Vec<(String, OrderCall)>>,
    order_counts: RefCell<BTreeMap<String, u64>>,
    /// When orders and report requests reached each engine.
    pub engine_calls: RefCell<Vec<(String, Instant)>>,
    /// What engines say of themselves in answers to orders and report requests.
    pub notice: Cell<UpstreamNotice>,
    /// Items in a page of a range read, and the time that a page takes; everything at once if none.
    pub paging: Cell<Option<(usize, Duration)>>,
    /// Pages of the list of upstreams that were requested while `paging` was set.
    pub upstream_pages: Cell<usize>,
    era: Cell<u64>,
    era_changed: Notify,
    /// While set, every call to the store fails.
    pub store_is_down: Cell<bool>,
    /// Names of the instances whose calls the store refuses.
    pub rejected: RefCell<BTreeSet<String>>,
    /// How many of the next reads and watches get no answer, by the name of the instance and the key or
    /// prefix.
    pub unanswered: RefCell<BTreeMap<(String, String), usize>>,
    /// When something of the answer to each of the next reads of the list of upstreams arrives, and when the
    /// read fails after that.
    pub broken_reads: RefCell<VecDeque<(Duration, Duration)>>,
    /// Time that the answers to reads and watches take.
    pub answer_time: Cell<Duration>,
    /// Versions of the configuration that cannot be decoded.
    pub undecodable: RefCell<BTreeSet<u64>>,
    /// Names of the instances that cannot decode these; all if there are none.
    pub cannot_decode: RefCell<BTreeSet<String>>,
    /// While set, reads of evacuations fail.
    pub hides_evacuations: Cell<bool>,
    /// Reads of the batches of origins so far.
    pub origin_reads: Cell<usize>,
    /// Writes of the record of software versions that were tried so far.
    pub software_commits: Cell<usize>,
}

/// What the store holds at some time.
pub struct StoreCopy {
    items: BTreeMap<String, (StoreItem, u64)>,
    leases: BTreeMap<u64, Instant>,
    last_lease_id: u64,
    revision: u64,
}

impl SharedState {
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    fn record_engine_call(&self, engine: &str) {
        let call = (engine.to_owned(), Instant::now());
        self.engine_calls.borrow_mut().push(call);
    }

    pub fn write(&self, key: &str, value: Bytes, lease: u64) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut items = self.items.borrow_mut();
        let created = items.get(key).map_or(revision, |(item, _)| item.created);
        let item = StoreItem {
            key: key.to_owned(),
            value,
            revision,
            created,
        };
        items.insert(key.to_owned(), (item, lease));
        self.changed.notify_waiters();
        revision
    }

    fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.revision.get() + 1;
            self.revision.set(revision);
            self.removed_at
                .borrow_mut()
                .insert(key.to_owned(), revision);
            self.changed.notify_waiters();
        }
    }

    /// Removes a key whose lease has run out.
    pub fn lapse(&self, key: &str) {
        self.remove(key);
    }

    /// Removes the keys of leases that have not been renewed for `ttl`.
    pub fn lapse_unrenewed(&self, ttl: Duration) {
        let leases = self.live_leases.borrow().clone();
        for (number, _) in leases.iter().filter(|(_, at)| at.elapsed() >= ttl) {
            self.end_lease(*number);
        }
    }

    fn end_lease(&self, number: u64) {
        self.live_leases.borrow_mut().remove(&number);
        let items = self.items.borrow().clone();
        for (key, _) in items.iter().filter(|(_, (_, lease))| *lease == number) {
            self.remove(key);
        }
    }

    /// Replaces what the instances wrote by a copy, under the next era. All leases are gone, with
    /// their keys, and the numbers of those granted since the copy are given out again.
    pub fn restore(&self, mut copy: StoreCopy) {
        copy.items.retain(|_, (_, lease)| *lease == 0);
        copy.leases.clear();
        self.restore_with_leases(copy);
    }

    /// Like [`Self::restore`], but the leases of the copy are live.
    pub fn restore_with_leases(&self, mut copy: StoreCopy) {
        let era = self.era.get() + 1;
        self.era.set(era);
        let qualify = |revision: u64| era << 40 | revision & ((1 << 40) - 1);
        for (item, _) in copy.items.values_mut() {
            item.revision = qualify(item.revision);
            item.created = qualify(item.created);
        }
        self.revision.set(qualify(copy.revision));
        *self.items.borrow_mut() = copy.items;
        *self.live_leases.borrow_mut() = copy.leases;
        self.last_lease_id.set(copy.last_lease_id);
        self.era_changed.notify_waiters();
        self.changed.notify_waiters();
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            items: self.items.borrow().clone(),
            leases: self.live_leases.borrow().clone(),
            last_lease_id: self.last_lease_id.get(),
            revision: self.revision.get(),
        }
    }

    pub fn item(&self, key: &str) -> Option<StoreItem> {
        self.items.borrow().get(key).map(|(item, _)| item.clone())
    }

    pub fn publish_config(&self, config: Config) {
        let version = config.version;
        self.configs.borrow_mut().insert(version, config);
        self.write("op/config", Bytes::from(version.to_string()), 0);
    }

    /// Publishes one version of the configuration after the other, with a pause after each, and calls
    /// `accepted` as soon as the store holds it.
    pub async fn publish_series<F>(&self, configs: Vec<Config>, pause: Duration, accepted: F)
    where
        F: Fn(u64),
    {
        for config in configs {
            let version = config.version;
            self.publish_config(config);
            accepted(version);
            sleep(pause).await;
        }
    }

    pub fn add_upstream(&self, upstream: Upstream) {
        let key = format!("servers/{}", upstream.id);
        self.upstreams
            .borrow_mut()
            .insert(upstream.id.clone(), upstream);
        self.write(&key, Bytes::from_static(ENTRY), 0);
    }

    pub fn remove_upstream(&self, id: &str) {
        self.upstreams.borrow_mut().remove(id);
        self.remove(&format!("servers/{id}"));
    }

    pub fn evacuate(&self, zone: &str) {
        let key = format!("op/evacuate/{zone}");
        self.write(&key, Bytes::from_static(b"{}"), 0);
    }

    pub fn end_evacuation(&self, zone: &str) {
        self.remove(&format!("op/evacuate/{zone}"));
    }

    fn broken_read(&self, is_list: bool) -> Option<(Duration, Duration)> {
        self.broken_reads.borrow_mut().pop_front_if(|_| is_list)
    }

    fn check_store_up(&self) -> Result<(), PlatformError> {
        if self.store_is_down.get() {
            return Err(PlatformError::Refused {
                addr: store_addr(),
                status: 503,
            });
        }
        Ok(())
    }

    fn items_after(&self, prefix: &str, after: u64) -> StoreItems {
        let items = self.items.borrow();
        let items = items.values().filter(|(i, _)| i.key.starts_with(prefix));
        let removed = self.removed_at.borrow();
        let removed = removed.iter().filter(|(key, at)| {
            key.starts_with(prefix) && **at > after && !self.items.borrow().contains_key(*key)
        });
        StoreItems {
            items: items
                .filter(|(i, _)| i.revision > after)
                .map(|(i, _)| i.clone())
                .collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
            revision: self.revision.get(),
        }
    }
}

/// Value of an upstream's entry. Other values cannot be decoded.
const ENTRY: &[u8] = b"entry";

fn store_addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

pub struct MemoryPlatform {
    shared: Rc<SharedState>,
    /// Name of the instance.
    name: String,
    headers: HeaderNames,
}

impl MemoryPlatform {
    pub fn new(shared: Rc<SharedState>, instance: &str) -> Self {
        let name = HeaderName::from_static;
        Self {
            shared,
            name: instance.to_owned(),
            headers: HeaderNames {
                request_id: name("x-id"),
                deadline: name("x-deadline"),
                key: name("x-key"),
                workspace: name("x-workspace"),
                expect_upstream: name("x-expect"),
                priority: name("x-priority"),
                last_event: name("x-last"),
                seal: name("x-seal"),
                not_run: name("x-not-run"),
                leaving: name("x-leaving"),
                limit: name("x-limit"),
                cold: name("x-cold-ms"),
                reserved: vec![name("x-workspace"), name("x-expect"), name("x-priority")],
            },
        }
    }
}

impl MemoryPlatform {
    fn check_store(&self) -> Result<(), PlatformError> {
        self.shared.check_store_up()?;
        if self.shared.rejected.borrow().contains(&self.name) {
            return Err(PlatformError::Refused {
                addr: store_addr(),
                status: 503,
            });
        }
        Ok(())
    }

    /// Waits as long as the answer to a read or watch takes; fails at the limit of the call if there is
    /// none.
    async fn answer_arrives(&self, key: &str, limit: Duration) -> Result<(), PlatformError> {
        let is_answered = {
            let mut unanswered = self.shared.unanswered.borrow_mut();
            let left = unanswered.get_mut(&(self.name.clone(), key.to_owned()));
            left.is_none_or(|left| std::mem::replace(left, left.saturating_sub(1)) == 0)
        };
        let time = self.shared.answer_time.get();
        if is_answered && time < limit {
            sleep(time).await;
            return Ok(());
        }
        sleep(limit).await;
        Err(PlatformError::NoAnswer {
            addr: store_addr(),
            reason: "no answer".to_owned(),
        })
    }

    fn is_live(&self, lease: LeaseId) -> bool {
        lease.era == self.store_era()
            && self.shared.live_leases.borrow().contains_key(&lease.number)
    }
}

impl Platform for MemoryPlatform {
    fn keys(&self) -> StoreKeys {
        StoreKeys {
            config: "op/config",
            evacuations_prefix: "op/evacuate/",
            upstreams_prefix: "servers/",
            own_prefix: "own/",
            origins_prefix: "streams/",
        }
    }

    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn parse_declared(&self, headers: &HeaderMap) -> RequestMetadata {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        let millis = text("x-deadline").and_then(|ms| ms.parse().ok());
        RequestMetadata {
            id: text("x-id"),
            deadline: millis.map(Duration::from_millis),
            key: text("x-key"),
            artifact: text("x-model").map(|m| Artifact::parse(&m)),
            last_event: text("x-last").and_then(|n| n.parse().ok()),
            resumes: text("x-resumes"),
            prompt: text("x-prompt").map_or_else(Vec::new, |text| parse_prompt(&text)),
            ..RequestMetadata::default()
        }
    }

    fn ready_path(&self) -> &'static str {
        "/-/ready"
    }

    fn decode_config(&self, value: &Bytes) -> Result<(Config, Vec<DecodeError>), DecodeError> {
        let version: u64 = std::str::from_utf8(value).unwrap().parse().unwrap();
        let names = self.shared.cannot_decode.borrow();
        let is_concerned = names.is_empty() || names.contains(&self.name);
        if is_concerned && self.shared.undecodable.borrow().contains(&version) {
            return Err(DecodeError {
                what: "configuration".to_owned(),
                reason: format!("version {version}"),
            });
        }
        Ok((self.shared.configs.borrow()[&version].clone(), Vec::new()))
    }

    fn decode_upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, DecodeError> {
        if value != ENTRY {
            return Err(DecodeError {
                what: format!("entry of {id}"),
                reason: String::from_utf8_lossy(value).into_owned(),
            });
        }
        Ok(self.shared.upstreams.borrow()[id].clone())
    }

    fn store_era(&self) -> Option<u64> {
        Some(self.shared.era.get())
    }

    async fn store_era_changed(&self, known: Option<u64>) -> Option<u64> {
        loop {
            let changed = self.shared.era_changed.notified();
            if self.store_era() != known {
                return self.store_era();
            }
            changed.await;
        }
    }

    fn renew_connections(&self) {}

    async fn get(
        &self,
        key: &str,
        limit: ReadLimit,
    ) -> Result<Option<(StoreItem, u64)>, PlatformError> {
        self.check_store()?;
        let item = self
            .shared
            .items
            .borrow()
            .get(key)
            .map(|(item, _)| item.clone());
        let revision = self.shared.revision.get();
        self.answer_arrives(key, limit.stall).await?;
        Ok(item.map(|item| (item, revision)))
    }

    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: ReadLimit,
    ) -> Result<(StoreItems, bool), PlatformError> {
        self.check_store()?;
        if prefix == self.keys().origins_prefix {
            self.shared
                .origin_reads
                .set(self.shared.origin_reads.get() + 1);
        }
        if prefix == self.keys().evacuations_prefix && self.shared.hides_evacuations.get() {
            return Err(PlatformError::Refused {
                addr: store_addr(),
                status: 503,
            });
        }
        let is_list = prefix == self.keys().upstreams_prefix;
        let broken = self.shared.broken_read(is_list);
        if let Some((arrives_after, fails_after)) = broken {
            sleep(arrives_after.min(limit.stall)).await;
            if arrives_after < limit.stall {
                limit.progress.add(1);
                sleep(fails_after).await;
            }
            return Err(PlatformError::NoAnswer {
                addr: store_addr(),
                reason: "connection reset".to_owned(),
            });
        }
        let mut all = self.shared.items_after(prefix, 0);
        all.items
            .retain(|item| after.is_none_or(|after| item.key.as_str() > after));
        self.answer_arrives(prefix, limit.stall).await?;
        let Some((page_size, time)) = self.shared.paging.get() else {
            return Ok((all, false));
        };
        if prefix == self.keys().upstreams_prefix {
            let pages = &self.shared.upstream_pages;
            pages.set(pages.get() + 1);
        }
        sleep(time).await;
        let has_more = all.items.len() > page_size;
        all.items.truncate(page_size);
        Ok((all, has_more))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        limit: ReadLimit,
    ) -> Result<WatchOutcome, PlatformError> {
        if after >> 40 != self.shared.era.get() {
            return Ok(WatchOutcome::HistoryGone);
        }
        let watched = async {
            loop {
                let changed = self.shared.changed.notified();
                self.check_store()?;
                let items = self.shared.items_after(prefix, after);
                if !items.items.is_empty() || !items.removed.is_empty() {
                    return Ok(WatchOutcome::Changes(items));
                }
                changed.await;
                if after >> 40 != self.shared.era.get() {
                    return Ok(WatchOutcome::HistoryGone);
                }
            }
        };
        let began_at = Instant::now();
        let outcome = match timeout(wait, watched).await {
            Ok(watched) => watched?,
            Err(_) => WatchOutcome::Changes(StoreItems {
                items: Vec::new(),
                removed: Vec::new(),
                revision: self.shared.revision.get(),
            }),
        };
        let left = limit.stall.saturating_sub(began_at.elapsed());
        self.answer_arrives(prefix, left).await?;
        Ok(outcome)
    }

    async fn commit(&self, tx: &Transaction, _: Duration) -> Result<CommitOutcome, PlatformError> {
        self.check_store()?;
        if tx.puts.iter().any(|(key, _, _)| key == "own/software") {
            self.shared
                .software_commits
                .set(self.shared.software_commits.get() + 1);
        }
        for (key, revision) in &tx.expected {
            let item = self
                .shared
                .items
                .borrow()
                .get(key)
                .map(|(item, _)| item.clone());
            if item.as_ref().map_or(0, |item| item.revision) != *revision {
                return Ok(CommitOutcome::Conflict(item.into_iter().collect()));
            }
        }
        let leases = tx.puts.iter().filter_map(|(_, _, lease)| *lease);
        if !leases.clone().all(|lease| self.is_live(lease)) {
            return Ok(CommitOutcome::LeaseGone);
        }
        for (key, value, lease) in &tx.puts {
            let lease = lease.map_or(0, |lease| lease.number);
            self.shared.write(key, value.clone(), lease);
        }
        Ok(CommitOutcome::Done(self.shared.revision.get()))
    }

    async fn grant_lease(&self, ttl: Duration, _: Duration) -> Result<Lease, PlatformError> {
        self.check_store()?;
        self.shared
            .last_lease_id
            .set(self.shared.last_lease_id.get() + 1);
        let id = self.shared.last_lease_id.get();
        let now = Instant::now();
        self.shared.live_leases.borrow_mut().insert(id, now);
        let era = self.store_era();
        let id = LeaseId { era, number: id };
        Ok(Lease { id, ttl })
    }

    async fn renew_lease(&self, lease: LeaseId, _: Duration) -> Result<bool, PlatformError> {
        self.check_store()?;
        if !self.is_live(lease) {
            return Ok(false);
        }
        let mut leases = self.shared.live_leases.borrow_mut();
        leases.insert(lease.number, Instant::now());
        Ok(true)
    }

    async fn end_lease(&self, lease: LeaseId, _: Duration) -> Result<(), PlatformError> {
        self.check_store()?;
        if self.is_live(lease) {
            self.shared.end_lease(lease.number);
        }
        Ok(())
    }

    async fn send_order(
        &self,
        upstream: &Upstream,
        call: &OrderCall,
        _: Duration,
    ) -> EngineAnswer<OrderAnswer> {
        sleep(Duration::from_millis(2)).await;
        self.shared.record_engine_call(&upstream.id);
        let orders = &self.shared.orders;
        orders
            .borrow_mut()
            .push((upstream.id.clone(), call.clone()));
        *self
            .shared
            .order_counts
            .borrow_mut()
            .entry(upstream.id.clone())
            .or_default() += 1;
        let mut upstreams = self.shared.upstreams.borrow_mut();
        let Some(known) = upstreams.get_mut(&upstream.id) else {
            let reason = "connection refused".to_owned();
            let addr = upstream.addr;
            return EngineAnswer {
                result: Err(PlatformError::NoAnswer { addr, reason }),
                notice: UpstreamNotice::default(),
            };
        };
        let models = &mut known.holds.models;
        match &call.order {
            Order::Load(a) => match &a.adapter {
                None => models.push(LoadedModel {
                    name: a.model.clone(),
                    adapters: Vec::new(),
                }),
                Some(adapter) => {
                    let model = models.iter_mut().find(|m| m.name == a.model).unwrap();
                    model.adapters.push(adapter.clone());
                }
            },
            Order::Unload(a) => models.retain(|m| m.name != a.model),
        }
        EngineAnswer {
            result: Ok(OrderAnswer::Result(OrderResult::Accepted)),
            notice: self.shared.notice.get(),
        }
    }

    async fn request_report(&self, upstream: &Upstream, _: Duration) -> EngineAnswer<Report> {
        self.shared.record_engine_call(&upstream.id);
        let upstreams = self.shared.upstreams.borrow();
        let Some(known) = upstreams.get(&upstream.id) else {
            let reason = "connection refused".to_owned();
            let addr = upstream.addr;
            return EngineAnswer {
                result: Err(PlatformError::NoAnswer { addr, reason }),
                notice: UpstreamNotice::default(),
            };
        };
        let report = Report {
            holds: known.holds.clone(),
            orders: self
                .shared
                .order_counts
                .borrow()
                .get(&upstream.id)
                .copied()
                .unwrap_or(0),
            ..Report::default()
        };
        EngineAnswer {
            result: Ok(report),
            notice: self.shared.notice.get(),
        }
    }

    async fn request_new_report(
        &self,
        upstream: &Upstream,
        limit: Duration,
    ) -> EngineAnswer<Report> {
        self.request_report(upstream, limit).await
    }
}

/// Parses `ID:TOKENS,...`, with identifiers in hexadecimal.
fn parse_prompt(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.split_once(':').unwrap();
        PromptPart {
            id: u64::from_str_radix(id, 16).unwrap(),
            tokens: tokens.parse().unwrap(),
        }
    });
    parts.collect()
}

pub fn route(prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        prefix: prefix.to_owned(),
        kind,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1.0,
        }],
        time_limit: Duration::from_secs(2),
        first_byte_goal: Duration::from_millis(100),
        pause_goal: Duration::from_millis(400),
        stream_idle_timeout: Duration::from_secs(2),
        rank: 1,
        max_upstreams: 2,
        is_public: false,
        is_resumable: kind == RouteKind::Stream,
        home_regions: Vec::new(),
    }
}

/// A configuration with an idempotent and a non-idempotent route to a plain service, and a stream
/// route to engines.
pub fn config(version: u64) -> Config {
    let mut config = Config {
        version,
        ..Config::default()
    };
    let routes = [
        route("/read/", RouteKind::Idempotent, "plain"),
        route("/book/", RouteKind::NonIdempotent, "plain"),
        route("/tell/", RouteKind::Stream, "llm"),
    ];
    let routes = routes.into_iter().map(Rc::new).collect();
    config.routes.insert("h".to_owned(), routes);
    let model = |name: &str| {
        let model = Model {
            name: name.to_owned(),
            weights_mb: 10.0,
            adapter_mb: 0.0,
            adapters: 0,
            store_load: Duration::from_millis(100),
            disk_load: Duration::from_millis(50),
            memory_load: Duration::from_millis(50),
        };
        (name.to_owned(), Rc::new(model))
    };
    let engine = Engine {
        slots: 8,
        kv_tokens: 1_000,
        weights_mb: 15.0,
        adapter_slots: 2,
        loads_per_s: 10.0,
        models: ["m1", "m2"].into_iter().map(model).collect(),
    };
    for (name, engine) in [("plain", None), ("llm", Some(engine))] {
        let service = Service {
            name: name.to_owned(),
            max_connections: 10,
            engine,
            cold: None,
        };
        config.services.insert(name.to_owned(), Rc::new(service));
    }
    let workspace = Workspace {
        name: "vans".to_owned(),
        rank: None,
        allowance: None,
        home_regions: Vec::new(),
    };
    config
        .workspaces
        .insert("vans".to_owned(), Rc::new(workspace));
    config
        .keys
        .insert("secret-key".to_owned(), "vans".to_owned());
    config
}
