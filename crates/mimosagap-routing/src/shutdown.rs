//! Decides which requests a host still accepts while it shuts down.
//!
//! Callers keep their connections for seconds after a host was asked to stop, and use them until the
//! process exits. The process exits some time before the platform would kill it, and a request that
//! is in flight then is lost, although another host could have served it. So a request is accepted
//! only if its deadline passes before the exit, or if it is a generation whose token limit keeps it
//! short. The length that is expected decides nothing: generations often turn out several times
//! longer, and a healthy target may be silent for a second.

use std::time::Duration;

/// Part of the grace period reserved for the last log lines and the exit, before the process is
/// killed.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// Time from the deadline of a request until its response is written, also if another host sends the
/// request to a target.
const RESPONSE_TIME: Duration = Duration::from_millis(250);

/// Time that a healthy target may be silent.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// How many times slower than on average a loaded engine reads a prompt and generates tokens.
const LOADED_ENGINE_FACTOR: u32 = 2;

/// Time in microseconds in which an idle engine reads one prompt token.
const PREFILL_MICROS_PER_TOKEN: u64 = 140;

/// Longest time that an engine takes for a generation with a token limit. `token_time` is the
/// average time per output token. A `max_tokens` of 0 means no limit, and `None` is returned.
#[must_use]
pub fn longest_generation(
    prompt_tokens: u32,
    max_tokens: u32,
    token_time: Duration,
) -> Option<Duration> {
    let prefill_time = Duration::from_micros(u64::from(prompt_tokens) * PREFILL_MICROS_PER_TOKEN);
    let average_time = prefill_time + token_time * max_tokens;
    (max_tokens > 0).then(|| MAX_SILENCE + average_time * LOADED_ENGINE_FACTOR)
}

/// The time from the moment in which a process was asked to stop until it exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownWindow {
    exits_at: Duration,
}

impl ShutdownWindow {
    /// Creates the window of a process that was asked to stop at `stopping_since` and is killed
    /// after `grace_period`.
    #[must_use]
    pub fn new(stopping_since: Duration, grace_period: Duration) -> Self {
        Self {
            exits_at: stopping_since + grace_period.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether the process exits now, even if requests are in flight.
    #[must_use]
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.exits_at
    }

    /// Whether a request that takes this long at most is answered before the process exits.
    #[must_use]
    pub fn can_complete(&self, longest_time: Duration, now: Duration) -> bool {
        now + longest_time + RESPONSE_TIME <= self.exits_at
    }
}
