//! Parsing and validation of the settings file.

use std::collections::HashMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

use crate::settings::{DeploymentKind, DeploymentSettings, Settings};

/// Minimum length of a decoded fleet key.
const MIN_KEY_BYTES: usize = 16;

/// An error in the settings file, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the setting, like `listen.peers`.
    pub path: String,
    /// What is wrong with the value.
    pub cause: String,
    /// How the operator corrects it.
    pub remedy: String,
}

impl SettingsError {
    fn new(path: impl Into<String>, cause: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            cause: cause.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.cause, self.remedy)
    }
}

impl std::error::Error for SettingsError {}

/// Decodes a base64 key; `None` if it is malformed or too short.
pub(crate) fn decode_key(text: &str) -> Option<Vec<u8>> {
    STANDARD
        .decode(text)
        .ok()
        .filter(|key| key.len() >= MIN_KEY_BYTES)
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// The first error of JSON syntax, key or type; otherwise every invalid value.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| vec![parse_error(&error)])?;
        deserializer.end().map_err(|error| {
            vec![SettingsError::new(
                "end of file",
                error.to_string(),
                "remove the text after the settings object",
            )]
        })?;
        let errors = settings.check();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn check(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        self.check_addresses(&mut errors);
        self.check_keys(&mut errors);
        self.check_deployments(&mut errors);
        self.check_ranges(&mut errors);
        errors
    }

    fn check_addresses(&self, errors: &mut Vec<SettingsError>) {
        let mut path_by_address = HashMap::new();
        let mut addresses = vec![
            ("listen.callers".to_owned(), self.listen.callers),
            ("listen.peers".to_owned(), self.listen.peers),
            ("listen.admin".to_owned(), self.listen.admin),
            ("store.address".to_owned(), self.store.address),
            ("host_list".to_owned(), self.host_list),
        ];
        addresses.extend(
            (0..)
                .zip(&self.peers)
                .map(|(index, peer): (usize, _)| (format!("peers[{index}]"), *peer)),
        );
        for (path, address) in addresses {
            if address.port() == 0 {
                errors.push(SettingsError::new(&path, "port 0", "set the port number"));
            }
            if let Some(first_path) = path_by_address.insert(address, path.clone()) {
                let cause = format!("{address} is also the value of {first_path}");
                errors.push(SettingsError::new(
                    path,
                    cause,
                    "use a different address for each",
                ));
            }
        }
    }

    fn check_keys(&self, errors: &mut Vec<SettingsError>) {
        if self.fleet_keys.is_empty() {
            let remedy = "add one, for example the output of \"openssl rand -base64 32\"";
            errors.push(SettingsError::new("fleet_keys", "no key", remedy));
        }
        for (index, key) in self.fleet_keys.iter().enumerate() {
            if decode_key(key).is_none() {
                let path = format!("fleet_keys[{index}]");
                let cause = "not base64 of at least 16 bytes";
                errors.push(SettingsError::new(
                    path,
                    cause,
                    "encode a key of at least 16 bytes in base64",
                ));
            }
        }
    }

    fn check_deployments(&self, errors: &mut Vec<SettingsError>) {
        let mut index_by_name = HashMap::new();
        for (index, deployment) in self.deployments.iter().enumerate() {
            let path = format!("deployments[{index}]");
            if let Some(first_index) = index_by_name.insert(&deployment.name, index) {
                let cause = format!(
                    "the name {} is also used by deployments[{first_index}]",
                    deployment.name
                );
                errors.push(SettingsError::new(
                    format!("{path}.name"),
                    cause,
                    "rename one of the two deployments",
                ));
            }
            check_deployment(deployment, &path, errors);
        }
    }

    fn check_ranges(&self, errors: &mut Vec<SettingsError>) {
        let bounds = &self.bounds;
        check_range(
            "store.timeout_ms",
            self.store.timeout_ms,
            10,
            10_000,
            errors,
        );
        check_range(
            "bounds.max_body_bytes",
            bounds.max_body_bytes,
            1_024,
            64 << 20,
            errors,
        );
        check_range(
            "bounds.max_header_bytes",
            bounds.max_header_bytes,
            8_192,
            1 << 20,
            errors,
        );
        check_range(
            "bounds.max_connections",
            bounds.max_connections,
            1,
            1_000_000,
            errors,
        );
        check_range(
            "bounds.read_timeout_ms",
            bounds.read_timeout_ms,
            100,
            600_000,
            errors,
        );
    }
}

fn check_deployment(deployment: &DeploymentSettings, path: &str, errors: &mut Vec<SettingsError>) {
    match deployment.kind {
        DeploymentKind::Engine if deployment.models.is_empty() => {
            let path = format!("{path}.models");
            errors.push(SettingsError::new(
                path,
                "no model",
                "list the models that the engines serve",
            ));
        }
        DeploymentKind::Service if !deployment.models.is_empty() => {
            let path = format!("{path}.models");
            errors.push(SettingsError::new(
                path,
                "a service has no models",
                "remove the key \"models\"",
            ));
        }
        DeploymentKind::Engine | DeploymentKind::Service => {}
    }
    for (index, entry) in deployment.repeatable.iter().enumerate() {
        if !is_method_and_path(entry) {
            let path = format!("{path}.repeatable[{index}]");
            let cause = format!("\"{entry}\" is not a method and a path");
            errors.push(SettingsError::new(
                path,
                cause,
                "write it like \"GET /visits\"",
            ));
        }
    }
    let path = format!("{path}.first_byte_timeout_ms");
    check_range(&path, deployment.first_byte_timeout_ms, 10, 600_000, errors);
}

fn is_method_and_path(entry: &str) -> bool {
    entry.split_once(' ').is_some_and(|(method, path)| {
        !method.is_empty()
            && method.bytes().all(|byte| byte.is_ascii_uppercase())
            && path.starts_with('/')
            && !path.contains(' ')
    })
}

fn check_range(path: &str, value: u64, min: u64, max: u64, errors: &mut Vec<SettingsError>) {
    if !(min..=max).contains(&value) {
        let remedy = format!("choose a value from {min} to {max}");
        errors.push(SettingsError::new(
            path,
            format!("{value} is out of range"),
            remedy,
        ));
    }
}

fn parse_error(error: &serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    let json_error = error.inner();
    let remedy = match json_error.classify() {
        serde_json::error::Category::Data => "see docs/operators.md for the keys and their units",
        _ => "correct the JSON syntax at this place",
    };
    SettingsError::new(error.path().to_string(), json_error.to_string(), remedy)
}
