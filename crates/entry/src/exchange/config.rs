//! Sends configurations between instances as differences.
//!
//! The store gives a configuration only as a whole, which takes a thin link about a second, and most
//! changes concern a few routes. An instance that has a newer configuration therefore sends what differs
//! from the one that the other has, compressed: with the holder's view if that is little, else in parts
//! that are asked for one after the other. So a transfer of any size ends only if a part does not arrive,
//! and leaves room for reports and grants. Any instance may be asked, so that one link does not serve all.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use bytes::{Bytes, BytesMut};
use comfreyweir_delta::Pieces;
use comfreyweir_peer::{PeerLink, open, peer_capnp::entry};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};
use tokio::time::timeout;

use super::{
    client::{
        ConnectSnafu, ExchangeError, LinkSnafu, NoHolderSnafu, UnexpectedAnswerSnafu, call_holder,
    },
    message::{ExchangeAnswer, InstanceCall},
};
use crate::{follow::known_config::Source, platform::Platform, state::EntryContext};

/// Most bytes of a difference that one message has.
const PART_BYTES: usize = 16 << 10;
/// Versions from which differences can be made, and differences that are kept for those who ask for the
/// next part, with their bytes.
const MAX_KNOWN_VERSIONS: usize = 24;
const MAX_DIFFERENCES: usize = 24;
const MAX_DIFFERENCE_BYTES: usize = 4 << 20;
/// Fraction of the instance's bandwidth that sending configurations to other instances may take.
const LINK_FRACTION: f64 = 0.3;
/// Longest time for which a part waits for that bandwidth, and by which a view may exceed it.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(300);
const MAX_VIEW_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Time for connecting to an instance, and for each part without the time for which it may be queued.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances that are asked in a row, and the pause after them.
const MAX_ASKED: usize = 4;
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Rounds after which the store is asked instead.
const MAX_ROUNDS: usize = 3;

/// A version of the configuration, and the hash of its text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigId {
    /// Version; 0 if there is none.
    pub(crate) version: u64,
    /// Hash of the text, as of [`Pieces::hash`].
    pub(crate) hash: u64,
}

/// A part of the difference between two configurations.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigPart {
    /// What the difference is from; the default stands for an empty text.
    pub(crate) base: ConfigId,
    /// What it results in.
    pub(crate) target: ConfigId,
    /// Length of the whole difference in bytes.
    pub(crate) total: usize,
    /// The bytes of this part.
    pub(crate) bytes: Bytes,
}

/// Asks an instance for its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigRequest {
    /// What the asking instance has.
    pub(crate) known: ConfigId,
    /// Base and target of the difference of which it has parts, and the length of these.
    pub(crate) continues: Option<(ConfigId, ConfigId, usize)>,
}

/// Answer to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigAnswer {
    /// Version of the configuration that the instance has.
    pub(crate) version: u64,
    /// Time in ms since that was last confirmed to be the newest; `u64::MAX` if never.
    pub(crate) age_ms: u64,
    /// None if the other has as new a configuration, or if the link is taken by other transfers.
    pub(crate) part: Option<ConfigPart>,
}

/// What an instance needs to send its configuration to others.
#[derive(Default)]
pub(crate) struct ConfigSender {
    /// The latest configurations; the last one is in force.
    known: RefCell<VecDeque<(ConfigId, Pieces)>>,
    /// Differences by base and target.
    differences: RefCell<VecDeque<((ConfigId, ConfigId), Bytes)>>,
    /// When the bandwidth for configurations is free again.
    free_at: Cell<Option<Instant>>,
}

impl ConfigSender {
    /// The configuration in force.
    pub(crate) fn id(&self) -> ConfigId {
        let known = self.known.borrow();
        known.back().map(|(id, _)| *id).unwrap_or_default()
    }

    /// Records which configuration is in force.
    pub(crate) fn replace(&self, id: ConfigId, pieces: Pieces) {
        let mut known = self.known.borrow_mut();
        known.push_back((id, pieces));
        if known.len() > MAX_KNOWN_VERSIONS {
            known.pop_front();
        }
    }

