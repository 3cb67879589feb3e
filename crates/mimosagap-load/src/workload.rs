//! Workload files: their structure, validation and length distributions.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Pareto};
use serde::Deserialize;
use serde_json::Value;

/// A workload, as read from its JSON file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name in reports.
    pub name: String,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Requests planned before this time, in seconds, are sent but not measured.
    pub warmup_seconds: f64,
    /// Time after the arrivals, in seconds, during which the tool waits for open streams.
    pub drain_seconds: f64,
    /// Arrival rate of the requests.
    pub arrivals: ArrivalPattern,
    /// Classes of the requests.
    pub classes: Vec<ClassWorkload>,
    /// Faults injected in every run.
    #[serde(default)]
    pub faults: Vec<EngineFault>,
    /// Named sets of additional faults, selected by `--variant`.
    #[serde(default)]
    pub variants: BTreeMap<String, Vec<EngineFault>>,
    /// Processes that an experiment starts.
    pub fleet: FleetConfig,
}

/// Poisson arrivals, with a higher rate during bursts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalPattern {
    /// Mean rate outside bursts, per second.
    pub requests_per_second: f64,
    /// Periodic bursts; `None` for a constant rate.
    #[serde(default)]
    pub bursts: Option<BurstPattern>,
}

/// Bursts at a fixed interval; the first begins at the start of the run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstPattern {
    /// Time from the start of one burst to the start of the next, in seconds.
    pub every_seconds: f64,
    /// Duration of a burst, in seconds.
    pub seconds: f64,
    /// Rate during a burst as a multiple of the mean rate.
    pub factor: f64,
}

impl ArrivalPattern {
    /// Rate at a time of the run, in requests per second.
    #[must_use]
    pub fn rate_at(&self, seconds: f64) -> f64 {
        let factor = match &self.bursts {
            Some(bursts) if seconds % bursts.every_seconds < bursts.seconds => bursts.factor,
            _ => 1.0,
        };
        self.requests_per_second * factor
    }

    /// Highest rate, in requests per second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        let factor = self.bursts.as_ref().map_or(1.0, |b| b.factor.max(1.0));
        self.requests_per_second * factor
    }
}

/// One class of requests.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassWorkload {
    /// Name of the class.
    pub name: String,
    /// Model that its requests ask for.
    pub model: String,
    /// Weight relative to the other classes.
    pub share: f64,
    /// Priority: `high`, `normal` or `low`.
    pub priority: String,
    /// Relative weights of the teams that send the requests.
    pub teams: BTreeMap<String, f64>,
    /// Length of the prompts.
    pub prompt_tokens: LengthDistribution,
    /// Length of the outputs.
    pub output_tokens: LengthDistribution,
    /// Prefixes shared between prompts; `None` for independent prompts.
    #[serde(default)]
    pub prefixes: Option<SharedPrefixes>,
    /// Whether responses are streamed.
    #[serde(default = "default_streamed")]
    pub streamed: bool,
}

fn default_streamed() -> bool {
    true
}

impl ClassWorkload {
    /// Priority value in engine requests, the same that a daemon sends.
    #[must_use]
    pub fn engine_priority(&self) -> i32 {
        match self.priority.as_str() {
            "high" => 0,
            "low" => 20,
            _ => 10,
        }
    }
}

/// A set of texts, with one of which each prompt begins.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefixes {
    /// Number of different texts.
    pub count: u32,
    /// Length of each text in tokens. It counts towards the prompt length.
    pub tokens: u32,
}

/// A distribution of lengths in tokens.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum LengthDistribution {
    /// Constant length.
    Fixed {
        /// Length of every sample; 0 is taken as 1.
        tokens: u32,
    },
    /// All lengths from `min` to `max` are equally likely.
    Uniform {
        /// Lowest length; 0 is sampled as 1.
        min: u32,
        /// Highest length; `min` applies if it is larger.
        max: u32,
    },
    /// Log-normal distribution.
    Lognormal {
        /// Median of the lengths before they are cut to `max`.
        median: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
        /// Upper bound, to which longer lengths are cut.
        max: u32,
    },
    /// Pareto distribution, with a power-law tail.
    Pareto {
        /// Lowest length of the distribution, before rounding.
        scale: f64,
        /// Exponent of the tail. At 1 or below, the mean without the upper bound is infinite.
        shape: f64,
        /// Upper bound, to which longer lengths are cut.
        max: u32,
    },
}

