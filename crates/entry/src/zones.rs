//! Applies evacuations of availability zones and home regions wherever upstreams are chosen or
//! something is sent to one.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{
    directory::Directory,
    upstream::Upstream,
    zones::{
        EvacuationChanges, EvacuationNews, EvacuationSource, Evacuations, ZoneRefusal, ZoneRules,
    },
};
use serde_json::json;

use crate::{
    platform::Platform,
    serve::{AdmittedRequest, Refusal},
    state::EntryContext,
};

/// `Retry-After` when no upstream of a home region is listed.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an instance knows of the zones.
pub(crate) struct ZoneState {
    evacuations: RefCell<Evacuations>,
    /// Regions by zone.
    regions: BTreeMap<String, String>,
}

impl ZoneState {
    pub(crate) fn new(regions: BTreeMap<String, String>) -> Self {
        Self {
            evacuations: RefCell::default(),
            regions,
        }
    }
}

/// Whether the settings have evacuations followed.
fn is_followed<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    cx.settings().timing.evacuation_ms.is_some()
}

/// The rules for a request. `evacuations` is none if these are not followed.
fn rules<'a, P>(
    cx: &'a EntryContext<P>,
    request: &'a AdmittedRequest,
    evacuations: Option<&'a Evacuations>,
) -> ZoneRules<'a>
where
    P: Platform,
{
    let workspace = request.workspace.as_ref();
    ZoneRules {
        evacuations,
        regions: Some(&cx.zones.regions),
        homes: [
            &request.route.home_regions,
            workspace.map_or(&[], |w| w.home_regions.as_slice()),
        ],
    }
}

/// Upstreams of the request's service that take new requests, in zones where it may be sent.
pub(crate) fn ready<'a, P>(
    cx: &'a EntryContext<P>,
    directory: &'a Directory,
    request: &'a AdmittedRequest,
) -> impl Iterator<Item = &'a Rc<Upstream>>
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    let is_followed = is_followed(cx);
    directory.ready(&request.service).filter(move |u| {
        let rules = rules(cx, request, is_followed.then_some(&evacuations));
        rules.check(&u.zone).is_ok()
    })
}

/// Whether a request may be sent to an upstream now, as far as its zone is concerned.
pub(crate) fn may_send<P>(
    cx: &EntryContext<P>,
    request: &AdmittedRequest,
    upstream: &Upstream,
) -> bool
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    let checked = rules(cx, request, is_followed(cx).then_some(&evacuations)).check(&upstream.zone);
    drop(evacuations);
    if let Err(refusal) = checked {
        cx.metrics.count_zone_event("stopped");
        if cx.request_log_limiter.try_acquire(cx.now()) {
            let reason = format!("{refusal:?}");
            spdlog::info!("request is not sent: the zone must not be used", kv: {
                request_id = request.id.as_str(), upstream = upstream.id.as_str(),
                zone = upstream.zone.as_str(), reason = reason.as_str()
            });
        }
        return false;
    }
    if avoids_evacuated(cx, request) {
        cx.metrics.count_zone_event("redirected");
    }
    true
}

/// Counts a request that no upstream could serve, if an evacuated zone has upstreams that would have
/// taken requests of its service.
pub(crate) fn count_refused<P>(cx: &EntryContext<P>, request: &AdmittedRequest, refusal: &Refusal)
where
    P: Platform,
{
    let is_unserved = refusal.status == StatusCode::SERVICE_UNAVAILABLE;
    if is_unserved && avoids_evacuated(cx, request) {
        cx.metrics.count_zone_event("refused");
    }
}

/// Whether an upstream of the request's service takes requests, but not this one since its zone is
/// evacuated.
fn avoids_evacuated<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> bool
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    if !is_followed(cx) || evacuations.zones().next().is_none() {
        return false;
    }
    let rules = rules(cx, request, is_followed(cx).then_some(&evacuations));
    let directory = cx.directory.borrow();
    let mut ready = directory.ready(&request.service);
    ready.any(|u| rules.check(&u.zone) == Err(ZoneRefusal::Evacuated))
}

/// Whether an order may be sent to an engine now.
pub(crate) fn may_order<P>(cx: &EntryContext<P>, upstream: &Upstream) -> bool
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    let rules = ZoneRules {
        evacuations: is_followed(cx).then_some(&*evacuations),
        ..ZoneRules::default()
    };
    rules.check(&upstream.zone).is_ok()
}

/// Identifiers of the upstreams that are in evacuated zones.
pub(crate) fn evacuated<P>(cx: &EntryContext<P>, upstreams: &[Rc<Upstream>]) -> BTreeSet<String>
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    if !is_followed(cx) {
        return BTreeSet::new();
    }
    let evacuated = upstreams
        .iter()
        .filter(|u| evacuations.is_evacuated(&u.zone));
    evacuated.map(|u| u.id.clone()).collect()
}

