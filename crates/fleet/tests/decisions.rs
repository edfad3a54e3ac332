//! Routes, retry budgets, health and choice of upstreams, prefix caches, event streams and the
//! tenure of the planning duty.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Config, Route, RouteKind, Target},
    duty::{LeaseId, Tenure},
    health::{Health, Outcome},
    load::Load,
    prefix_cache::PrefixCaches,
    request::{Artifact, PromptPart},
    retry_budget::{BudgetLimits, RetryBudget},
    upstream_choice::{Candidate, choose},
};

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
        pause_goal: Duration::from_millis(400),
        stream_idle_timeout: Duration::from_secs(2),
        rank: 0,
        max_upstreams: 2,
        is_public: false,
        is_resumable: false,
        home_regions: Vec::new(),
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

/// Every request fails and is retried, at all instances.
#[test]
fn retries_of_all_instances_stay_inside_the_budget() {
    let limits = BudgetLimits {
        ratio: 0.2,
        extra: 52.0,
        window: Duration::from_secs(10),
    };
    let mut instances: Vec<_> = (0..6).map(|_| RetryBudget::new(limits)).collect();
    let start = Instant::now();
    let (mut requests, mut retries) = (0.0, 0.0);
    for ms in (0..10_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        for instance in &mut instances {
            instance.note_request("s", now);
            requests += 1.0;
            while instance.take_retry("s", 6, now) {
                retries += 1.0;
            }
        }
    }
    assert!(retries <= 0.2 * requests + 52.0, "{retries} of {requests}");
    assert!(
        retries >= 0.6 * (0.2 * requests + 52.0),
        "{retries} of {requests}"
    );
}

