//! Changes of the list of upstreams: added, draining, removed and lapsed ones.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    directory::{Directory, StoredUpstream, UpstreamProcess},
    store_contact::{StoreContact, StoreReach},
    upstream::{Holding, Phase, Upstream},
    versioned_list::{ListCopy, VersionedList},
};

fn upstream(id: &str, phase: Phase) -> Upstream {
    Upstream {
        id: id.to_owned(),
        service: "llm".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "a".to_owned(),
        software: "1".to_owned(),
        slots: 8,
        phase,
        born_ms: Some(1),
        cold_for: std::time::Duration::ZERO,
        holds: Holding::default(),
    }
}

/// A copy of another instance's list, which no other copy equals.
fn copy(list: &[Upstream]) -> ListCopy {
    static LISTS: AtomicU64 = AtomicU64::new(1);
    let mut sent = VersionedList::new(LISTS.fetch_add(1, Ordering::Relaxed));
    let list: Vec<_> = list.iter().cloned().map(Rc::new).collect();
    sent.update(&list, &BTreeMap::new());
    let mut copy = ListCopy::default();
    if let Some(changes) = sent.changes_since(copy.version()) {
        copy.apply(changes);
    }
    copy
}

fn ids(directory: &Directory) -> Vec<String> {
    directory.ready("llm").map(|u| u.id.clone()).collect()
}

#[test]
fn removed_upstream_gets_no_request() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let both = vec![upstream("a", Phase::Ready), upstream("b", Phase::Ready)];
    directory.replace(&copy(&both), 1, start);
    let changes = directory.replace(&copy(&[upstream("a", Phase::Ready)]), 2, start);
    assert_eq!(changes.removed, ["b"]);
    assert_eq!(ids(&directory), ["a"]);
}

#[test]
fn draining_upstream_gets_no_request_and_is_still_known() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(&copy(&[upstream("a", Phase::Ready)]), 1, start);
    let changes = directory.replace(&copy(&[upstream("a", Phase::Draining(None))]), 2, start);
    assert_eq!(changes.draining, ["a"]);
    assert_eq!(ids(&directory), Vec::<String>::new());
    assert!(directory.get("a").is_some());
}

/// Guards against an upstream that stays in use because each long gap between two lists counts as an
/// outage of the store.
#[test]
fn removed_upstream_is_dropped_however_far_apart_the_lists_are() {
    for gap_ms in (400..=4_000).step_by(100) {
        let mut now = Instant::now();
        let mut directory = Directory::default();
        let both = vec![upstream("a", Phase::Ready), upstream("b", Phase::Ready)];
        directory.replace(&copy(&both), 1, now);
        now += Duration::from_millis(gap_ms);
        directory.replace(&copy(&[upstream("a", Phase::Ready)]), 2, now);
        assert_eq!(ids(&directory), ["a"], "{gap_ms} ms");
    }
}

