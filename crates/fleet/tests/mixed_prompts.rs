//! Long and short prompts at the same engines, with 80 instances that choose by loads 200 ms old.

#[path = "support/mixed_prompts.rs"]
mod model;

use std::{thread, time::Duration};

use comfreyweir_fleet::{intake::IntakeLimit, load::Load, upstream_choice::home_upstreams};
use model::{Figures, Model, PAUSE_GOAL};

/// Figures of a run of 12 s for each of four seeds, at the same time.
fn run_seeds(prepare: fn(Model) -> Model) -> Vec<Figures> {
    let runs = (0..4).map(|seed| thread::spawn(move || prepare(Model::new(seed, 1.0, 12)).run()));
    let runs: Vec<_> = runs.collect();
    let figures = runs.into_iter().map(|run| run.join().unwrap());
    figures.inspect(|f| println!("{}", f.summary())).collect()
}

fn mean(figures: &[Figures], of: fn(&Figures) -> f64) -> f64 {
    let count = u32::try_from(figures.len()).unwrap();
    figures.iter().map(of).sum::<f64>() / f64::from(count)
}

/// Guards against instances that leave an engine with more to read than it reads within the goal for
/// pauses, and against long prompts that are kept from where they are cached. Without a goal, decisions
/// are those of a service whose routes declare none.
#[test]
fn nine_in_ten_short_streams_have_no_long_pause_beside_long_prompts() {
    let without = run_seeds(Model::without_pause_goal);
    let with = run_seeds(|model| model);
    let paused = mean(&with, Figures::paused);
    assert!(paused <= 0.1, "{paused} of the short streams");
    for (before, now) in without.iter().zip(&with) {
        assert!(now.late() <= before.late(), "{}", now.summary());
        assert!(now.late() <= 0.1, "{}", now.summary());
        assert!(now.busiest_of_model < 2.0, "{}", now.summary());
    }
}

/// Guards against instances that lose what engines have cached when one engine goes, or that find other
/// homes because their lists are in another order.
#[test]
fn homes_stay_when_another_upstream_goes() {
    let ids: Vec<_> = (0..20).map(|i| format!("engine-{i}")).collect();
    let names = || ids.iter().map(String::as_str);
    for prefix in 0..100 {
        let homes = home_upstreams(names(), prefix);
        let [Some(first), Some(second)] = homes else {
            panic!("{homes:?}");
        };
        assert_ne!(first, second);
        assert_eq!(home_upstreams(names().rev(), prefix), homes);
        let other = names().find(|id| !homes.contains(&Some(*id)));
        let left = names().filter(|id| Some(*id) != other);
        assert_eq!(home_upstreams(left, prefix), homes);
        let left = home_upstreams(names().filter(|id| *id != first), prefix);
        assert_eq!(left[0], Some(second));
    }
    assert_eq!(home_upstreams(["only"], 1), [Some("only"), None]);
    assert_eq!(home_upstreams([], 1), [None, None]);
}

/// The limit of an engine of which nothing was measured, or whose service has no goal for pauses, is that
/// of the pauses alone. Guards against a change for services whose routes declare no goal, and against
/// engines that read slowly but are sent as much as fast ones.
#[test]
fn engine_may_have_unread_what_it_reads_within_the_goal() {
    let busy = Load {
        running: 4,
        starting: 1,
        uncached_tokens: 0,
    };
    let largest = |limit: &IntakeLimit, goal| {
        let allowed = |tokens: &u64| limit.allows_within(busy, 64, *tokens, goal);
        (0..60_000).step_by(100).take_while(allowed).last()
    };
    let unmeasured = IntakeLimit::default();
    let without_goal = largest(&unmeasured, Duration::ZERO);
    assert_eq!(largest(&unmeasured, PAUSE_GOAL), without_goal);
    for tokens_per_ms in [10, 40] {
        let mut limit = IntakeLimit::default();
        limit.record_event_time(Duration::from_millis(30));
        for _ in 0..50 {
            limit.record_first_event(tokens_per_ms * 100, Duration::from_millis(130));
        }
        assert_eq!(largest(&limit, Duration::ZERO), without_goal);
        let read = tokens_per_ms * 500;
        let allowed = largest(&limit, PAUSE_GOAL).unwrap();
        // A step of the measured speed is a fifth.
        assert!(
            allowed * 10 >= read * 8 && allowed * 10 <= read * 12,
            "{allowed}"
        );
    }
}
