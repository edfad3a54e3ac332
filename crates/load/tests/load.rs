//! Tests of the arrivals, line fits, reports and comparisons of the load tool.

use std::{collections::BTreeMap, time::Duration};

use comfreyweir_load::{
    arrivals::{Arrival, LoadSpec, draw_arrivals},
    compare,
    deployment::{HARROWGATE, WOZKOWNIA},
    fit::Line,
    report::{Allowance, Outcome, build_report},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn config() -> Config {
    Config {
        cases: 16,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_same_seed_gives_the_same_arrivals(seed in any::<u64>(), seconds in 1_u64..20) {
        for deployment in [WOZKOWNIA, HARROWGATE] {
            let load = LoadSpec { seed, length: Duration::from_secs(seconds), rate: 30.0 };
            let arrivals = draw_arrivals(&deployment, load);
            prop_assert_eq!(&arrivals, &draw_arrivals(&deployment, load));
            prop_assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
            prop_assert!(arrivals.iter().all(|arrival| arrival.gate < deployment.gates));
            let other = LoadSpec { seed: seed.wrapping_add(1), ..load };
            prop_assert_ne!(&arrivals, &draw_arrivals(&deployment, other));
        }
    }

    #[test]
    fn fit_recovers_the_line_through_collinear_points(a in -1e3_f64..1e3, b in -1e3_f64..1e3) {
        let points = [1.0_f64, 2.0, 5.0, 9.0].map(|x| (x, a + b * x));
        let line = Line::fit(&points);
        prop_assert!((line.slope - b).abs() < 1e-6 && (line.intercept - a).abs() < 1e-6);
        prop_assert!((line.at(20.0) - (a + 20.0 * b)).abs() < 1e-5);
    }
}

fn outcome(at_us: u64, whole: bool) -> Outcome {
    Outcome {
        arrival: Arrival {
            at_us,
            gate: 0,
            workspace: "w".to_owned(),
            model: "model-0".to_owned(),
            prompt_bytes: 304,
            max_tokens: 24,
            burst: false,
        },
        sent_us: at_us,
        status: if whole { 200 } else { 429 },
        code: if whole { "" } else { "rate_limited" }.to_owned(),
        whole,
        first_us: whole.then_some(1_000),
        longest_gap_us: 0,
    }
}

#[test]
fn only_refusals_inside_the_rate_are_counted() {
    // Each request costs 100 tokens; the bucket holds enough for two and refills one per second.
    let allowance = Allowance {
        rate: 100,
        burst: 200,
    };
    let allowances = BTreeMap::from([("w".to_owned(), allowance)]);
    let outcomes = [
        outcome(0, true),
        outcome(0, true),
        outcome(0, false),
        outcome(1_000_000, false),
    ];
    let report = build_report(&outcomes, &[], &allowances, Duration::from_secs(1));
    assert_eq!(report.refused["rate_limited"], 2);
    assert_eq!(report.refused_inside_rate, 1);
    // The workspace received 200 of the 300 tokens due to it.
    assert!((report.worst_workspace.1 - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn comparison_shows_figures_of_both_runs() {
    let allowances = BTreeMap::new();
    let length = Duration::from_secs(1);
    let a = build_report(&[outcome(0, true)], &[], &allowances, length);
    let b = build_report(&[], &[], &allowances, length);
    let figures = compare::compare_figures(&a, &b);
    let warm = figures
        .iter()
        .find(|figure| figure.name == "warm p95, ms")
        .unwrap();
    assert!(warm.before > 0.9 && warm.after.abs() < 1e-9);
    assert!(compare::table(&a, &b).contains("warm p95, ms"));
}
