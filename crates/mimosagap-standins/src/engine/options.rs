//! Command-line options of the engine.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::engine::EngineError;
use crate::engine::batch::BatchOptions;

/// Whether commands with a missing or stale fencing number are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FencingMode {
    Check,
    Ignore,
}

impl FromStr for FencingMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "check" => Ok(Self::Check),
            "ignore" => Ok(Self::Ignore),
            _ => Err(format!("\"{text}\" is neither check nor ignore")),
        }
    }
}

/// Simulated duration of a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepCost {
    pub(crate) base: Duration,
    /// For each stream that generates a token in the step.
    pub(crate) per_stream: Duration,
    pub(crate) per_prefill_token: Duration,
}

impl StepCost {
    pub(crate) fn step_duration(&self, streams: u32, prefill_tokens: u32) -> Duration {
        self.base + self.per_stream * streams + self.per_prefill_token * prefill_tokens
    }
}

#[derive(Debug)]
pub(crate) struct EngineOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) models: Vec<String>,
    pub(crate) batch: BatchOptions,
    pub(crate) step_cost: StepCost,
    pub(crate) fencing: FencingMode,
    pub(crate) seed: u64,
    /// Time without readers after which a running generation is cancelled.
    pub(crate) unread_timeout: Duration,
    /// Time for which an ended generation can still be read.
    pub(crate) ended_retention: Duration,
    /// Initial delay of cache events.
    pub(crate) cache_lag: Duration,
}

impl EngineOptions {
    pub(crate) fn parse(mut arguments: pico_args::Arguments) -> Result<Self, EngineError> {
        let options = Self {
            listen: arguments.value_from_str("--listen")?,
            models: arguments.values_from_str("--model")?,
            batch: BatchOptions {
                memory_tokens: option_or(&mut arguments, "--memory-tokens", 100_000)?,
                max_streams: option_or(&mut arguments, "--max-streams", 256)?,
                prefill_chunk: option_or(&mut arguments, "--prefill-chunk", 2_048)?,
            },
            step_cost: StepCost {
                base: millis(&mut arguments, "--step-ms", 20)?,
                per_stream: Duration::from_micros(option_or(&mut arguments, "--stream-us", 10)?),
                per_prefill_token: Duration::from_micros(option_or(
                    &mut arguments,
                    "--prefill-us",
                    20,
                )?),
            },
            fencing: option_or(&mut arguments, "--fencing", FencingMode::Check)?,
            seed: option_or(&mut arguments, "--seed", 1)?,
            unread_timeout: millis(&mut arguments, "--linger-ms", 10_000)?,
            ended_retention: millis(&mut arguments, "--keep-ms", 300_000)?,
            cache_lag: millis(&mut arguments, "--cache-lag-ms", 500)?,
        };
        match arguments.finish().first() {
            None => Ok(options),
            Some(unknown) => Err(EngineError::UnknownOption(
                unknown.to_string_lossy().into_owned(),
            )),
        }
    }
}

fn option_or<T>(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
    default: T,
) -> Result<T, pico_args::Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
}

fn millis(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
    default: u64,
) -> Result<Duration, pico_args::Error> {
    option_or(arguments, name, default).map(Duration::from_millis)
}
