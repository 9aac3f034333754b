//! Settings and platform access shared by commands that read or write records.

use shallottide::operate::{
    Change, ChangeWriter, Outcome, SystemPause, records_in_force, stored_records,
};
use shallottide::platform_client::ConsulPlatform;
use shallottide::view::ConfigView;
use shallottide_types::clock::{Clock, SystemClock};
use shallottide_types::id::{ChangeId, DomainId};
use shallottide_types::platform::PlatformError;
use shallottide_types::record::RecordKind;

use crate::args::Args;
use crate::failure::Failure;
use crate::settings::Settings;

/// The settings and the platform client.
pub(crate) struct Session {
    pub(crate) settings: Settings,
    pub(crate) platform: ConsulPlatform,
}

impl Session {
    /// Reads the settings file and creates the platform client.
    pub(crate) fn open(args: &Args) -> Result<Self, Failure> {
        let settings = Settings::read(args.settings.as_deref())?;
        let platform = settings.platform()?;
        Ok(Self { settings, platform })
    }

    /// Creates a change with the given id, to complete an earlier change, or with a new id.
    pub(crate) fn change(&self, id: Option<&ChangeId>) -> Result<Change, Failure> {
        let id = id.cloned().unwrap_or_else(new_change_id);
        Ok(Change::new(id, self.settings.operator()?))
    }

    /// Calls `write` with a writer for the platform.
    pub(crate) fn write(
        &self,
        write: impl FnOnce(&ChangeWriter<'_>) -> Result<Outcome, PlatformError>,
    ) -> Result<Outcome, PlatformError> {
        let options = self.settings.write_options();
        write(&ChangeWriter::new(
            &self.platform,
            &SystemClock,
            &SystemPause,
            options,
        ))
    }

    /// Reads all stored records, leaving out those that can't be decoded.
    pub(crate) fn records(&self) -> Result<ConfigView, PlatformError> {
        Ok(records_in_force(&stored_records(&self.platform, None)?))
    }

    /// Returns the failure domains that have a record, or none if the platform can't be read.
    pub(crate) fn domains(&self) -> Vec<DomainId> {
        let stored = stored_records(&self.platform, Some(RecordKind::Domain));
        let view = records_in_force(&stored.unwrap_or_default());
        view.domains.into_keys().collect()
    }
}

fn new_change_id() -> ChangeId {
    let time = SystemClock.unix_time().as_millis();
    let id = format!("c-{time:x}-{:08x}", rand::random::<u32>());
    id.parse().expect("hex digits and dashes are allowed")
}
