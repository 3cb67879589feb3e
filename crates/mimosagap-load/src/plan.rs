//! The requests of a run, drawn before it starts, so that equal seeds give equal load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde_json::{Value, json};

use crate::workload::{ClassMix, Workload};

/// Bytes of input that the engine counts as one token.
const TOKEN_BYTES: usize = 4;

/// One request of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Its position in the plan.
    pub number: usize,
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// The position of its class in the workload.
    pub class: usize,
    /// Its team.
    pub team: String,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Output length.
    pub output_tokens: u32,
    /// Which shared prefix the prompt begins with.
    pub prefix: Option<u32>,
    /// A random number for choices of the caller.
    pub salt: u64,
}

/// Draws all requests of a run.
#[must_use]
pub fn draw_plan(workload: &Workload, seed: u64) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peak = workload.arrivals.peak();
    let Ok(gaps) = Exp::new(peak) else {
        return Vec::new();
    };
    let mut plan = Vec::new();
    let mut seconds = 0.0;
    loop {
        seconds += gaps.sample(&mut rng);
        if seconds >= workload.seconds {
            return plan;
        }
        // Thinning: arrivals at the peak rate are kept with the probability of the rate now.
        if rng.random_bool((workload.arrivals.rate_at(seconds) / peak).clamp(0.0, 1.0)) {
            let at = Duration::from_secs_f64(seconds);
            plan.push(draw_request(workload, plan.len(), at, &mut rng));
        }
    }
}

fn draw_request(
    workload: &Workload,
    number: usize,
    at: Duration,
    rng: &mut SmallRng,
) -> PlannedRequest {
    let shares = workload.classes.iter().map(|class| class.share);
    let class = draw_weighted(shares, rng);
    let mix = &workload.classes[class];
    let team = draw_weighted(mix.teams.values().copied(), rng);
    PlannedRequest {
        number,
        at,
        class,
        team: team_at(&mix.teams, team),
        prompt_tokens: mix.prompt_tokens.sample(rng),
        output_tokens: mix.output_tokens.sample(rng),
        prefix: mix
            .prefixes
            .map(|prefixes| rng.random_range(0..prefixes.count.max(1))),
        salt: rng.random(),
    }
}

fn team_at(teams: &BTreeMap<String, f64>, position: usize) -> String {
    teams.keys().nth(position).cloned().unwrap_or_default()
}

fn draw_weighted(weights: impl Iterator<Item = f64> + Clone, rng: &mut SmallRng) -> usize {
    let total: f64 = weights.clone().sum();
    let mut rest = rng.random::<f64>() * total;
    let mut last = 0;
    for (position, weight) in weights.enumerate() {
        last = position;
        rest -= weight;
        if rest < 0.0 {
            break;
        }
    }
    last
}

/// The bearer token of a team in experiments.
#[must_use]
pub fn team_token(team: &str) -> String {
    format!("token-of-{team}")
}

impl PlannedRequest {
    /// The name of the request in `metadata.request`, unique over runs with different seeds.
    #[must_use]
    pub fn name(&self, seed: u64) -> String {
        format!("{seed}-{}", self.number)
    }

    /// The request body. The priority is for direct calls to engines; a daemon sets its own.
    #[must_use]
    pub fn body(&self, mix: &ClassMix, seed: u64) -> Value {
        json!({
            "model": mix.model,
            "input": self.input(mix, seed),
            "stream": mix.streamed,
            "priority": mix.engine_priority(),
            "metadata": {
                "class": mix.name,
                "output_tokens": self.output_tokens.to_string(),
                "request": self.name(seed),
            },
        })
    }

    fn input(&self, mix: &ClassMix, seed: u64) -> String {
        let length = self.prompt_tokens as usize * TOKEN_BYTES;
        let mut text = String::with_capacity(length + 64);
        if let (Some(number), Some(prefixes)) = (self.prefix, mix.prefixes) {
            let end = (prefixes.tokens as usize * TOKEN_BYTES).min(length);
            fill(&mut text, &format!("{} {number}; ", mix.name), end);
        }
        fill(&mut text, &format!("{seed}/{}; ", self.number), length);
        text
    }
}

fn fill(text: &mut String, words: &str, length: usize) {
    while text.len() < length {
        text.push_str(words);
    }
    text.truncate(length);
}