    /// The difference from a configuration to the one in force, which has the text `value`, and what it
    /// is from: an empty text if that configuration is not known here.
    fn difference(&self, from: ConfigId, value: &Bytes) -> (ConfigId, Bytes) {
        let known = self.known.borrow();
        let base = known.iter().find(|(id, _)| *id == from);
        let base_id = base.map(|(id, _)| *id).unwrap_or_default();
        let Some((target, pieces)) = known.back() else {
            return (base_id, Bytes::new());
        };
        let mut differences = self.differences.borrow_mut();
        let key = (base_id, *target);
        if let Some((_, difference)) = differences.iter().find(|(k, _)| *k == key) {
            return (base_id, difference.clone());
        }
        let empty = Pieces::default();
        let base = base.map_or(&empty, |(_, pieces)| pieces);
        let difference = Bytes::from(base.difference(value, pieces));
        differences.push_back((key, difference.clone()));
        let bytes = |all: &VecDeque<(_, Bytes)>| all.iter().map(|(_, d)| d.len()).sum::<usize>();
        while differences.len() > MAX_DIFFERENCES
            || differences.len() > 1 && bytes(&differences) > MAX_DIFFERENCE_BYTES
        {
            differences.pop_front();
        }
        (base_id, difference)
    }

    /// Takes bandwidth for `bytes`. Returns how long they have to wait; none if that is longer than
    /// `max_wait`.
    fn reserve(
        &self,
        bytes: usize,
        link_mbps: f64,
        max_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let free_at = self.free_at.get().map_or(now, |at| at.max(now));
        let wait = free_at.saturating_duration_since(now);
        if wait > max_wait {
            return None;
        }
        self.free_at
            .set(Some(free_at + link_time(bytes, link_mbps * LINK_FRACTION)));
        Some(wait)
    }
}

