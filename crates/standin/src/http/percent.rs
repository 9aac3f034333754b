//! Percent-encoding in paths and queries.

/// Decodes `%XX`; invalid sequences are kept unchanged.
pub(super) fn decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = if byte == b'%' { hex_code(after) } else { None };
        decoded.push(code.unwrap_or(byte));
        rest = if code.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_code(digits: &[u8]) -> Option<u8> {
    let digits = digits.get(..2)?;
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let digits = str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
