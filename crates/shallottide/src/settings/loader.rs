//! Reads and validates the settings file.

use std::path::{Path, PathBuf};

use super::{Limits, NodeSettings, toml_error_text};

/// Smallest length of `peer_key` in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Largest length of a node id in bytes; ids of calls append two numbers to it.
const MAX_NODE_BYTES: usize = 64;

/// Smallest `limits.header_size` in bytes that the HTTP library supports.
const MIN_HEADER_BYTES: u64 = 8 << 10;

/// Why settings were rejected. Every message names the file and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {path}: can't be read ({source}): check the path and its permissions")]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is missing, unknown or of the wrong type.
    #[error(
        "settings {path}: {message}\nremedy: correct this line; docs/OPERATING.md lists all keys"
    )]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Line of the error and what is wrong there.
        message: String,
    },
    /// A value is outside its range.
    #[error("settings {path}: key {key:?} has value {value}: {remedy}")]
    OutOfRange {
        /// Path of the settings file.
        path: PathBuf,
        /// Key of the setting, with its table.
        key: &'static str,
        /// Value found in the file.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

/// Reads and validates the settings file at `path`.
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
    validate(path, &settings)?;
    Ok(settings)
}

/// Key of an invalid setting, the value found, and what to write instead.
type InvalidSetting = (&'static str, String, &'static str);

fn validate(path: &Path, settings: &NodeSettings) -> Result<(), SettingsError> {
    let invalid =
        find_invalid_node_setting(settings).or_else(|| find_invalid_limit(&settings.limits));
    let Some((key, value, remedy)) = invalid else {
        return Ok(());
    };
    Err(SettingsError::OutOfRange {
        path: path.into(),
        key,
        value,
        remedy,
    })
}

fn find_invalid_node_setting(settings: &NodeSettings) -> Option<InvalidSetting> {
    if settings.node.as_str().len() > MAX_NODE_BYTES {
        let value = settings.node.to_string();
        return Some(("node", value, "use at most 64 characters"));
    }
    if settings.platform.is_empty() {
        return Some(("platform", "[]".into(), "name at least one base address"));
    }
    let lacks_scheme = |base: &&String| !base.starts_with("http://");
    if let Some(base) = settings.platform.iter().find(lacks_scheme) {
        let remedy = "begin with http:// and an IP address";
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

fn find_invalid_limit(limits: &Limits) -> Option<InvalidSetting> {
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
