//! Publishing: the reported outcome is correct when answers are lost or operators publish at once.

mod support;

use comfreyweir_store::{PublishError, new_write_id, overwrite, publish, read};
use support::{FakeKv, Fault, RootFault, catalog};

#[actix_rt::test]
async fn published_catalog_is_read_back() {
    let kv = FakeKv::new();
    let first = catalog("a", false, 300);
    let published = publish(&kv, &first, 0, "w1").await.unwrap();
    assert_eq!(published.revision, 1);
    let snapshot = read(&kv).await.unwrap();
    assert_eq!((snapshot.revision, snapshot.catalog), (1, first));
}

#[actix_rt::test]
async fn one_change_rewrites_one_small_chunk() {
    /// Number of adapters that the system is designed for.
    const ADAPTERS: usize = 12_000;
    const MAX_CHUNK_BYTES: usize = 32 << 10;
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, ADAPTERS), 0, "w1")
        .await
        .unwrap();
    let key_count = kv.non_empty_key_count();
    let changed = publish(&kv, &catalog("a", true, ADAPTERS), 1, "w2")
        .await
        .unwrap();
    assert_eq!(changed.chunks_written, 1);
    assert_eq!(
        kv.non_empty_key_count(),
        key_count + 1,
        "slow readers must still find the old chunk"
    );
    let again = catalog("a", false, ADAPTERS);
    publish(&kv, &again, 2, "w3").await.unwrap();
    assert_eq!(
        kv.non_empty_key_count(),
        key_count + 1,
        "the oldest chunk is emptied"
    );
    let (largest, _) = kv.chunk_bytes();
    assert!(largest <= MAX_CHUNK_BYTES, "{largest} bytes");
}

#[actix_rt::test]
async fn revision_that_was_not_seen_is_not_overwritten() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let error = publish(&kv, &catalog("b", false, 1), 0, "w2").await;
    let conflict = PublishError::Conflict {
        base: 0,
        current: 1,
    };
    assert_eq!(error.unwrap_err().to_string(), conflict.to_string());
    assert_eq!(read(&kv).await.unwrap().catalog, catalog("a", false, 1));
}

#[actix_rt::test]
async fn one_of_two_racing_operators_is_accepted() {
    let kv = FakeKv::new();
    let (ours, theirs) = (catalog("a", false, 1), catalog("b", false, 1));
    let (a, b) = futures_util::join!(publish(&kv, &ours, 0, "w1"), publish(&kv, &theirs, 0, "w2"));
    assert!(a.is_ok() != b.is_ok(), "{a:?} {b:?}");
    let winner = if a.is_ok() { ours } else { theirs };
    assert_eq!(read(&kv).await.unwrap().catalog, winner);
}

#[actix_rt::test]
async fn lost_answer_of_the_root_swap_is_resolved() {
    let kv = FakeKv::new();
    kv.set_root_faults(&[RootFault::AnswerLost]);
    let published = publish(&kv, &catalog("a", false, 1), 0, "w1").await;
    assert_eq!(published.unwrap().revision, 1);
    kv.set_root_faults(&[RootFault::RequestLost, RootFault::RequestLost]);
    let published = publish(&kv, &catalog("b", false, 1), 1, "w2").await;
    assert_eq!(published.unwrap().revision, 2);
}

/// Guards against reporting a conflict for a write that took effect when its answer was lost and
/// another operator has written since.
#[actix_rt::test]
async fn accepted_write_is_found_after_later_writes() {
    let kv = FakeKv::new();
    let ours = kv.with_own_faults();
    kv.set_root_faults(&[RootFault::AnswerLost]);
    let first = catalog("a", false, 1);
    let our_publish = publish(&ours, &first, 0, "w1");
    let later_publishes = async {
        let mut base = 0;
        while base < 3 {
            let id = new_write_id();
            match publish(&kv, &catalog("b", false, 1), base, &id).await {
                Ok(published) => base = published.revision,
                Err(PublishError::Conflict { current, .. }) => base = current,
                Err(e) => panic!("{e}"),
            }
        }
    };
    let (published, ()) = futures_util::join!(our_publish, later_publishes);
    assert_eq!(published.unwrap().revision, 1);
    assert!(read(&kv).await.unwrap().revision >= 3);
}

#[actix_rt::test]
async fn outage_before_the_root_swap_is_not_accepted() {
    let kv = FakeKv::new();
    kv.set_fault(Fault::Outage);
    let error = publish(&kv, &catalog("a", false, 1), 0, "w1").await;
    assert!(matches!(error, Err(PublishError::Unreadable { .. })));
}

#[actix_rt::test]
async fn unanswered_root_swap_is_unknown_and_resolved_by_the_same_write() {
    let kv = FakeKv::new();
    kv.set_root_faults(&[RootFault::RequestLost; 5]);
    let first = catalog("a", false, 1);
    let error = publish(&kv, &first, 0, "w1").await;
    assert!(
        matches!(error, Err(PublishError::Unknown { .. })),
        "{error:?}"
    );
    let published = publish(&kv, &first, 0, "w1").await.unwrap();
    assert_eq!(published.revision, 1);
    let again = publish(&kv, &first, 0, "w1").await.unwrap();
    assert_eq!(again.revision, 1, "the same write is never made twice");
}

#[actix_rt::test]
async fn lost_chunk_is_written_again() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    kv.corrupt_chunks();
    assert!(read(&kv).await.is_err());
    publish(&kv, &catalog("a", false, 1), 1, "w2")
        .await
        .unwrap();
    assert_eq!(read(&kv).await.unwrap().revision, 2);
}

#[actix_rt::test]
async fn overwrite_uses_a_higher_revision_than_a_lost_one() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let published = overwrite(&kv, &catalog("b", false, 1), 7, "w2").await;
    assert_eq!(published.unwrap().revision, 8);
}
