//! Workload files.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Pareto};
use serde::Deserialize;
use serde_json::Value;

/// A workload as written in its file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The name in reports.
    pub name: String,
    /// How long requests arrive.
    pub seconds: f64,
    /// Requests planned before this time are sent but not measured.
    pub warmup_seconds: f64,
    /// How long the tool waits for open streams after the last arrival.
    pub drain_seconds: f64,
    /// When requests arrive.
    pub arrivals: Arrivals,
    /// What they ask for.
    pub classes: Vec<ClassMix>,
    /// Faults applied in every run.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Named sets of further faults.
    #[serde(default)]
    pub variants: BTreeMap<String, Vec<Fault>>,
    /// The processes that an experiment starts.
    pub fleet: FleetShape,
}

/// Poisson arrivals, with a higher rate during bursts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Mean rate outside bursts.
    pub requests_per_second: f64,
    /// Bursts, if any.
    #[serde(default)]
    pub bursts: Option<Bursts>,
}

/// Periodic bursts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// Time from one burst's start to the next.
    pub every_seconds: f64,
    /// Length of a burst.
    pub seconds: f64,
    /// Rate during a burst as a multiple of the mean rate.
    pub factor: f64,
}

impl Arrivals {
    /// The rate at a time, in requests per second.
    #[must_use]
    pub fn rate_at(&self, seconds: f64) -> f64 {
        let factor = match &self.bursts {
            Some(bursts) if seconds % bursts.every_seconds < bursts.seconds => bursts.factor,
            _ => 1.0,
        };
        self.requests_per_second * factor
    }

    /// The highest rate.
    #[must_use]
    pub fn peak(&self) -> f64 {
        let factor = self.bursts.as_ref().map_or(1.0, |b| b.factor.max(1.0));
        self.requests_per_second * factor
    }
}

/// One class of requests.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassMix {
    /// The class.
    pub name: String,
    /// The model.
    pub model: String,
    /// Weight against the other classes.
    pub share: f64,
    /// `high`, `normal` or `low`.
    pub priority: String,
    /// Weights of the teams.
    pub teams: BTreeMap<String, f64>,
    /// Prompt length.
    pub prompt_tokens: LengthDistribution,
    /// Output length.
    pub output_tokens: LengthDistribution,
    /// Prefixes shared between prompts, if any.
    #[serde(default)]
    pub prefixes: Option<SharedPrefixes>,
    /// Whether answers are streamed.
    #[serde(default = "streamed")]
    pub streamed: bool,
}

fn streamed() -> bool {
    true
}

impl ClassMix {
    /// The engine's priority number of the class; as the daemon sends it.
    #[must_use]
    pub fn engine_priority(&self) -> i32 {
        match self.priority.as_str() {
            "high" => 0,
            "low" => 20,
            _ => 10,
        }
    }
}

/// Prompts begin with one of several texts.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefixes {
    /// How many texts.
    pub count: u32,
    /// Their length; part of the prompt length.
    pub tokens: u32,
}

/// A distribution of lengths in tokens.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum LengthDistribution {
    /// Always the same.
    Fixed {
        /// The length.
        tokens: u32,
    },
    /// All lengths alike.
    Uniform {
        /// The least.
        min: u32,
        /// The greatest.
        max: u32,
    },
    /// Logarithms are normally distributed.
    Lognormal {
        /// The median.
        median: f64,
        /// The standard deviation of the logarithm.
        sigma: f64,
        /// Longer ones are cut.
        max: u32,
    },
    /// A power law.
    Pareto {
        /// The least.
        scale: f64,
        /// The exponent; the mean is infinite up to 1.
        shape: f64,
        /// Longer ones are cut.
        max: u32,
    },
}

impl LengthDistribution {
    /// Draws a length of at least one token.
    pub fn sample(&self, rng: &mut impl Rng) -> u32 {
        match *self {
            Self::Fixed { tokens } => tokens.max(1),
            Self::Uniform { min, max } => rng.random_range(min..=max.max(min)).max(1),
            Self::Lognormal { median, sigma, max } => {
                let drawn = LogNormal::new(median.ln(), sigma).map(|d| d.sample(rng));
                bounded(drawn.unwrap_or(median), max)
            }
            Self::Pareto { scale, shape, max } => {
                let drawn = Pareto::new(scale, shape).map(|d| d.sample(rng));
                bounded(drawn.unwrap_or(scale), max)
            }
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Bounded on both sides.
fn bounded(value: f64, max: u32) -> u32 {
    value.round().clamp(1.0, f64::from(max.max(1))) as u32
}

/// A call to the engines' control interface during the run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the start of the run.
    pub at_seconds: f64,
    /// Again after this time, each time at the next engine of the list.
    #[serde(default)]
    pub every_seconds: Option<f64>,
    /// Positions of the engines, each taken modulo the fleet's size; empty for all.
    #[serde(default)]
    pub engines: Vec<usize>,
    /// The path below `/control/`.
    pub control: String,
    /// The body.
    pub body: Value,
}

/// The processes that an experiment starts.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    /// One engine for each entry.
    pub engines: Vec<Site>,
    /// One daemon for each entry.
    pub daemons: Vec<Site>,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Base time of a step.
    pub step_ms: u64,
    /// Further time for each stream, in microseconds.
    pub stream_us: u64,
    /// Further time for each prompt token, in microseconds.
    pub prefill_us: u64,
    /// Streams that run at once on an engine.
    pub max_streams: u32,
    /// Rule lines besides teams, classes and route.
    #[serde(default)]
    pub rules: Vec<String>,
}

/// A place of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}

/// A workload that cannot be used.
#[derive(Debug)]
pub enum WorkloadError {
    /// The file cannot be read.
    Read(std::io::Error),
    /// The file is not a workload.
    Parse(serde_json::Error),
    /// A value is out of range.
    Value(&'static str),
    /// There is no such variant.
    Variant(String),
}

impl fmt::Display for WorkloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "workload file: {error}; check the path"),
            Self::Parse(error) => write!(f, "workload file: {error}; correct it there"),
            Self::Value(remedy) => write!(f, "workload file: {remedy}"),
            Self::Variant(name) => write!(f, "no variant {name} in the workload file; add it"),
        }
    }
}

impl std::error::Error for WorkloadError {}

impl Workload {
    /// Reads a file and adds the faults of a variant.
    ///
    /// # Errors
    /// The file cannot be read, has a fault, or lacks the variant.
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

    /// Parses and checks a workload.
    ///
    /// # Errors
    /// The text is not a workload or has a value out of range.
    pub fn parse(text: &str) -> Result<Self, WorkloadError> {
        let workload: Self = serde_json::from_str(text).map_err(WorkloadError::Parse)?;
        workload.check()?;
        Ok(workload)
    }

    fn check(&self) -> Result<(), WorkloadError> {
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
        if !positive(self.arrivals.requests_per_second) || self.arrivals.peak() > 10_000.0 {
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

    /// How long requests arrive.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// When measurement begins.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.warmup_seconds)
    }

    /// The measured part of the run.
    #[must_use]
    pub fn measured(&self) -> Duration {
        self.duration().saturating_sub(self.warmup())
    }

    /// How long open streams are waited for.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_seconds)
    }
}
