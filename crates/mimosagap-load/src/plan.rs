//! Generates all requests of a run before it starts, so that equal seeds give equal load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde_json::{Value, json};

use crate::workload::{ClassWorkload, Workload};

/// Input bytes that the simulated engine counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A request to send during the run.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Index in the plan.
    pub index: usize,
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Index of its class in the workload.
    pub class_index: usize,
    /// Team that sends the request.
    pub team: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
    /// Index of the shared prefix of the prompt; `None` without one.
    pub prefix_index: Option<u32>,
    /// Random number by which the caller rotates its list of addresses.
    pub rotation_seed: u64,
}

/// Generates the requests of a run, sorted by arrival time.
#[must_use]
pub fn generate_plan(workload: &Workload, seed: u64) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peak_rate = workload.arrivals.peak_rate();
    let Ok(interarrival_times) = Exp::new(peak_rate) else {
        return Vec::new();
    };
    let mut plan = Vec::new();
    let mut seconds = 0.0;
    loop {
        seconds += interarrival_times.sample(&mut rng);
        if seconds >= workload.seconds {
            return plan;
        }
        // Thinning: draws arrivals at the peak rate and keeps each with the probability of the
        // current rate divided by the peak rate.
        if rng.random_bool((workload.arrivals.rate_at(seconds) / peak_rate).clamp(0.0, 1.0)) {
            let at = Duration::from_secs_f64(seconds);
            plan.push(generate_request(workload, plan.len(), at, &mut rng));
        }
    }
}

fn generate_request(
    workload: &Workload,
    index: usize,
    at: Duration,
    rng: &mut SmallRng,
) -> PlannedRequest {
    let shares = workload.classes.iter().map(|class| class.share);
    let class_index = sample_weighted(shares, rng);
    let class = &workload.classes[class_index];
    let team_index = sample_weighted(class.teams.values().copied(), rng);
    PlannedRequest {
        index,
        at,
        class_index,
        team: team_at_index(&class.teams, team_index),
        prompt_tokens: class.prompt_tokens.sample(rng),
        output_tokens: class.output_tokens.sample(rng),
        prefix_index: class
            .prefixes
            .map(|prefixes| rng.random_range(0..prefixes.count.max(1))),
        rotation_seed: rng.random(),
    }
}

fn team_at_index(teams: &BTreeMap<String, f64>, index: usize) -> String {
    teams.keys().nth(index).cloned().unwrap_or_default()
}

/// Draws an index with a probability proportional to its weight.
fn sample_weighted(weights: impl Iterator<Item = f64> + Clone, rng: &mut SmallRng) -> usize {
    let total_weight: f64 = weights.clone().sum();
    let mut remaining_weight = rng.random::<f64>() * total_weight;
    let mut chosen_index = 0;
    for (index, weight) in weights.enumerate() {
        chosen_index = index;
        remaining_weight -= weight;
        if remaining_weight < 0.0 {
            break;
        }
    }
    chosen_index
}

/// Bearer token of a team in experiments.
#[must_use]
pub fn team_token(team: &str) -> String {
    format!("token-of-{team}")
}

impl PlannedRequest {
    /// Request id for `metadata.request`; unique over runs with different seeds.
    #[must_use]
    pub fn request_id(&self, seed: u64) -> String {
        format!("{seed}-{}", self.index)
    }

    /// Creates the request body. Its priority is for direct calls to engines; a daemon sets its
    /// own.
    #[must_use]
    pub fn body(&self, class: &ClassWorkload, seed: u64) -> Value {
        json!({
            "model": class.model,
            "input": self.input_text(class, seed),
            "stream": class.streamed,
            "priority": class.engine_priority(),
            "metadata": {
                "class": class.name,
                "output_tokens": self.output_tokens.to_string(),
                "request": self.request_id(seed),
            },
        })
    }

    fn input_text(&self, class: &ClassWorkload, seed: u64) -> String {
        let length = self.prompt_tokens as usize * BYTES_PER_TOKEN;
        let mut text = String::with_capacity(length + 64);
        if let (Some(prefix_index), Some(prefixes)) = (self.prefix_index, class.prefixes) {
            let prefix_length = (prefixes.tokens as usize * BYTES_PER_TOKEN).min(length);
            repeat_to_length(
                &mut text,
                &format!("{} {prefix_index}; ", class.name),
                prefix_length,
            );
        }
        repeat_to_length(&mut text, &format!("{seed}/{}; ", self.index), length);
        text
    }
}

fn repeat_to_length(text: &mut String, phrase: &str, length: usize) {
    while text.len() < length {
        text.push_str(phrase);
    }
    text.truncate(length);
}
