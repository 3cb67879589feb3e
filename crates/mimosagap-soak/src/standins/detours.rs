//! Links of their own from some gateways to all targets, so that these gateways alone can be cut off
//! from the targets.
//!
//! The gateways read the store through a listener that replaces the address of each target by that
//! of its detour.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mimosagap_standins::proxy::{LinkMode, LinkProxy};
use serde_json::Value;

/// Prefix of the keys under which targets register.
const TARGETS_PREFIX: &str = "servers/";

/// The detours of a run, by the address that the target registered.
#[derive(Default)]
pub struct TargetDetours {
    is_used: Cell<bool>,
    mode: Cell<Option<LinkMode>>,
    links: RefCell<HashMap<SocketAddr, LinkProxy>>,
}

impl std::fmt::Debug for TargetDetours {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetDetours")
            .field("mode", &self.mode)
            .finish_non_exhaustive()
    }
}

impl TargetDetours {
    /// Adds a detour to each target from now on.
    pub fn enable(&self) {
        self.is_used.set(true);
    }

    /// Adds the detour to a target that is about to register.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn add(&self, target: SocketAddr) -> std::io::Result<()> {
        if self.is_used.get() {
            let link = LinkProxy::start(target).await?;
            if let Some(mode) = self.mode.get() {
                link.set_mode(mode, Duration::ZERO);
            }
            self.links.borrow_mut().insert(target, link);
        }
        Ok(())
    }

    /// Changes the mode of all detours; `None` lets all data pass.
    pub fn set_mode(&self, mode: Option<LinkMode>) {
        self.mode.set(mode);
        for link in self.links.borrow().values() {
            link.set_mode(mode.unwrap_or(LinkMode::Pass), Duration::ZERO);
        }
    }

    /// Replaces the addresses of targets in a response of the store.
    pub fn rewrite(&self, response: &mut Value) {
        for list in ["items", "events"] {
            let items = response.get_mut(list).and_then(Value::as_array_mut);
            for item in items.into_iter().flatten() {
                self.rewrite_item(item);
            }
        }
        self.rewrite_item(response);
    }

    fn rewrite_item(&self, item: &mut Value) {
        let is_target = item["key"]
            .as_str()
            .is_some_and(|key| key.starts_with(TARGETS_PREFIX));
        if let Some(value) = item["value"].as_str().filter(|_| is_target)
            && let Some(value) = self.rewrite_entry(value)
        {
            item["value"] = Value::String(value);
        }
    }

    fn rewrite_entry(&self, value: &str) -> Option<String> {
        let mut entry: Value = serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
        let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
        let detour = self.links.borrow().get(&address)?.address();
        entry["address"] = Value::String(detour.to_string());
        Some(STANDARD.encode(entry.to_string()))
    }
}
