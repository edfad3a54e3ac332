//! Routes, budgets, judgement and choice of upstreams, prompt parts, events and the duty.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Config, Route, RouteKind, Target},
    duty::Tenure,
    events::EventSplitter,
    health::{Health, Outcome},
    load::Load,
    prefix_cache::PrefixCaches,
    request::{Artifact, PromptPart},
    retry_budget::{BudgetLimits, RetryBudget},
    upstream_choice::{Candidate, choose},
};
use proptest::prelude::*;

fn route(name: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        targets: vec![Target {
            service: name.to_owned(),
            weight: 1.0,
        }],
        time_limit: Duration::from_secs(1),
        first_byte_goal: Duration::from_millis(100),
        stream_idle_timeout: Duration::from_secs(2),
        rank: 0,
        max_upstreams: 2,
        is_public: false,
        is_resumable: false,
    })
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let mut config = Config::default();
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    config.routes.insert("h".to_owned(), routes);
    let name = |host, path| config.route(host, path).map(|r| r.name.clone());
    assert_eq!(name("h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("h", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("other", "/a/b/c"), None);
}

#[test]
fn services_share_requests_by_weight() {
    let mut split = (*route("r", "/")).clone();
    split.targets = vec![
        Target {
            service: "most".to_owned(),
            weight: 90.0,
        },
        Target {
            service: "few".to_owned(),
            weight: 10.0,
        },
    ];
    let mut rng = rand::rng();
    let few = (0..10_000)
        .filter(|_| split.draw_service(&mut rng) == Some("few"))
        .count();
    assert!((700..1_300).contains(&few), "{few}");
}

/// Pattern: every request fails and is repeated, at all instances.
#[test]
fn repeats_of_all_instances_stay_inside_the_budget() {
    let limits = BudgetLimits {
        ratio: 0.2,
        extra: 52.0,
        window: Duration::from_secs(10),
    };
    let mut instances: Vec<_> = (0..6).map(|_| RetryBudget::new(limits)).collect();
    let start = Instant::now();
    let (mut requests, mut repeats) = (0.0, 0.0);
    for ms in (0..10_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        for instance in &mut instances {
            instance.note_request("s", now);
            requests += 1.0;
            while instance.take_retry("s", 6, now) {
                repeats += 1.0;
            }
        }
    }
    assert!(repeats <= 0.2 * requests + 52.0, "{repeats} of {requests}");
    assert!(
        repeats >= 0.6 * (0.2 * requests + 52.0),
        "{repeats} of {requests}"
    );
}

fn candidate(id: &str) -> Candidate<'_> {
    Candidate {
        id,
        is_near: true,
        load: Load::default(),
        slots: 8,
        uncached_tokens: 1_000,
        failure_rate: 0.0,
    }
}

/// Pattern: requests with the same long prompt gather where it was read.
#[test]
fn kept_prompt_attracts_requests() {
    let mut kept = candidate("b");
    kept.uncached_tokens = 100;
    assert_eq!(
        choose(&[candidate("a"), kept, candidate("c")], None),
        Some(1)
    );
}

/// Pattern: a burst for one prompt must not queue at one engine while others idle.
#[test]
fn queue_outweighs_a_kept_prompt() {
    let mut kept = candidate("b");
    kept.uncached_tokens = 100;
    kept.load = Load {
        running: 4,
        starting: 4,
        uncached_tokens: 4_000,
    };
    assert_ne!(
        choose(&[candidate("a"), kept, candidate("c")], None),
        Some(1)
    );
}

/// Pattern: an upstream fails part of its requests while its health check is good.
#[test]
fn failing_upstream_is_avoided_while_others_are_sound() {
    let mut health = Health::default();
    let now = Instant::now();
    for i in 0..6 {
        let outcome = if i % 2 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        health.note("a", outcome, now);
        health.note("b", Outcome::Good, now);
    }
    let (mut a, mut b) = (candidate("a"), candidate("b"));
    a.failure_rate = health.failure_rate("a", now);
    b.failure_rate = health.failure_rate("b", now);
    b.load.running = 10;
    assert_eq!(choose(&[a, b], None), Some(1));
    let later = now + Duration::from_secs(30);
    assert!(
        health.failure_rate("a", later).abs() < f64::EPSILON,
        "it is tried again"
    );
}

