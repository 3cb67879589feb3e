//! Faults of the store.

use std::time::Duration;

use serde::Deserialize;

use super::wire;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FaultKind {
    #[default]
    None,
    Down,
    Slow,
    LoseAnswers,
}

/// The body of `POST /control/fault`.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Fault {
    pub(super) kind: FaultKind,
    #[serde(default)]
    delay_ms: u64,
    /// How many calls are hit; absent: until the fault is changed.
    #[serde(default)]
    count: Option<u64>,
    /// Hits only calls that name a key with this prefix; absent: all calls.
    #[serde(default)]
    key_prefix: Option<String>,
    /// How many calls were hit.
    #[serde(skip)]
    hits: u64,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
pub(super) enum FaultAction {
    None,
    Refuse,
    Delay(Duration),
    LoseAnswer,
}

impl Fault {
    pub(super) fn is_down(&self) -> bool {
        self.kind == FaultKind::Down && self.key_prefix.is_none()
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits
    }

    /// What happens to a call before it is carried out; counts it if it is hit.
    pub(super) fn before(&mut self, body: &[u8]) -> FaultAction {
        let action = match self.kind {
            FaultKind::None | FaultKind::LoseAnswers => FaultAction::None,
            FaultKind::Down => FaultAction::Refuse,
            FaultKind::Slow => FaultAction::Delay(Duration::from_millis(self.delay_ms)),
        };
        self.hit(action, body)
    }

    /// What happens to the answer of a call that took effect; counts it if it is hit. A call
    /// without effect, such as a transaction whose compares failed, keeps its answer.
    pub(super) fn after(&mut self, body: &[u8]) -> FaultAction {
        let action = match self.kind {
            FaultKind::LoseAnswers => FaultAction::LoseAnswer,
            FaultKind::None | FaultKind::Down | FaultKind::Slow => FaultAction::None,
        };
        self.hit(action, body)
    }

    fn hit(&mut self, action: FaultAction, body: &[u8]) -> FaultAction {
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
