//! Lists of upstreams that are sent as differences, and request counters of which only changes are
//! reported.

use std::{collections::BTreeMap, rc::Rc};

use comfreyweir_fleet::{
    planner::ArrivalTotals,
    upstream::{Holding, Phase, Upstream},
    versioned_list::{ListCopy, ListVersion, VersionedList},
};
use proptest::prelude::*;

fn upstream(id: usize, slots: u32) -> Rc<Upstream> {
    Rc::new(Upstream {
        id: format!("u{id}"),
        service: "llm".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        software: "1".to_owned(),
        slots,
        phase: Phase::Ready,
        born_ms: None,
        cold_for: std::time::Duration::ZERO,
        holds: Holding::default(),
    })
}

#[test]
fn one_change_is_sent_as_one_entry() {
    let upstreams: Vec<_> = (0..300).map(|i| upstream(i, 1)).collect();
    let mut list = VersionedList::new(7);
    list.update(&upstreams, &BTreeMap::new());
    let mut copy = ListCopy::default();
    let whole = list.changes_since(copy.version()).unwrap();
    assert!(whole.is_whole);
    copy.apply(whole);
    list.update(&upstreams, &BTreeMap::new());
    assert_eq!(list.changes_since(copy.version()), None);
    let mut next = upstreams.clone();
    next[5] = upstream(5, 2);
    next.remove(9);
    list.update(&next, &BTreeMap::new());
    let changes = list.changes_since(copy.version()).unwrap();
    assert_eq!((changes.upstreams.len(), changes.removed.len()), (1, 1));
}

/// Guards against lists that are sent to all instances whenever an engine loads an adapter.
#[test]
fn what_engines_hold_is_not_sent_as_a_change() {
    let before = upstream(1, 1);
    let mut list = VersionedList::new(7);
    list.update(&[Rc::clone(&before)], &BTreeMap::new());
    let mut copy = ListCopy::default();
    copy.apply(list.changes_since(copy.version()).unwrap());
    let mut loaded = (*before).clone();
    loaded.holds.in_memory.push("m1".to_owned());
    list.update(&[Rc::new(loaded.clone())], &BTreeMap::new());
    assert_eq!(list.changes_since(copy.version()), None);
    let mut drained = loaded;
    drained.phase = Phase::Draining(None);
    list.update(&[Rc::new(drained.clone())], &BTreeMap::new());
    copy.apply(list.changes_since(copy.version()).unwrap());
    assert_eq!(copy.list(), [drained]);
}

/// An empty list is a list too: a receiver must learn that there are no upstreams.
#[test]
fn empty_list_is_sent() {
    let mut list = VersionedList::new(7);
    list.update(&[], &BTreeMap::new());
    let changes = list.changes_since(ListVersion::default()).unwrap();
    assert!(changes.is_whole && changes.upstreams.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Receivers that miss answers, and senders that are replaced, end up with the same list.
    #[test]
    fn copy_equals_the_list_after_any_answer(
        steps in prop::collection::vec(
            (
                prop::collection::vec((0_usize..8, (1_u32..4, 0_u64..4)), 0..8),
                any::<bool>(),
                0_u32..10,
            ),
            1..30,
        ),
    ) {
        let mut list = VersionedList::new(1);
        let mut copy = ListCopy::default();
        for (number, (entries, is_answered, replaced)) in (2..).zip(steps) {
            if replaced == 0 {
                list = VersionedList::new(number);
            }
            let entries: BTreeMap<_, _> = entries.into_iter().collect();
            let upstreams = entries.iter().map(|(i, (slots, _))| upstream(*i, *slots));
            let upstreams: Vec<_> = upstreams.collect();
            // Those with a revision are kept.
            let kept = entries.iter().filter(|(_, (_, listed_at))| *listed_at > 0);
            let kept: BTreeMap<_, _> = kept.map(|(i, (_, at))| (format!("u{i}"), *at)).collect();
            list.update(&upstreams, &kept);
            if is_answered {
                if let Some(changes) = list.changes_since(copy.version()) {
                    copy.apply(changes);
                }
                let expected: Vec<_> = upstreams.iter().map(|u| (**u).clone()).collect();
                prop_assert_eq!(copy.list(), expected);
                let marked = copy.kept().map(|(u, at)| (u.id.clone(), at));
                prop_assert_eq!(marked.collect::<BTreeMap<_, _>>(), kept);
                prop_assert_eq!(copy.listed().count() + copy.kept().count(), upstreams.len());
            }
        }
    }
}

fn counters(model: &str, count: u64) -> BTreeMap<String, BTreeMap<String, u64>> {
    let models = BTreeMap::from([(model.to_owned(), count)]);
    BTreeMap::from([("llm".to_owned(), models)])
}

/// A new holder hears of counters for the first time when they change.
///
/// Regression: all requests since the start of each process counted as new ones, so that every
/// change of the holder looked like a crowd for each model.
#[test]
fn new_holder_counts_only_requests_that_arrive_in_its_time() {
    let mut arrivals = ArrivalTotals::default();
    arrivals.record("p1", &counters("m", 1_000));
    arrivals.record("p2", &counters("m", 500));
    assert_eq!(arrivals.of_service("llm")["m"], 0);
    arrivals.record("p1", &counters("m", 1_003));
    arrivals.record("p2", &counters("other", 9));
    assert_eq!(arrivals.of_service("llm")["m"], 3);
    arrivals.record("p2", &counters("m", 501));
    assert_eq!(arrivals.of_service("llm")["m"], 4);
}
