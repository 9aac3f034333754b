//! Which events may continue a stream at another upstream.

use shallottide_fleet::event_numbering::EventNumbering;
use shallottide_types::cases;

/// Guards against bytes that are no events of a stream, or not its next ones, and are passed on when
/// another upstream resumes it; and against sound events that are not.
fn events_continue_a_stream(earlier: &[&str], events: &str, expected: bool) {
    let mut numbering = EventNumbering::default();
    let mut last = None;
    for event in earlier {
        numbering.record(last, event.as_bytes());
        let id = event.lines().find_map(|line| line.strip_prefix("id: "));
        last = id.map(|id| id.parse().expect("a number"));
    }
    let last = last.expect("an earlier event");
    assert_eq!(numbering.continues(last, events.as_bytes()), expected);
}

const ONE: &[&str] = &["id: 1\ndata: a\n\n"];
const TWO: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const WITH_GAPS: &[&str] = &["id: 1\ndata: a\n\n", "id: 6\ndata: b\n\n"];
const LAST: &[&str] = &["id: 18446744073709551615\ndata: a\n\n"];

cases! {
    events_continue_a_stream;
    next_event: TWO, "id: 3\ndata: c\n\n", true;
    next_events: TWO, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n", true;
    next_event_with_all_fields: TWO, "weight-versions: 4\nid: 3\nevent: piece\nretry: 10\ndata: c\ndata: d\n\n", true;
    next_event_between_comments: TWO, ": one\n\n\nid: 3\n: two\ndata: c\n\n: three\n\n", true;
    next_event_without_a_space: TWO, "id:3\ndata:c\n\n", true;
    event_after_a_gap: TWO, "id: 4\ndata: d\n\n", false;
    second_event_after_a_gap: TWO, "id: 3\ndata: c\n\nid: 5\ndata: d\n\n", false;
    event_after_a_gap_in_a_stream_with_gaps: WITH_GAPS, "id: 11\ndata: c\n\n", true;
    event_after_a_gap_in_a_stream_of_one_event: ONE, "id: 6\ndata: c\n\n", true;
    repeated_event: TWO, "id: 2\ndata: b\n\n", false;
    repeated_event_in_a_stream_with_gaps: WITH_GAPS, "id: 6\ndata: b\n\n", false;
    event_that_comes_twice: TWO, "id: 3\ndata: c\n\nid: 3\ndata: c\n\n", false;
    event_with_two_ids: TWO, "id: 3\nid: 4\ndata: c\n\n", false;
    event_without_an_id: TWO, "data: c\n\n", false;
    event_without_an_id_after_a_sound_one: TWO, "id: 3\ndata: c\n\ndata: failed\n\n", false;
    event_whose_id_is_no_number: TWO, "id: last\ndata: c\n\n", false;
    event_after_the_highest_id: LAST, "id: 0\ndata: b\n\n", false;
    error_event: TWO, "id: 3\nevent: error\ndata: failed\n\n", false;
    head_of_a_response: TWO, "HTTP/1.1 500 Failed\r\nid: 3\r\n\r\nfailed\n\n", false;
    head_of_a_response_before_an_event: TWO, "HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: c\n\n", false;
    text: TWO, "id: 3\nfailed\n\n", false;
    json: TWO, "{\"id\": 3}\n\n", false;
}
