//! Lines and events of `text/event-stream`, as the HTML standard defines them: lines end with CRLF, LF or CR,
//! also mixed within a stream.

/// The byte order mark with which a stream may begin.
pub const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// What the last byte that was scanned has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Boundary {
    /// Nothing, or a line that is not blank.
    None,
    /// An event: the byte ends a blank line after at least one field.
    Event,
    /// Comments or blank lines without a field.
    Comments,
    /// The same as the byte before: it is the LF of a CRLF whose CR ended an event or comments.
    Same,
}

/// Finds the ends of events in a stream, byte by byte.
///
/// A CR ends its line at once, so that an event is complete before the stream goes on.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventScanner {
    /// Length of the byte order mark's part that has been scanned; its full length behind the stream's start.
    mark: usize,
    /// Whether the current line has a byte.
    has_line: bool,
    /// Whether a line since the last blank one is neither blank nor a comment.
    has_field: bool,
    /// Whether the last byte was a CR, and whether its line was blank.
    after_cr: Option<bool>,
}

impl EventScanner {
    /// Scans the next byte.
    pub fn scan(&mut self, byte: u8) -> Boundary {
        if BYTE_ORDER_MARK.get(self.mark) == Some(&byte) {
            self.mark += 1;
            return Boundary::None;
        }
        // What looked like the start of a mark is the start of a field's name.
        if self.mark > 0 && self.mark < BYTE_ORDER_MARK.len() {
            self.has_line = true;
            self.has_field = true;
        }
        self.mark = BYTE_ORDER_MARK.len();
        if let Some(was_blank) = self.after_cr.take()
            && byte == b'\n'
        {
            return if was_blank {
                Boundary::Same
            } else {
                Boundary::None
            };
        }
        if !matches!(byte, b'\r' | b'\n') {
            self.has_field |= !self.has_line && byte != b':';
            self.has_line = true;
            return Boundary::None;
        }
        let is_blank = !std::mem::take(&mut self.has_line);
        self.after_cr = (byte == b'\r').then_some(is_blank);
        if !is_blank {
            return Boundary::None;
        }
        if std::mem::take(&mut self.has_field) {
            Boundary::Event
        } else {
            Boundary::Comments
        }
    }
}

/// Returns the lines of events, without their ends.
///
/// The LF of a CRLF that begins the bytes, after its CR, counts as a blank line.
pub fn lines(events: &[u8]) -> impl Iterator<Item = &[u8]> + Clone {
    let mut rest = events;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let is_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let length = rest.iter().position(is_end).unwrap_or(rest.len());
        let (line, end) = rest.split_at(length);
        let end_length = match end {
            [b'\r', b'\n', ..] => 2,
            [] => 0,
            _ => 1,
        };
        rest = &end[end_length..];
        Some(line)
    })
}

/// A field of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field<'a> {
    /// Its name.
    pub name: &'a [u8],
    /// Its value, without the space that may follow the colon; empty if there is no colon.
    pub value: &'a [u8],
    /// Whether a colon stands between them.
    pub has_colon: bool,
}

impl<'a> Field<'a> {
    /// Parses a line; `None` if it is blank or a comment.
    #[must_use]
    pub fn parse(line: &'a [u8]) -> Option<Self> {
        let colon = line.iter().position(|&b| b == b':');
        let (name, value) = match colon {
            None => (line, &line[line.len()..]),
            Some(colon) => (&line[..colon], &line[colon + 1..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let has_colon = colon.is_some();
        (!name.is_empty()).then_some(Self {
            name,
            value,
            has_colon,
        })
    }

    /// Returns whether the definition of event streams names the field.
    #[must_use]
    pub fn is_defined(&self) -> bool {
        matches!(self.name, b"data" | b"event" | b"id" | b"retry")
    }

    /// Returns the event id, if this is one and a number.
    #[must_use]
    pub fn id(&self) -> Option<u64> {
        if self.name != b"id" {
            return None;
        }
        std::str::from_utf8(self.value).ok()?.trim().parse().ok()
    }
}

/// Returns the fields of events.
pub fn fields(events: &[u8]) -> impl Iterator<Item = Field<'_>> + Clone {
    lines(events).filter_map(Field::parse)
}

/// Returns the ids of events that are numbers, in order.
pub fn ids(events: &[u8]) -> impl Iterator<Item = u64> + '_ {
    fields(events).filter_map(|field| field.id())
}

/// Splits complete events, with their blank lines.
pub fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let mut scanner = EventScanner::default();
        let is_end =
            |byte: &u8| matches!(scanner.scan(*byte), Boundary::Event | Boundary::Comments);
        let end = rest.iter().position(is_end).map_or(rest.len(), |at| at + 1);
        let is_crlf = rest[..end].ends_with(b"\r") && rest.get(end) == Some(&b'\n');
        let (event, left) = rest.split_at(end + usize::from(is_crlf));
        rest = left;
        Some(event)
    })
}
