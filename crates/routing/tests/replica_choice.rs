//! Properties of load estimates, of the choice between replicas, and of the prefix index.

use std::time::{Duration, Instant};

use comfreyweir_routing::{
    affinity::{PrefixIndex, PromptPrefixes},
    choice::{Candidate, choose_replica},
    load::UpstreamCalls,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::StdRng};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn candidate() -> impl Strategy<Value = Candidate> {
    let fields = (0..40_u32, 1..16_u32, any::<bool>(), 0.0..1.0_f64);
    fields.prop_map(|(load, slots, same_zone, cached)| Candidate {
        load,
        slots,
        same_zone,
        cached,
    })
}

/// Start and duration of each call, in ms.
fn calls() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..2_000_u64, 1..2_000_u64), 0..40)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn worst_of_several_is_never_chosen(
        candidates in prop::collection::vec(candidate(), 2..12),
        seed in any::<u64>(),
    ) {
        let chosen = choose_replica(&candidates, &mut StdRng::seed_from_u64(seed)).unwrap();
        let worse = candidates.iter().filter(|c| c.score() >= candidates[chosen].score());
        // The chosen replica itself, and the one that it was compared with.
        prop_assert!(worse.count() >= 2);
    }

    #[test]
    fn lagging_report_is_corrected_by_own_calls(
        calls in calls(),
        other_calls in 0..20_u32,
        reported_ms in 0..2_000_u64,
        lag_ms in 0..2_000_u64,
    ) {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let (reported_at, now) = (reported_ms, reported_ms + lag_ms);
        let mut own = UpstreamCalls::default();
        let mut events: Vec<(u64, usize, bool)> = Vec::new();
        for (i, (begin, duration)) in calls.iter().enumerate() {
            events.push((*begin, i, true));
            events.push((begin + duration, i, false));
        }
        events.sort_unstable();
        let mut ids = std::collections::BTreeMap::new();
        for (ms, i, begins) in events.into_iter().filter(|(ms, ..)| *ms <= now) {
            if begins {
                ids.insert(i, own.begin(at(ms)));
            } else {
                own.end(ids[&i], at(ms));
            }
        }
        let running = |ms: u64| {
            let running_calls = calls
                .iter()
                .filter(|(begin, duration)| *begin <= ms && ms < begin + duration);
            u32::try_from(running_calls.count()).unwrap()
        };
        let estimate = own.estimate(other_calls + running(reported_at), at(reported_at));
        prop_assert_eq!(estimate, other_calls + running(now));
    }

    #[test]
    fn longest_prefix_is_found(shared in 1..20_usize, extra in 0..20_usize) {
        let block = |n: usize| format!("{n:0256}");
        let text = |to: usize| (0..to).map(block).collect::<Vec<_>>().concat();
        let mut index = PrefixIndex::default();
        index.record_sent(&PromptPrefixes::of("m@1", &text(shared)), "engine-0");
        let requested = PromptPrefixes::of("m@1", &text(shared + extra));
        let (upstream, cached_fraction) = index.longest_match(&requested).unwrap();
        prop_assert_eq!(upstream, "engine-0");
        #[allow(clippy::cast_precision_loss)]
        let expected = shared as f64 / (shared + extra) as f64;
        prop_assert!((cached_fraction - expected).abs() < 1e-9);
        prop_assert!(index.longest_match(&PromptPrefixes::of("m@2", &text(shared))).is_none());
    }
}