fn stored(id: &str, written_at: u64) -> StoredUpstream {
    StoredUpstream {
        upstream: upstream(id, Phase::Ready),
        written_at,
    }
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A directory that has listed "a" and "b" before an outage of 6 s, and when the store answers again.
fn after_outage() -> (Directory, Instant) {
    let start = Instant::now();
    let mut directory = Directory::default();
    let mut contact = StoreContact::default();
    assert_eq!(contact.record_answer(HEARTBEAT, start), None);
    directory.replace_read(vec![stored("a", 1), stored("b", 1)], 1, start);
    contact.record_failure();
    let store_back = start + Duration::from_secs(6);
    let outage = contact.record_answer(HEARTBEAT, store_back);
    assert_eq!(outage, Some(Duration::from_secs(6)));
    directory.begin_grace(store_back);
    (directory, store_back)
}

/// The store was out of reach for 6 s and the leases lapsed. Its entries are kept for 2 s after it
/// answers again, so that upstreams have time to write them anew. Lists that are far apart do not
/// prolong that time.
#[test]
fn entries_that_lapsed_with_the_store_are_kept_until_they_can_be_back() {
    for read_period_ms in [200, 400, 1_000, 1_900] {
        let (mut directory, store_back) = after_outage();
        let mut kept_until = store_back;
        for ms in (0..6_000).step_by(read_period_ms) {
            let now = store_back + Duration::from_millis(ms);
            let changes = directory.replace_read(Vec::new(), 9 + ms, now);
            assert_eq!(!changes.kept.is_empty(), ms == 0, "{ms} ms");
            if !ids(&directory).is_empty() {
                kept_until = now;
            }
        }
        assert_eq!(directory.missing_count(), 0);
        let kept = kept_until.duration_since(store_back).as_millis();
        let max_kept = 2_200;
        let read_period_ms = u128::try_from(read_period_ms).unwrap();
        assert!(
            kept + read_period_ms >= 2_000 && kept < max_kept,
            "{kept} {read_period_ms}"
        );
    }
}

/// An upstream that has written its entry since the outage reaches the store: it has left, if its
/// entry then goes. One that has not may still lapse.
#[test]
fn entry_that_was_written_after_the_outage_and_is_removed_is_dropped_at_once() {
    let (mut directory, store_back) = after_outage();
    directory.replace_read(vec![stored("a", 1), stored("b", 1)], 10, store_back);
    let later = store_back + Duration::from_millis(400);
    directory.replace_read(vec![stored("a", 11), stored("b", 1)], 12, later);
    let later = store_back + Duration::from_millis(800);
    let changes = directory.replace_read(Vec::new(), 14, later);
    assert_eq!(
        (changes.removed, changes.kept),
        (vec!["a".to_owned()], vec!["b".to_owned()])
    );
    assert_eq!(ids(&directory), ["b"]);
}

/// The instance that read a list has decided what it keeps. Another one does not keep more.
#[test]
fn list_of_another_instance_holds_as_it_is() {
    let (mut directory, store_back) = after_outage();
    directory.replace_read(Vec::new(), 10, store_back);
    assert_eq!(ids(&directory), ["a", "b"]);
    let changes = directory.replace(&copy(&[upstream("a", Phase::Ready)]), 10, store_back);
    assert_eq!(changes.removed, ["b"]);
    assert_eq!(
        (ids(&directory), directory.missing_count()),
        (vec!["a".to_owned()], 0)
    );
}

/// Guards against taking the list of another instance for the one in force because it is as long.
#[test]
fn list_of_the_same_length_is_not_taken_for_the_same() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let a = copy(&[upstream("a", Phase::Ready)]);
    directory.replace(&a, 10, start);
    directory.replace_read(vec![stored("b", 15)], 20, start);
    assert_eq!(ids(&directory), ["b"]);
    // An older list changes nothing. A newer one holds, though the copy is known from before.
    assert!(directory.replace(&a, 19, start).is_empty());
    assert_eq!(ids(&directory), ["b"]);
    let changes = directory.replace(&a, 30, start);
    assert_eq!(
        (changes.added, changes.removed),
        (vec!["a".to_owned()], vec!["b".to_owned()])
    );
    assert_eq!(ids(&directory), ["a"]);
    // Confirmed by the same copy.
    let later = start + Duration::from_secs(1);
    assert!(directory.replace(&a, 31, later).is_empty());
    assert_eq!(
        (directory.revision(), directory.age(later)),
        (31, Some(Duration::ZERO))
    );
}

/// Guards against graces without an outage: nobody may have called the store for long, or a call may
/// have failed for another reason.
#[test]
fn outage_needs_failed_calls_for_as_long_as_entries_need_to_lapse() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut contact = StoreContact::default();
    contact.record_failure();
    assert_eq!(contact.record_answer(HEARTBEAT, at(0)), None);
    assert_eq!(contact.record_answer(HEARTBEAT, at(30_000)), None);
    contact.record_failure();
    assert_eq!(contact.record_answer(HEARTBEAT, at(32_300)), None);
    assert_eq!(contact.record_answer(HEARTBEAT, at(40_000)), None);
    contact.record_failure();
    let outage = contact.record_answer(HEARTBEAT, at(42_400));
    assert_eq!(outage, Some(Duration::from_millis(2_400)));
    assert_eq!(contact.record_answer(HEARTBEAT, at(50_000)), None);
}

#[test]
fn older_list_is_ignored() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(&copy(&[upstream("a", Phase::Ready)]), 5, start);
    directory.replace(&copy(&[upstream("b", Phase::Ready)]), 4, start);
    assert_eq!(ids(&directory), ["a"]);
}

#[test]
fn restarted_upstream_counts_as_added() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(&copy(&[upstream("a", Phase::Ready)]), 1, start);
    let mut restarted = upstream("a", Phase::Ready);
    restarted.born_ms = Some(2);
    let changes = directory.replace(&copy(&[restarted]), 2, start);
    assert_eq!(changes.added, ["a"]);
}

