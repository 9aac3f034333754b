//! Says what is wrong in a settings file without showing its secrets.

/// Names the line of an error and shows it; of a line that may hold a secret, only its key.
#[must_use]
pub fn toml_error_text(text: &str, error: &toml::de::Error) -> String {
    let message = error.message();
    let Some(span) = error.span() else {
        return message.into();
    };
    let before = text.get(..span.start).unwrap_or(text);
    let number = before.matches('\n').count();
    let line = text.lines().nth(number).unwrap_or_default();
    let may_be_secret = line.contains("token") || line.contains("key");
    let shown = if may_be_secret {
        line.split('=').next().unwrap_or_default().trim()
    } else {
        line
    };
    format!("line {}: {shown}: {message}", number + 1)
}
