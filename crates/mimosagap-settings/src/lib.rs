//! Checked JSON settings of a daemon.
//!
//! [`Settings::parse`] refuses a file with an unknown key, a value out of range or an address
//! used twice, and names the path, the cause and the remedy. Settings say where a daemon runs and
//! what its surroundings are; how it behaves is said by the rules file alone.
#![deny(unsafe_code, missing_docs)]

mod check;
mod settings;

pub use check::SettingsError;
pub use settings::{
    DeploymentKind, DeploymentSettings, ListenSettings, LocationSettings, RequestBounds, Settings,
    StoreSettings,
};
