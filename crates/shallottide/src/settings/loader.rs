//! Reads and checks a settings file.

use std::path::{Path, PathBuf};

use super::{Limits, NodeSettings, toml_error_text};

/// Least length of `peer_key` in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Longest node id in bytes; ids of calls add two numbers to it.
const MAX_NODE_BYTES: usize = 64;

/// Least `limits.header_size` in bytes, which the HTTP library needs.
const MIN_HEADER_BYTES: u64 = 8 << 10;

/// Why settings were refused. Every message names the file and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {path}: can't be read ({source}): check the path and its permissions")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no valid TOML, or a key is missing, unknown or of the wrong form.
    #[error(
        "settings {path}: {message}\nremedy: correct this line; docs/OPERATING.md lists all keys"
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The place and what is wrong with it.
        message: String,
    },
    /// A value is outside its range.
    #[error("settings {path}: key {key:?} has value {value}: {remedy}")]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value found.
        value: String,
        /// What to write.
        remedy: &'static str,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`SettingsError`] naming the file, the key, the value and the remedy.
pub fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.into(),
        source,
    })?;
    let settings = toml::from_str(&text).map_err(|e| SettingsError::Malformed {
        path: path.into(),
        message: toml_error_text(&text, &e),
    })?;
    check(path, &settings)?;
    Ok(settings)
}

/// A key, the value found, and what to write.
type Fault = (&'static str, String, &'static str);

fn check(path: &Path, settings: &NodeSettings) -> Result<(), SettingsError> {
    let fault = fault_of_node(settings).or_else(|| fault_of_limits(&settings.limits));
    let Some((key, value, remedy)) = fault else {
        return Ok(());
    };
    Err(SettingsError::OutOfRange {
        path: path.into(),
        key,
        value,
        remedy,
    })
}

fn fault_of_node(settings: &NodeSettings) -> Option<Fault> {
    if settings.node.as_str().len() > MAX_NODE_BYTES {
        let value = settings.node.to_string();
        return Some(("node", value, "use at most 64 characters"));
    }
    if settings.platform.is_empty() {
        return Some(("platform", "[]".into(), "name at least one base address"));
    }
    let lacks_scheme = |base: &&String| !base.starts_with("http://");
    if let Some(base) = settings.platform.iter().find(lacks_scheme) {
        let remedy = "begin with http:// and an IP number";
        return Some(("platform", format!("{base:?}"), remedy));
    }
    if settings.peer_key.expose().len() < MIN_PEER_KEY_BYTES {
        let value = format!("of {} bytes", settings.peer_key.expose().len());
        return Some(("peer_key", value, "use at least 16 random characters"));
    }
    if settings.operator_tokens.is_empty() {
        let remedy = "add one hash, made by `shallottide hash-key`";
        return Some(("operator_tokens", "[]".into(), remedy));
    }
    None
}

fn fault_of_limits(limits: &Limits) -> Option<Fault> {
    if limits.header_size.0 < MIN_HEADER_BYTES {
        let value = limits.header_size.to_string();
        return Some(("limits.header_size", value, "write at least 8KiB"));
    }
    if limits.connections == 0 {
        return Some(("limits.connections", "0".into(), "write at least 1"));
    }
    if limits.calls == 0 {
        return Some(("limits.calls", "0".into(), "write at least 1"));
    }
    None
}
