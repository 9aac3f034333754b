//! Describes an error in a settings file without revealing its secrets.

/// Returns the number and text of the line with the error and what is wrong with it; for a line
/// that may hold a secret, the text is only its key.
#[must_use]
pub fn toml_error_text(text: &str, error: &toml::de::Error) -> String {
    let message = error.message();
    let Some(span) = error.span() else {
        return message.into();
    };
    let before = text.get(..span.start).unwrap_or(text);
    let line_index = before.matches('\n').count();
    let line = text.lines().nth(line_index).unwrap_or_default();
    let may_be_secret = line.contains("token") || line.contains("key");
    let shown = if may_be_secret {
        line.split('=').next().unwrap_or_default().trim()
    } else {
        line
    };
    format!("line {}: {shown}: {message}", line_index + 1)
}
