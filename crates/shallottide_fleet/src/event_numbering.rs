//! Checks whether events continue a stream that another upstream began.

use shallottide_types::event_stream::{Field, fields, ids, split_events};

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
        for id in ids(events) {
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
        for event in split_events(events) {
            let mut fields = fields(event);
            if fields.clone().next().is_none() {
                continue;
            }
            let mut ids = ids(event);
            let (Some(id), None) = (ids.next(), ids.next()) else {
                return false;
            };
            if !fields.all(is_sound) || !self.may_follow(last, id) {
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

/// Returns whether a field may be of an event, other than one that makes the event an error.
fn is_sound(field: Field<'_>) -> bool {
    let name = field.name;
    let is_name = name.iter().all(|b| b.is_ascii_lowercase() || *b == b'-');
    let is_error = name == b"event" && field.value.trim_ascii() == b"error";
    is_name && (field.has_colon || field.is_defined()) && !is_error
}