fn restarted(id: &str) -> Upstream {
    Upstream {
        born_ms: Some(2),
        ..upstream(id, Phase::Ready)
    }
}

/// Guards against new requests to an upstream that only says in its answers that it leaves.
#[test]
fn upstream_that_says_it_leaves_gets_no_request_whatever_lists_say() {
    let start = Instant::now();
    let both = || vec![upstream("a", Phase::Ready), upstream("b", Phase::Ready)];
    let mut directory = Directory::default();
    directory.replace(&copy(&both()), 1, start);
    assert!(directory.record_leaving(&upstream("a", Phase::Ready), start));
    assert!(!directory.record_leaving(&upstream("a", Phase::Ready), start));
    assert_eq!(ids(&directory), ["b"]);
    for s in 1..2_000 {
        directory.replace(&copy(&both()), 1 + s, start + Duration::from_secs(s));
        assert_eq!(ids(&directory), ["b"], "{s} s");
    }
    assert_eq!(
        directory.get("a").map(|u| u.phase),
        Some(Phase::Draining(None))
    );
}

/// An entry that lapsed with the store and returns must not make its upstream ready again.
#[test]
fn upstream_that_leaves_stays_marked_while_its_entry_is_gone() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(&copy(&[upstream("a", Phase::Ready)]), 1, start);
    directory.record_leaving(&upstream("a", Phase::Ready), start);
    directory.replace(&copy(&[]), 2, start + Duration::from_secs(1));
    directory.replace(
        &copy(&[upstream("a", Phase::Ready)]),
        3,
        start + Duration::from_secs(30),
    );
    assert_eq!(ids(&directory), Vec::<String>::new());
}

#[test]
fn new_process_under_the_same_identifier_gets_requests() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(&copy(&[upstream("a", Phase::Ready)]), 1, start);
    directory.record_leaving(&upstream("a", Phase::Ready), start);
    directory.replace(&copy(&[restarted("a")]), 2, start);
    assert_eq!(ids(&directory), ["a"]);
    // An answer of the process before is still on its way.
    directory.record_leaving(&upstream("a", Phase::Ready), start);
    assert_eq!(ids(&directory), ["a"]);
    assert_eq!(directory.leaving().count(), 0);
}

/// What other instances heard holds as long as they report it, and is not passed on as one's own.
#[test]
fn leaving_heard_elsewhere_lasts_as_long_as_it_is_reported() {
    let start = Instant::now();
    let list = || vec![upstream("a", Phase::Ready)];
    let mut directory = Directory::default();
    directory.replace(&copy(&list()), 1, start);
    directory.set_leaving_elsewhere([UpstreamProcess::of(&list()[0])].into());
    assert_eq!(ids(&directory), Vec::<String>::new());
    directory.replace(&copy(&list()), 1, start);
    assert_eq!(ids(&directory), Vec::<String>::new());
    assert_eq!(directory.leaving().count(), 0);
    directory.set_leaving_elsewhere([UpstreamProcess::of(&restarted("a"))].into());
    directory.replace(&copy(&list()), 2, start);
    assert_eq!(ids(&directory), ["a"]);
}

/// A page of a list that is being read shows that an upstream drains. A page that was read before
/// another process took the identifier says nothing of that one.
#[test]
fn draining_is_taken_over_from_a_part_of_the_list() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(
        &copy(&[upstream("a", Phase::Ready), restarted("b")]),
        1,
        start,
    );
    assert!(directory.record_draining(&upstream("a", Phase::Draining(None))));
    assert!(!directory.record_draining(&upstream("a", Phase::Draining(None))));
    assert!(!directory.record_draining(&upstream("b", Phase::Draining(None))));
    assert!(!directory.record_draining(&upstream("c", Phase::Draining(None))));
    assert_eq!(ids(&directory), ["b"]);
}

