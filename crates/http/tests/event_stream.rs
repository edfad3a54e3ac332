//! Positions in event streams, for each kind of line end and wherever the stream is cut into chunks.

use comfreyweir_http::event_stream::EventPosition;

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
