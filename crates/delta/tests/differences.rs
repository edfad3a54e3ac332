//! Differences give the new text, and are small where little has changed.

use comfreyweir_delta::{Pieces, apply};
use proptest::prelude::*;

const MAX_BYTES: usize = 1 << 20;

fn difference(base: &[u8], target: &[u8]) -> Vec<u8> {
    Pieces::of(base).difference(target, &Pieces::of(target))
}

/// A text like a configuration, of about a mebibyte.
fn text(parts: u32) -> Vec<String> {
    let part = |n| format!("{{\"name\":\"r{n}\",\"prefix\":\"/p{n}/\",\"timeout_ms\":{n}}},");
    (0..parts).map(part).collect()
}

/// Guards against a change in a large text that costs the whole of it.
#[test]
fn change_of_a_few_parts_takes_a_few_bytes() {
    let base = text(18_000);
    let mut target = base.clone();
    target.remove(100);
    target.insert(9_000, "something new".to_owned());
    target[15_000].push_str("changed");
    let (base, target) = (base.concat(), target.concat());
    assert!(target.len() > MAX_BYTES / 2);
    let difference = difference(base.as_bytes(), target.as_bytes());
    assert!(difference.len() < 4_096, "{}", difference.len());
    let applied = apply(base.as_bytes(), &difference, MAX_BYTES).unwrap();
    assert_eq!(applied, target.as_bytes());
}

/// Guards against new parts that are sent in full though they are nearly alike.
#[test]
fn new_parts_that_repeat_are_compressed() {
    let target = text(15_000).concat();
    let difference = difference(b"", target.as_bytes());
    assert!(difference.len() < target.len() / 5, "{}", difference.len());
}

/// Guards against a text that is taken over though it is longer than any that the store accepts.
#[test]
fn text_that_is_too_long_is_not_applied() {
    let target = vec![7; 10_000];
    let difference = difference(b"", &target);
    assert!(apply(b"", &difference, target.len()).is_ok());
    assert!(apply(b"", &difference, target.len() - 1).is_err());
}

proptest! {
    #[test]
    fn difference_gives_the_new_text(
        base in prop::collection::vec(0_u8..4, 0..5_000),
        inserted in prop::collection::vec(any::<u8>(), 0..500),
        at in any::<prop::sample::Index>(),
        removed in 0_usize..600,
    ) {
        let mut target = base.clone();
        let at = at.index(base.len() + 1);
        let end = (at + removed).min(target.len());
        target.splice(at..end, inserted);
        let difference = difference(&base, &target);
        prop_assert_eq!(apply(&base, &difference, MAX_BYTES).unwrap(), target.clone());
        let is_same = Pieces::of(&base).hash() == Pieces::of(&target).hash();
        prop_assert_eq!(is_same, base == target);
    }

    #[test]
    fn damaged_difference_never_panics(
        base in prop::collection::vec(any::<u8>(), 0..1_000),
        mut difference in prop::collection::vec(any::<u8>(), 0..1_000),
        other in prop::collection::vec(any::<u8>(), 0..1_000),
    ) {
        let _ = apply(&base, &difference, MAX_BYTES);
        difference = self::difference(&other, &base);
        let _ = apply(&base[..base.len() / 2], &difference, MAX_BYTES);
    }
}
