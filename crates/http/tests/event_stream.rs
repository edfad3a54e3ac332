//! Positions in event streams, for each kind of line end and wherever the stream is cut into chunks.

use comfreyweir_http::event_stream::{EventPosition, EventSplitter};
use proptest::prelude::*;

fn unfinished_bytes(chunks: &[&str]) -> u64 {
    let mut position = EventPosition::default();
    for chunk in chunks {
        position.advance(chunk.as_bytes());
    }
    position.unfinished_bytes()
}

#[test]
fn blank_line_ends_an_event_with_any_line_end() {
    for stream in [
        "",
        "\n",
        "data: a\n\n",
        "data: a\r\n\r\n",
        "data: a\r\r",
        "data: a\n\r\n",
        "data: a\r\n\n",
        "id: 1\ndata: a\n\n\n",
        ": comment\n\nid: 1\ndata: a\n\n",
    ] {
        assert_eq!(unfinished_bytes(&[stream]), 0, "{stream:?}");
        for cut in 0..stream.len() {
            let (first, second) = stream.split_at(cut);
            assert_eq!(unfinished_bytes(&[first, second]), 0, "{stream:?}, {cut}");
        }
    }
}

#[test]
fn bytes_after_the_last_event_are_counted() {
    for (stream, expected) in [
        ("d", 1),
        ("data: a\n", 8),
        ("data: a\r\n", 9),
        ("data: a\n\nid: 2", 5),
        ("data: a\r\n\r\nid: 2\r\n", 7),
    ] {
        assert_eq!(unfinished_bytes(&[stream]), expected, "{stream:?}");
        for cut in 0..stream.len() {
            let (first, second) = stream.split_at(cut);
            assert_eq!(
                unfinished_bytes(&[first, second]),
                expected,
                "{stream:?}, {cut}"
            );
        }
    }
}

proptest! {
    /// However a stream is cut into chunks, only whole events are returned, and none is lost.
    #[test]
    fn events_are_split_at_their_ends(
        cuts in prop::collection::vec(1_usize..40, 1..40),
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let event = |i| format!("id: {i}{line_end}data: tok{i}{line_end}{line_end}");
        let stream: String = (0..12).map(event).collect();
        let mut splitter = EventSplitter::after(None);
        let mut rest = stream.as_bytes();
        let mut out = Vec::new();
        for cut in cuts {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            rest = remaining;
            out.extend_from_slice(&splitter.push(chunk));
            let lines = String::from_utf8_lossy(&out).replace("\r\n", "\n").replace('\r', "\n");
            prop_assert!(lines.is_empty() || lines.ends_with("\n\n"));
            let complete = lines.matches("\n\n").count();
            let last = complete.checked_sub(1).map(|n| n as u64);
            prop_assert_eq!(splitter.last_id(), last);
        }
        out.extend_from_slice(&splitter.push(rest));
        prop_assert_eq!(out, stream.as_bytes());
    }
}
