//! Search for the holder of the planning duty through other instances.

use std::net::SocketAddr;

use comfreyweir_fleet::holder_search::HolderSearch;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 1))
}

/// Calls until the holder at `holder` answers. All others name it, if they are in `informed`.
/// Returns the number of calls, at most 100.
fn calls_until_found(
    search: &mut HolderSearch,
    known_holder: Option<SocketAddr>,
    holder: SocketAddr,
    informed: &[SocketAddr],
) -> usize {
    let others: Vec<_> = (2..9).map(addr).collect();
    for calls in 1..100 {
        let called = search.next(known_holder, &others).unwrap();
        if called == holder {
            search.record_found();
            return calls;
        }
        search.record_elsewhere(called, informed.contains(&called).then_some(holder));
    }
    100
}

/// The store turns this instance and the former holder away. The former holder answers that it has
/// resigned and knows no successor.
#[test]
fn successor_is_found_while_the_former_holder_knows_none() {
    let mut search = HolderSearch::default();
    let informed = [addr(4), addr(5)];
    let calls = calls_until_found(&mut search, Some(addr(2)), addr(5), &informed);
    assert!(calls <= 8, "{calls} calls");
}

#[test]
fn successor_is_found_by_an_instance_that_knows_no_holder() {
    let mut search = HolderSearch::default();
    let calls = calls_until_found(&mut search, None, addr(5), &[addr(6)]);
    assert!(calls <= 14, "{calls} calls");
}

/// Whatever happened before, a named holder is called next.
#[test]
fn named_holder_is_called_after_any_number_of_failures() {
    for failures in 0..6 {
        let mut search = HolderSearch::default();
        for _ in 0..failures {
            search.record_failure();
        }
        let called = search.next(Some(addr(2)), &[addr(2), addr(3)]).unwrap();
        assert!(search.record_elsewhere(called, Some(addr(7))));
        assert_eq!(search.next(Some(addr(2)), &[addr(2)]), Some(addr(7)));
    }
}

#[test]
fn known_holder_is_called_first_again_once_it_has_answered() {
    let mut search = HolderSearch::default();
    search.record_failure();
    assert_eq!(search.next(Some(addr(2)), &[addr(3)]), Some(addr(3)));
    search.record_found();
    assert_eq!(search.next(Some(addr(2)), &[addr(3)]), Some(addr(2)));
}

/// Two instances that each take the other for the holder must not send an instance in circles.
#[test]
fn instance_that_names_itself_is_not_believed() {
    let mut search = HolderSearch::default();
    assert!(!search.record_elsewhere(addr(2), Some(addr(2))));
    assert_eq!(search.next(Some(addr(2)), &[addr(3)]), Some(addr(3)));
}