/// Guards against spending the budget again because the processes that had spent it were killed.
#[test]
fn restarted_instances_stay_inside_the_budget_of_the_window() {
    let limits = BudgetLimits {
        ratio: 0.1,
        extra: 20.0,
        window: Duration::from_secs(10),
    };
    let killed_at = Instant::now();
    let mut sent = 0;
    for started_at in [killed_at, killed_at + Duration::from_secs(2)] {
        for _ in 0..4 {
            let mut budget = RetryBudget::new(limits);
            while budget.take_retry("s", 4, started_at) {
                sent += 1;
            }
        }
    }
    assert!(sent <= 20, "{sent} retries in one window");
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

/// Requests with the same long prompt go to the engine that has it in its KV cache.
#[test]
fn cached_prompt_attracts_requests() {
    let mut cached = candidate("b");
    cached.uncached_tokens = 100;
    assert_eq!(
        choose(&[candidate("a"), cached, candidate("c")], None),
        Some(1)
    );
}

/// A burst for one prompt must not queue at one engine while others are idle.
#[test]
fn queue_outweighs_a_cached_prompt() {
    let mut cached = candidate("b");
    cached.uncached_tokens = 100;
    cached.load = Load {
        running: 4,
        starting: 4,
        uncached_tokens: 4_000,
    };
    assert_ne!(
        choose(&[candidate("a"), cached, candidate("c")], None),
        Some(1)
    );
}

/// An upstream fails half of its requests while it answers health checks.
#[test]
fn failing_upstream_is_avoided_while_others_are_healthy() {
    let mut health = Health::default();
    let now = Instant::now();
    for i in 0..6 {
        let outcome = if i % 2 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        health.record_outcome("a", outcome, now);
        health.record_outcome("b", Outcome::Good, now);
    }
    let (mut a, mut b) = (candidate("a"), candidate("b"));
    a.failure_rate = health.failure_rate("a", now);
    b.failure_rate = health.failure_rate("b", now);
    b.load.running = 10;
    assert_eq!(choose(&[a, b], None), Some(1));
    let later = now + Duration::from_secs(30);
    assert!(
        health.failure_rate("a", later).abs() < f64::EPSILON,
        "the failure rate expires, so that the upstream is tried again"
    );
}

#[test]
fn backoff_of_an_unreachable_upstream_grows() {
    let mut health = Health::default();
    let now = Instant::now();
    health.record_outcome("a", Outcome::Unreachable, now);
    assert!(health.is_in_backoff("a", now + Duration::from_millis(400)));
    let again = now + Duration::from_millis(600);
    assert!(!health.is_in_backoff("a", again));
    health.record_outcome("a", Outcome::Unreachable, again);
    assert!(health.is_in_backoff("a", again + Duration::from_millis(900)));
    health.record_outcome("a", Outcome::Good, again);
    assert!(!health.is_in_backoff("a", again));
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn part_counts_as_cached_only_after_the_same_prefix() {
    let mut caches = PrefixCaches::default();
    let m = Artifact::parse("m");
    caches.record_prompt("u", &m, &[part(1, 100), part(2, 50), part(3, 10)], 10_000);
    assert_eq!(
        caches.uncached_tokens("u", &m, &[part(1, 100), part(2, 50), part(4, 10)]),
        10
    );
    assert_eq!(
        caches.uncached_tokens("u", &m, &[part(9, 100), part(2, 50)]),
        150
    );
    assert_eq!(
        caches.uncached_tokens("u", &Artifact::parse("m/a1"), &[part(1, 100)]),
        100
    );
    assert_eq!(caches.uncached_tokens("other", &m, &[part(1, 100)]), 100);
}

#[test]
fn least_recently_used_parts_count_as_evicted() {
    let mut caches = PrefixCaches::default();
    let m = Artifact::parse("m");
    for id in 0..20 {
        caches.record_prompt("u", &m, &[part(id, 100)], 1_000);
    }
    assert_eq!(caches.uncached_tokens("u", &m, &[part(0, 100)]), 100);
    assert_eq!(caches.uncached_tokens("u", &m, &[part(19, 100)]), 0);
}

fn lease(number: u64) -> LeaseId {
    LeaseId { era: None, number }
}

/// The rest is the time after a takeover in which the new holder gives no orders, here 3 s.
#[test]
fn holder_stops_before_its_lease_ends_and_starts_after_the_rest() {
    let ms = Duration::from_millis;
    let mut tenure = Tenure::begin(7, lease(1), ms(2_000), ms(1_000), ms(1_020), ms(3_000));
    assert!(!tenure.may_order(ms(1_500)));
    tenure.renew(ms(3_500));
    assert!(tenure.may_order(ms(4_100)));
    assert!(!tenure.may_order(ms(4_800)), "no renewal since");
    assert!(!tenure.has_lapsed(ms(4_800)));
    assert!(tenure.has_lapsed(ms(5_600)));
}

/// The holder freezes or loses the store, and another instance takes over when its lease ends.
/// Their orders must be at least 3 s apart.
#[test]
fn orders_of_two_holders_lie_apart_although_the_second_rests_for_less() {
    let ms = Duration::from_millis;
    let (ttl, min_gap) = (ms(2_000), ms(3_000));
    let mut first = Tenure::begin(7, lease(1), ttl, ms(0), ms(0), ms(0));
    first.renew(ms(10_000));
    let last_order = (10_000..20_000)
        .rev()
        .map(ms)
        .find(|at| first.may_order(*at));
    let lease_end = ms(10_000) + ttl;
    // The first holder already gives no orders for the order-free time before its lease ends.
    let takeover_delay = min_gap.saturating_sub(Tenure::order_free_time(ttl));
    let second = Tenure::begin(9, lease(2), ttl, lease_end, lease_end, takeover_delay);
    let mut times = (12_000..20_000).map(ms);
    let first_order = times.find(|at| {
        let mut renewed = second;
        renewed.renew(*at);
        renewed.may_order(*at)
    });
    let gap = first_order.unwrap().saturating_sub(last_order.unwrap());
    assert!(gap >= min_gap, "{gap:?}");
    assert!(gap <= min_gap + ms(2), "{gap:?}");
}