#[test]
fn unreachable_upstream_rests_for_a_growing_time() {
    let mut health = Health::default();
    let now = Instant::now();
    health.note("a", Outcome::Unreachable, now);
    assert!(health.is_in_backoff("a", now + Duration::from_millis(400)));
    let again = now + Duration::from_millis(600);
    assert!(!health.is_in_backoff("a", again));
    health.note("a", Outcome::Unreachable, again);
    assert!(health.is_in_backoff("a", again + Duration::from_millis(900)));
    health.note("a", Outcome::Good, again);
    assert!(!health.is_in_backoff("a", again));
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn part_counts_as_kept_only_after_the_same_beginning() {
    let mut kept = PrefixCaches::default();
    let m = Artifact::parse("m");
    kept.note("u", &m, &[part(1, 100), part(2, 50), part(3, 10)], 10_000);
    assert_eq!(
        kept.uncached_tokens("u", &m, &[part(1, 100), part(2, 50), part(4, 10)]),
        10
    );
    assert_eq!(
        kept.uncached_tokens("u", &m, &[part(9, 100), part(2, 50)]),
        150
    );
    assert_eq!(
        kept.uncached_tokens("u", &Artifact::parse("m/a1"), &[part(1, 100)]),
        100
    );
    assert_eq!(kept.uncached_tokens("other", &m, &[part(1, 100)]), 100);
}

#[test]
fn parts_used_the_longest_time_ago_are_taken_for_gone() {
    let mut kept = PrefixCaches::default();
    let m = Artifact::parse("m");
    for id in 0..20 {
        kept.note("u", &m, &[part(id, 100)], 1_000);
    }
    assert_eq!(kept.uncached_tokens("u", &m, &[part(0, 100)]), 100);
    assert_eq!(kept.uncached_tokens("u", &m, &[part(19, 100)]), 0);
}

#[test]
fn holder_stops_before_its_lease_ends_and_starts_after_the_rest() {
    let ms = Duration::from_millis;
    let mut tenure = Tenure::begin(7, 1, ms(2_000), ms(1_000), ms(1_020), ms(3_000));
    assert!(!tenure.may_order(ms(1_500)));
    tenure.renew(ms(3_500));
    assert!(tenure.may_order(ms(4_100)));
    assert!(!tenure.may_order(ms(4_800)), "no renewal since");
    assert!(!tenure.has_lapsed(ms(4_800)));
    assert!(tenure.has_lapsed(ms(5_600)));
}

/// Pattern: the holder freezes or is cut off, and another instance takes over when its lease ends.
#[test]
fn orders_of_two_holders_lie_apart_although_the_second_rests_for_less() {
    let ms = Duration::from_millis;
    let (ttl, apart) = (ms(2_000), ms(3_000));
    let mut first = Tenure::begin(7, 1, ttl, ms(0), ms(0), ms(0));
    first.renew(ms(10_000));
    let last_order = (10_000..20_000)
        .rev()
        .map(ms)
        .find(|at| first.may_order(*at));
    let ended = ms(10_000) + ttl;
    let rest = apart.saturating_sub(Tenure::order_free_time(ttl));
    let second = Tenure::begin(9, 2, ttl, ended, ended, rest);
    let mut first_order = (12_000..20_000).map(ms);
    let first_order = first_order.find(|at| {
        let mut renewed = second;
        renewed.renew(*at);
        renewed.may_order(*at)
    });
    let lie_apart = first_order.unwrap().saturating_sub(last_order.unwrap());
    assert!(lie_apart >= apart, "{lie_apart:?}");
    assert!(lie_apart <= apart + ms(2), "{lie_apart:?}");
}

proptest! {
    /// However a stream is cut into pieces, only whole events are handed out, and none is lost.
    #[test]
    fn events_are_split_at_their_ends(cuts in prop::collection::vec(1_usize..40, 1..40)) {
        let events: Vec<_> = (0..12).map(|i| format!("id: {i}\ndata: tok{i}\n\n")).collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::after(None);
        let mut rest = stream.as_bytes();
        let mut out = Vec::new();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            out.extend_from_slice(&splitter.push(piece));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
            let whole = out.windows(2).filter(|w| w == b"\n\n").count();
            let last = whole.checked_sub(1).map(|n| n as u64);
            prop_assert_eq!(splitter.last_id(), last);
        }
        out.extend_from_slice(&splitter.push(rest));
        prop_assert_eq!(out, stream.as_bytes());
    }
}
