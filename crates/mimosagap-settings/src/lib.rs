//! JSON settings of a daemon, with their validation.
//!
//! [`Settings::parse`] refuses a file with an unknown key, a value out of range or a duplicate
//! address. Its errors name the path, the cause and the remedy. The settings describe where a
//! daemon runs and what it connects to; its routing behaviour is set by the rules file alone.
#![deny(unsafe_code, missing_docs)]

mod check;
mod settings;

pub use check::SettingsError;
pub use settings::{
    DeploymentKind, DeploymentSettings, ListenSettings, LocationSettings, RequestBounds, Settings,
    StoreSettings,
};