/// Refuses a request with home regions if none of their upstreams is listed.
pub(crate) fn check_home<P>(cx: &EntryContext<P>, request: &AdmittedRequest) -> Result<(), Refusal>
where
    P: Platform,
{
    let evacuations = cx.zones.evacuations.borrow();
    let rules = rules(cx, request, is_followed(cx).then_some(&evacuations));
    if !rules.has_homes() {
        return Ok(());
    }
    let directory = cx.directory.borrow();
    let is_usable = |u: &Rc<Upstream>| u.service == request.service && rules.is_home(&u.zone);
    if directory.iter().any(is_usable) {
        return Ok(());
    }
    cx.metrics.count_zone_event("not_home");
    let reason = format!(
        "service {} has no upstream in a home region",
        request.service
    );
    Err(Refusal::not_run(reason, NO_HOME_RETRY_AFTER))
}

/// Whether the evacuations are known, or not followed.
pub(crate) fn is_known<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    !is_followed(cx) || cx.zones.evacuations.borrow().is_known()
}

/// Whether this instance has to read the evacuations from the store. `bound` is the time within which
/// they must be in force.
pub(crate) fn is_read_due<P>(cx: &EntryContext<P>, bound: Duration) -> bool
where
    P: Platform,
{
    cx.zones.evacuations.borrow().is_read_due(bound, cx.now())
}

/// What this instance knows of the evacuations, for another one.
pub(crate) fn news<P>(cx: &EntryContext<P>) -> Option<EvacuationNews>
where
    P: Platform,
{
    cx.zones.evacuations.borrow().news(cx.now())
}

/// Takes over the evacuated zones that a read of the store has found, by a call that began at
/// `called_at`.
pub(crate) fn learn<P>(
    cx: &EntryContext<P>,
    zones: &BTreeSet<String>,
    revision: u64,
    called_at: Instant,
) where
    P: Platform,
{
    let now = cx.now();
    let source = EvacuationSource::Store;
    let mut evacuations = cx.zones.evacuations.borrow_mut();
    let changes = evacuations.learn(zones, revision, source, Some(called_at), now);
    drop(evacuations);
    announce(cx, &changes, revision, source);
}

/// Takes over what another instance knows. `sent_after` is a time before which it was certainly not
/// sent.
pub(crate) fn learn_news<P>(
    cx: &EntryContext<P>,
    news: Option<&EvacuationNews>,
    source: EvacuationSource,
    sent_after: Option<Instant>,
) where
    P: Platform,
{
    let Some(news) = news else { return };
    let now = cx.now();
    let mut evacuations = cx.zones.evacuations.borrow_mut();
    let changes = evacuations.learn_news(news, source, sent_after, now);
    drop(evacuations);
    if changes.is_first {
        // A process that has just started has not seen the evacuations that have ended.
        for (zone, ..) in &news.ended {
            cx.presume_cold(zone);
        }
    }
    announce(cx, &changes, news.revision, source);
}

/// Logs changes and notifies waiting requests.
fn announce<P>(
    cx: &EntryContext<P>,
    changes: &EvacuationChanges,
    revision: u64,
    source: EvacuationSource,
) where
    P: Platform,
{
    if changes.is_empty() {
        return;
    }
    let source = source.name();
    if changes.is_first {
        let zones = changes.begun.join(" ");
        spdlog::info!("evacuations are known", kv: { revision, source, zones = zones.as_str() });
    }
    for zone in &changes.begun {
        cx.metrics.count_zone_event("begun");
        spdlog::warn!("availability zone is evacuated", kv: {
            zone = zone.as_str(), revision, source
        });
    }
    for zone in &changes.ended {
        cx.metrics.count_zone_event("ended");
        spdlog::warn!("evacuation of an availability zone has ended", kv: {
            zone = zone.as_str(), revision, source
        });
        // Upstreams may have become cold meanwhile, and their entries may not say so yet.
        cx.presume_cold(zone);
    }
    cx.state_changed.notify_waiters();
}

/// The evacuations for the status page; null if they are not followed.
pub(crate) fn status<P>(cx: &EntryContext<P>) -> serde_json::Value
where
    P: Platform,
{
    if !is_followed(cx) {
        return serde_json::Value::Null;
    }
    let now = cx.now();
    let evacuations = cx.zones.evacuations.borrow();
    let ms = |at: Instant| whole_millis(now.saturating_duration_since(at));
    let zones = evacuations.zones().map(|(zone, evacuated)| {
        let status = json!({
            "since_ms": ms(evacuated.since), "source": evacuated.source.name()
        });
        (zone.to_owned(), status)
    });
    json!({
        "zones": zones.collect::<BTreeMap<_, _>>(),
        "revision": evacuations.revision(),
        "age_ms": evacuations.age(now).map(whole_millis),
    })
}
