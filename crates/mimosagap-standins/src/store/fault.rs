//! Fault injection of the store.

use std::time::Duration;

use serde::Deserialize;

use super::wire;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FaultKind {
    #[default]
    None,
    /// Closes the connection without executing the call.
    Down,
    /// Delays the execution of the call.
    Slow,
    /// Executes the call and closes the connection without a response.
    LoseAnswers,
}

/// Body of `POST /control/fault`, and the state of the fault that is active.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Fault {
    pub(super) kind: FaultKind,
    #[serde(default)]
    delay_ms: u64,
    /// Number of calls that the fault still affects. `None` means all until the fault is replaced.
    #[serde(default)]
    count: Option<u64>,
    /// Affects only calls that name a key with this prefix. `None` affects all calls.
    #[serde(default)]
    key_prefix: Option<String>,
    /// Number of calls affected so far.
    #[serde(skip)]
    hits: u64,
}

/// Effect of the fault on one call.
#[derive(Debug, Clone, Copy)]
pub(super) enum FaultAction {
    None,
    Refuse,
    Delay(Duration),
    DropResponse,
}

impl Fault {
    /// Whether the store is down for all keys, which also closes the open watches.
    pub(super) fn is_down(&self) -> bool {
        self.kind == FaultKind::Down && self.key_prefix.is_none()
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits
    }

    /// Returns the effect on a call before its execution, and counts the call if it is affected.
    pub(super) fn on_request(&mut self, body: &[u8]) -> FaultAction {
        let action = match self.kind {
            FaultKind::None | FaultKind::LoseAnswers => FaultAction::None,
            FaultKind::Down => FaultAction::Refuse,
            FaultKind::Slow => FaultAction::Delay(Duration::from_millis(self.delay_ms)),
        };
        self.apply_to_call(action, body)
    }

    /// Returns the effect on the response of a call that changed the store, and counts the call if
    /// it is affected. Calls without effect, such as a transaction whose compares failed, keep
    /// their response, so this must not be called for them.
    pub(super) fn on_response(&mut self, body: &[u8]) -> FaultAction {
        let action = match self.kind {
            FaultKind::LoseAnswers => FaultAction::DropResponse,
            FaultKind::None | FaultKind::Down | FaultKind::Slow => FaultAction::None,
        };
        self.apply_to_call(action, body)
    }

    fn apply_to_call(&mut self, action: FaultAction, body: &[u8]) -> FaultAction {
        if matches!(action, FaultAction::None) {
            return action;
        }
        if let Some(prefix) = &self.key_prefix
            && !wire::names_key_with_prefix(body, prefix.as_bytes())
        {
            return FaultAction::None;
        }
        self.hits += 1;
        if let Some(count) = &mut self.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                *self = Self {
                    hits: self.hits,
                    ..Self::default()
                };
            }
        }
        action
    }
}
