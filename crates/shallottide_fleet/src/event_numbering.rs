//! Checks whether events continue a stream that another upstream began.

use crate::event_stream::ids_of;

/// Events whose ids must be consecutive before a gap in them counts as a missing event.
const MIN_NUMBERED_EVENTS: u32 = 2;

/// How the events of a stream are numbered.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventNumbering {
    /// Number of events with an id.
    events: u32,
    /// Whether any id was not the one after its predecessor's.
    has_gaps: bool,
}

impl EventNumbering {
    /// Records complete events that follow the event with id `last`.
    pub fn record(&mut self, mut last: Option<u64>, events: &[u8]) {
        for id in ids_of(events) {
            self.has_gaps |= last.is_some_and(|last| last.checked_add(1) != Some(id));
            self.events = self.events.saturating_add(1);
            last = Some(id);
        }
    }

    /// Returns whether complete events may follow the event with id `last`.
    ///
    /// Each event needs an id and consists of fields; errors and bytes that are no events do not.
    #[must_use]
    pub fn continues(self, mut last: u64, events: &[u8]) -> bool {
        for event in blocks(events) {
            let mut lines = event
                .split(|&b| b == b'\n')
                .filter(|line| is_no_comment(line));
            if lines.clone().next().is_none() {
                continue;
            }
            let mut ids = ids_of(event);
            let (Some(id), None) = (ids.next(), ids.next()) else {
                return false;
            };
            if !lines.all(is_field) || !self.may_follow(last, id) {
                return false;
            }
            last = id;
        }
        true
    }

    fn may_follow(self, last: u64, id: u64) -> bool {
        let is_consecutive = !self.has_gaps && self.events >= MIN_NUMBERED_EVENTS;
        id > last && (!is_consecutive || id - last == 1)
    }
}

/// Splits complete events at the empty lines between them.
fn blocks(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let end = rest.windows(2).position(|bytes| bytes == b"\n\n");
        let (block, left) = rest.split_at(end.map_or(rest.len(), |end| end + 2));
        rest = left;
        Some(block)
    })
}

fn is_no_comment(line: &[u8]) -> bool {
    !line.is_empty() && line[0] != b':'
}

/// Returns whether a line is a field of an event, other than one that makes the event an error.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|&b| b == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_name = name.iter().all(|b| b.is_ascii_lowercase() || *b == b'-');
    is_name && (name != b"event" || value.trim_ascii() != b"error")
}