/// Guards against requests to an upstream that drains, because the store has come back from a copy of
/// before. A process that drains never becomes ready again; another one under its identifier is.
#[test]
fn upstream_that_drains_is_not_ready_again_with_an_older_copy_of_its_entry() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let draining = upstream("a", Phase::Draining(None));
    let read = |upstream: Upstream, written_at| {
        vec![StoredUpstream {
            upstream,
            written_at,
        }]
    };
    directory.replace_read(read(draining, 8), 9, start);
    directory.begin_grace(start);
    for (revision, list) in [
        (20, read(upstream("a", Phase::Ready), 15)),
        (21, Vec::new()),
        (22, read(upstream("a", Phase::Ready), 15)),
    ] {
        let now = start + Duration::from_secs(revision);
        directory.replace_read(list, revision, now);
        assert_eq!(ids(&directory), Vec::<String>::new(), "{revision}");
    }
    let now = start + Duration::from_secs(23);
    directory.replace_read(read(restarted("a"), 23), 23, now);
    assert_eq!(ids(&directory), ["a"]);
}

/// A copy of a list whose sender keeps "b", which it last listed at a revision.
fn copy_that_keeps_b(list_number: u64, listed_at: u64) -> ListCopy {
    let both = ["a", "b"].map(|id| Rc::new(upstream(id, Phase::Ready)));
    let mut sent = VersionedList::new(list_number);
    sent.update(&both, &BTreeMap::from([("b".to_owned(), listed_at)]));
    let mut copy = ListCopy::default();
    copy.apply(sent.changes_since(copy.version()).unwrap());
    copy
}

/// Guards against requests to an upstream that has left: the holder keeps its entry after an outage of
/// its own path, and all others took it back from its list, though they had read a later one.
#[test]
fn entry_that_another_instance_only_keeps_is_not_taken_back() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace_read(vec![stored("a", 1), stored("b", 1)], 10, start);
    directory.replace_read(vec![stored("a", 1)], 20, start);
    assert_eq!(ids(&directory), ["a"]);
    let changes = directory.replace(&copy_that_keeps_b(900, 10), 30, start);
    assert!(changes.is_empty(), "{changes:?}");
    assert_eq!(ids(&directory), ["a"]);
    // The entry is in the list again: the upstream has registered anew.
    let both = [upstream("a", Phase::Ready), upstream("b", Phase::Ready)];
    directory.replace(&copy(&both), 31, start);
    assert_eq!(ids(&directory), ["a", "b"]);
}

/// An instance that still lists the entry keeps it as long as the sender does, unless the store has
/// answered steadily: then there was no outage, and the upstream has left.
#[test]
fn entry_that_another_instance_keeps_is_kept_only_if_it_may_have_lapsed() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for is_steady in [false, true] {
        let mut directory = Directory::default();
        for ms in (0..=6_000).step_by(1_200) {
            if is_steady || ms == 0 {
                directory.record_store_answer(HEARTBEAT, at(ms));
            }
        }
        directory.replace_read(vec![stored("a", 1), stored("b", 1)], 10, at(6_000));
        let changes = directory.replace(&copy_that_keeps_b(901, 9), 30, at(6_200));
        assert_eq!(changes.kept.is_empty(), is_steady);
        assert_eq!(changes.removed.len(), usize::from(is_steady));
        assert_eq!(directory.missing_count(), usize::from(!is_steady));
        let changes = directory.replace(&copy(&[upstream("a", Phase::Ready)]), 31, at(6_300));
        assert_eq!(changes.removed.len(), usize::from(!is_steady));
    }
}

/// Guards against entries that are kept for long after an outage that other instances did not have. What
/// they say of another time, or an outage that they had too, does not end the grace period.
#[test]
fn grace_period_ends_when_another_instance_reached_the_store_meanwhile() {
    for (from_ms, to_ms, is_own) in [
        (0, 10_000, true),
        (2_300, 10_000, true),
        (0, 7_700, true),
        (2_500, 10_000, false),
        (0, 7_500, false),
        (9_900, 10_000, false),
    ] {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut directory = Directory::default();
        directory.record_store_answer(HEARTBEAT, start);
        directory.replace_read(vec![stored("a", 1), stored("b", 1)], 10, start);
        directory.record_store_failure();
        let outage = directory.record_store_answer(HEARTBEAT, at(10_000));
        assert_eq!(outage, Some(Duration::from_secs(10)));
        directory.replace_read(vec![stored("a", 1)], 20, at(10_000));
        assert_eq!(directory.missing_count(), 1);
        let reach = StoreReach {
            since: at(from_ms),
            until: at(to_ms),
        };
        let changes = directory.record_store_reach(HEARTBEAT, reach);
        assert_eq!(changes.is_some(), is_own, "{from_ms} {to_ms}");
        assert_eq!(ids(&directory).contains(&"b".to_owned()), !is_own);
    }
}