/// Time that `bytes` take over a link.
pub(crate) fn link_time(bytes: usize, link_mbps: f64) -> Duration {
    #[allow(clippy::cast_precision_loss)]
    let bits = bytes as f64 * 8.0;
    Duration::try_from_secs_f64(bits / (link_mbps * 1e6).max(1.0)).unwrap_or(Duration::MAX)
}

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// What a view of the holder has of the configuration for an instance that has `known`: the whole
    /// difference, if there is one, it is short, and there is bandwidth for it.
    pub(crate) fn config_for_view(&self, known: ConfigId) -> Option<ConfigPart> {
        let part = self.first_part(known)?;
        if part.bytes.len() < part.total {
            return None;
        }
        let link_mbps = self.settings().instance.link_mbps;
        let sender = &self.known_config.sender;
        let now = self.now();
        let reserved = sender.reserve(part.total, link_mbps, MAX_VIEW_QUEUE_TIME, now);
        reserved.map(|_| part)
    }

    /// The first part of the difference from `known`; none if that is as new as the one in force.
    fn first_part(&self, known: ConfigId) -> Option<ConfigPart> {
        let sender = &self.known_config.sender;
        let target = sender.id();
        if known.version >= target.version {
            return None;
        }
        let (base, difference) = sender.difference(known, &self.config_value());
        Some(part(base, target, &difference, 0))
    }

    /// Answers an instance that asks for the configuration.
    pub(crate) async fn answer_config(&self, request: &ConfigRequest) -> ConfigAnswer {
        let sender = &self.known_config.sender;
        let continued = request.continues.and_then(|(base, target, from)| {
            let differences = sender.differences.borrow();
            let mut differences = differences.iter();
            let (_, difference) = differences.find(|(key, _)| *key == (base, target))?;
            Some(part(base, target, difference, from))
        });
        let part = continued.or_else(|| self.first_part(request.known));
        let link_mbps = self.settings().instance.link_mbps;
        let wait = part.as_ref().and_then(|part| {
            let bytes = part.bytes.len();
            sender.reserve(bytes, link_mbps, MAX_QUEUE_TIME, self.now())
        });
        if let Some(wait) = wait {
            sleep(wait).await;
        }
        // After the wait, as the other counts it from when it asked.
        let now = self.now();
        let age = self.config_age(now).map(comfreyweir_clock::whole_millis);
        ConfigAnswer {
            version: self.config().version,
            age_ms: age.unwrap_or(u64::MAX),
            part: part.filter(|_| wait.is_some()),
        }
    }

    /// Gets the newest configuration from other instances. Returns whether it is now known to be in
    /// force here, as far as `is_current` tells.
    pub(crate) async fn update_config_from_instances<F>(&self, is_current: F) -> bool
    where
        F: Fn() -> bool,
    {
        let mut failure = None;
        for _ in 0..MAX_ROUNDS {
            let sources = self.config_sources();
            if sources.is_empty() {
                return false;
            }
            for addr in sources {
                match self.fetch_config(addr).await {
                    Ok(()) if is_current() => return true,
                    Ok(()) => {}
                    Err(e) => failure = Some(e),
                }
            }
            sleep(ROUND_PAUSE).await;
            if is_current() {
                return true;
            }
        }
        let reason = failure.map_or_else(
            || "none has a newer one, or bandwidth left".to_owned(),
            |e| e.to_string(),
        );
        spdlog::info!("configuration was not received from other instances", kv: {
            version = self.config().version, reason = reason.as_str()
        });
        false
    }

    /// Instances to ask, in this order: some of those that the holder has named, and others.
    fn config_sources(&self) -> Vec<SocketAddr> {
        let own = self.settings().listen.peer;
        let members = self.members.borrow();
        let mut named = self.known_config.sources.borrow().clone();
        let holder = members.holder.as_ref().map(|h| h.peer);
        named.extend(holder.filter(|_| !self.holder_resigned.get()));
        let mut others: Vec<_> = members.instances.values().copied().collect();
        let mut rng = rand::rng();
        named.shuffle(&mut rng);
        others.shuffle(&mut rng);
        let mut sources = Vec::new();
        for addr in named.into_iter().chain(others) {
            if addr != own && !sources.contains(&addr) {
                sources.push(addr);
            }
        }
        sources.truncate(MAX_ASKED);
        sources
    }

    /// Asks an instance for its configuration, part by part, and applies it.
    async fn fetch_config(&self, addr: SocketAddr) -> Result<(), ExchangeError> {
        let link = self.config_link(addr).await?;
        let known = &self.known_config;
        known.set_waits_for(Some(Source::Instance(addr)));
        let mut request = ConfigRequest {
            known: known.sender.id(),
            continues: None,
        };
        let mut received = BytesMut::new();
        let asked_at = self.now();
        let mut confirmed = None;
        loop {
            let call = InstanceCall::Config(request);
            let limit = MAX_QUEUE_TIME + PART_TIMEOUT;
            let answer = call_holder(&link, &call, Duration::ZERO, limit).await?;
            let ExchangeAnswer::Config(answer) = answer else {
                return UnexpectedAnswerSnafu.fail();
            };
            // Later answers may be of a newer version than the parts.
            let (version, at) = *confirmed.get_or_insert_with(|| {
                let at = asked_at.checked_sub(Duration::from_millis(answer.age_ms));
                (answer.version, at)
            });
            self.hear_of_config(version, at);
            let Some(part) = answer.part else {
                return Ok(());
            };
            let continues = request.continues.map(|(base, target, _)| (base, target));
            if continues != Some((part.base, part.target)) {
                received.clear();
            }
            received.extend_from_slice(&part.bytes);
            known.record_received(part.bytes.len());
            if received.len() >= part.total || part.bytes.is_empty() {
                let whole = ConfigPart {
                    bytes: received.freeze(),
                    ..part
                };
                self.apply_config_part(&whole, Source::Instance(addr));
                self.hear_of_config(version, at);
                return Ok(());
            }
            request.continues = Some((part.base, part.target, received.len()));
        }
    }

    /// A link to an instance: the one that is open if it is the holder.
    async fn config_link(
        &self,
        addr: SocketAddr,
    ) -> Result<Rc<PeerLink<entry::Client>>, ExchangeError> {
        let known = self.holder_link.borrow().clone();
        if let Some(link) = known.filter(|link| link.addr() == addr && !link.is_closed()) {
            return Ok(link);
        }
        let secret = self.members.borrow().secret.clone();
        let secret = secret.context(NoHolderSnafu)?;
        let opened = timeout(CONNECT_TIMEOUT, open(addr, &secret)).await;
        let opened = opened.ok().context(ConnectSnafu { addr })?;
        Ok(Rc::new(opened.context(LinkSnafu)?))
    }
}

fn part(base: ConfigId, target: ConfigId, difference: &Bytes, from: usize) -> ConfigPart {
    let from = from.min(difference.len());
    let end = (from + PART_BYTES).min(difference.len());
    ConfigPart {
        base,
        target,
        total: difference.len(),
        bytes: difference.slice(from..end),
    }
}