impl LengthDistribution {
    /// Samples a length of at least one token.
    pub fn sample(&self, rng: &mut impl Rng) -> u32 {
        match *self {
            Self::Fixed { tokens } => tokens.max(1),
            Self::Uniform { min, max } => rng.random_range(min..=max.max(min)).max(1),
            Self::Lognormal { median, sigma, max } => {
                let sampled = LogNormal::new(median.ln(), sigma).map(|d| d.sample(rng));
                to_token_count(sampled.unwrap_or(median), max)
            }
            Self::Pareto { scale, shape, max } => {
                let sampled = Pareto::new(scale, shape).map(|d| d.sample(rng));
                to_token_count(sampled.unwrap_or(scale), max)
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to a valid range.
fn to_token_count(value: f64, max: u32) -> u32 {
    value.round().clamp(1.0, f64::from(max.max(1))) as u32
}

/// A fault, injected by a call to the control interface of engines during the run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFault {
    /// Time from the start of the run, in seconds.
    pub at_seconds: f64,
    /// Interval in seconds at which the fault is repeated, each time at the next engine of the
    /// list; `None` injects it once, at all engines of the list.
    #[serde(default)]
    pub every_seconds: Option<f64>,
    /// Indexes of the engines, each taken modulo the number of engines; empty for all engines.
    #[serde(default)]
    pub engines: Vec<usize>,
    /// Path below `/control/`.
    pub control: String,
    /// JSON body of the call.
    pub body: Value,
}

/// Configuration of the processes that an experiment starts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Locations of the engines, one engine for each entry.
    pub engines: Vec<ProcessLocation>,
    /// Locations of the daemons, one daemon for each entry.
    pub daemons: Vec<ProcessLocation>,
    /// KV cache capacity of an engine, in tokens.
    pub memory_tokens: u64,
    /// Base duration of a decode step, in milliseconds.
    pub step_ms: u64,
    /// Additional step time for each stream, in microseconds.
    pub stream_us: u64,
    /// Additional step time for each prompt token, in microseconds.
    pub prefill_us: u64,
    /// Maximum number of streams that run at once on an engine.
    pub max_streams: u32,
    /// Lines of the rules file in addition to the generated ones for teams, classes and routes.
    #[serde(default)]
    pub rules: Vec<String>,
}

/// Location of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessLocation {
    /// Availability zone.
    pub zone: String,
    /// Region that contains the zone.
    pub region: String,
}

/// Error of a workload file that cannot be used.
#[derive(Debug)]
pub enum WorkloadError {
    /// The file cannot be read.
    Read(std::io::Error),
    /// The file is not a workload.
    Parse(serde_json::Error),
    /// A value is out of range; holds the remedy.
    Value(&'static str),
    /// The workload has no variant of this name.
    Variant(String),
}

impl fmt::Display for WorkloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => {
                write!(f, "cannot read the workload file: {error}; check the path")
            }
            Self::Parse(error) => write!(
                f,
                "cannot parse the workload file: {error}; correct it at this place"
            ),
            Self::Value(remedy) => write!(f, "invalid value in the workload file: {remedy}"),
            Self::Variant(name) => write!(f, "no variant {name} in the workload file; add it"),
        }
    }
}

impl std::error::Error for WorkloadError {}

impl Workload {
    /// Reads and validates a file, and adds the faults of the variant, if one is given.
    ///
    /// # Errors
    /// The file cannot be read, is invalid, or lacks the variant.
    pub fn read(path: &Path, variant: Option<&str>) -> Result<Self, WorkloadError> {
        let text = std::fs::read_to_string(path).map_err(WorkloadError::Read)?;
        let mut workload = Self::parse(&text)?;
        if let Some(name) = variant {
            let faults = workload
                .variants
                .get(name)
                .ok_or_else(|| WorkloadError::Variant(name.to_owned()))?;
            workload.faults.extend(faults.clone());
        }
        Ok(workload)
    }

    /// Parses and validates the text of a workload file.
    ///
    /// # Errors
    /// The text is not a workload, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, WorkloadError> {
        let workload: Self = serde_json::from_str(text).map_err(WorkloadError::Parse)?;
        workload.validate()?;
        Ok(workload)
    }

    fn validate(&self) -> Result<(), WorkloadError> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        if !positive(self.seconds) || self.seconds > 3_600.0 {
            return Err(WorkloadError::Value("set seconds between 0 and 3600"));
        }
        if !(0.0..self.seconds).contains(&self.warmup_seconds) {
            return Err(WorkloadError::Value("set warmup_seconds below seconds"));
        }
        if !(0.0..=600.0).contains(&self.drain_seconds) {
            return Err(WorkloadError::Value("set drain_seconds from 0 to 600"));
        }
        if !positive(self.arrivals.requests_per_second) || self.arrivals.peak_rate() > 10_000.0 {
            return Err(WorkloadError::Value(
                "set the arrival rate between 0 and 10000 requests per second",
            ));
        }
        if self.classes.is_empty() || !self.classes.iter().all(|class| positive(class.share)) {
            return Err(WorkloadError::Value("add classes with a share above 0"));
        }
        if self.classes.iter().any(|class| class.teams.is_empty()) {
            return Err(WorkloadError::Value("add teams to each class"));
        }
        if self
            .faults
            .iter()
            .any(|f| !(0.0..=3_600.0).contains(&f.at_seconds))
        {
            return Err(WorkloadError::Value("set at_seconds from 0 to 3600"));
        }
        Ok(())
    }

    /// Duration of the arrivals.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Start of the measurement.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.warmup_seconds)
    }

    /// Duration of the measurement, which ends with the arrivals.
    #[must_use]
    pub fn measured(&self) -> Duration {
        self.duration().saturating_sub(self.warmup())
    }

    /// Time after the arrivals during which the tool waits for open streams.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_seconds)
    }
}
