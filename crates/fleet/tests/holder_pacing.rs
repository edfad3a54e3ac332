//! What the holder of the planning duty sends to instances whose requests wait, in a large fleet where
//! engines load and unload something all the time.

use std::{collections::BTreeMap, time::Duration};

use comfreyweir_fleet::{
    placement_log::PlacementLog, planner::Placement, report_pacing::ReportPacing, request::Artifact,
};
use proptest::prelude::*;

const INSTANCES: u32 = 295;
const PERIOD: Duration = Duration::from_millis(590);

fn placement(engines: &[(&str, &[&str])]) -> Placement {
    let mut placement = Placement::new();
    for (id, artifacts) in engines {
        let models: &mut BTreeMap<String, Vec<String>> =
            placement.entry((*id).to_owned()).or_default();
        for artifact in artifacts.iter().map(|a| Artifact::parse(a)) {
            let adapters = models.entry(artifact.model).or_default();
            adapters.extend(artifact.adapter);
        }
    }
    placement
}

/// Instances that wait for a model that takes seconds to load, while others load all the time.
#[test]
fn changes_of_other_artifacts_are_no_news() {
    let mut log = PlacementLog::default();
    log.update(placement(&[("e1", &["m1"]), ("e2", &["m2/a"])]));
    let known = log.version();
    let awaited = [Artifact::parse("m3"), Artifact::parse("m2/b")];
    assert!(log.update(placement(&[("e1", &["m1/c"]), ("e2", &["m2/a"])])));
    assert!(log.update(placement(&[("e1", &["m4"]), ("e2", &["m2/a"])])));
    assert!(!log.has_gained(&awaited, known));
    assert!(log.update(placement(&[("e1", &["m4"]), ("e2", &["m2/a", "m2/b"])])));
    assert!(log.has_gained(&awaited, known));
    assert!(!log.has_gained(&awaited, log.version()));
    assert!(log.update(placement(&[("e2", &["m2/a"])])));
    assert!(
        !log.has_gained(&awaited, known + 3),
        "what is lost is no news"
    );
    assert!(log.update(placement(&[("e1", &["m3"]), ("e2", &["m2/a"])])));
    assert!(log.has_gained(&awaited, known + 4));
}

/// A third of the instances wait for 5 s, as in the first seconds after demand has moved.
#[test]
fn waiting_instances_cost_little_more_than_others() {
    let time = Duration::from_secs(5);
    let mut pacing = ReportPacing::default();
    let (mut elapsed, mut answers) = (Duration::ZERO, 0);
    while elapsed < time {
        elapsed += pacing.answer_wait(PERIOD);
        pacing.record_answer();
        answers += 1;
    }
    let periodic = u32::try_from(time.as_millis() / PERIOD.as_millis()).unwrap();
    assert!(answers <= periodic + 4, "{answers} answers");
    let all = INSTANCES / 3 * answers + INSTANCES * 2 / 3 * periodic;
    assert!(all < INSTANCES * (periodic + 2), "{all} answers");
}

/// A request for another model is told soon when it can be served.
#[test]
fn first_answer_after_new_demand_is_soon() {
    let mut pacing = ReportPacing::default();
    for _ in 0..40 {
        pacing.record_answer();
    }
    assert!(pacing.answer_wait(PERIOD) >= PERIOD);
    pacing.record_new_demand();
    assert!(pacing.answer_wait(PERIOD) <= Duration::from_millis(100));
}

proptest! {
    /// An instance that applies the changes since the version that it knows has the whole placement.
    #[test]
    fn changes_lead_to_the_same_placement(
        steps in prop::collection::vec(prop::collection::btree_map(0..6_u8, 0..4_u8, 0..6), 1..12),
        reads in prop::collection::vec(any::<bool>(), 12),
    ) {
        let mut log = PlacementLog::default();
        let (mut known, mut copy) = (0, Placement::new());
        for (step, is_read) in steps.into_iter().zip(reads) {
            let engines = step.into_iter().map(|(engine, model)| {
                let models = BTreeMap::from([(format!("m{model}"), Vec::new())]);
                (format!("e{engine}"), models)
            });
            let placement: Placement = engines.collect();
            log.update(placement.clone());
            if is_read {
                copy.extend(log.changes_since(known));
                known = log.version();
                let held: Placement =
                    copy.clone().into_iter().filter(|(_, models)| !models.is_empty()).collect();
                prop_assert_eq!(held, placement);
            }
        }
    }
}
