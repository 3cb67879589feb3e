//! Compares ways to keep a rate limit over a fleet: one keeper, equal shares and random admission.
//!
//! Prints for each fleet size, rate and spread of the callers the worst window of 4 s as a multiple
//! of what the rate allows, the used part of the rate, and datagrams per second.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a simulation are small"
)]

#[allow(dead_code, reason = "tests use the rest")]
#[path = "../tests/support/rate_simulation.rs"]
mod rate_simulation;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rate_simulation::{Arrival, Simulation, SimulationOptions, mean_rate, worst_window};

/// When the target first names its limit.
const NAMED_AT: Duration = Duration::from_secs(5);

/// Start of the measurement, when all hosts know the limit.
const SETTLED_AT: Duration = Duration::from_secs(9);

const LENGTH: Duration = Duration::from_secs(129);

#[derive(Debug, Clone, Copy)]
enum Design {
    Keeper,
    EqualShares,
    RandomAdmission,
}

/// Arrivals if each host has a bucket of one request that fills at an equal share of the rate.
fn with_equal_shares(demands: &[f64], rate: f64, rng: &mut SmallRng) -> Vec<Arrival> {
    let interval = demands.len() as f64 / rate;
    independent_hosts(demands, rng, |last_sent, at, _| at >= last_sent + interval)
}

/// Arrivals if each host sends a request with the probability of the rate over the whole demand,
/// which it would have to know.
fn with_random_admission(demands: &[f64], rate: f64, rng: &mut SmallRng) -> Vec<Arrival> {
    let probability = (rate / demands.iter().sum::<f64>()).min(1.0);
    independent_hosts(demands, rng, |_, _, rng| rng.random_bool(probability))
}

fn independent_hosts(
    demands: &[f64],
    rng: &mut SmallRng,
    mut is_admitted: impl FnMut(f64, f64, &mut SmallRng) -> bool,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (host, demand) in demands.iter().enumerate() {
        let (mut at, mut last_sent) = (NAMED_AT.as_secs_f64(), f64::NEG_INFINITY);
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / demand;
            if at > LENGTH.as_secs_f64() {
                break;
            }
            if is_admitted(last_sent, at, rng) {
                last_sent = at;
                arrivals.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    host,
                    is_excused: false,
                    is_told: true,
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn measure(design: Design, demands: &[f64], rate: f64) -> (Vec<Arrival>, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    match design {
        Design::EqualShares => (with_equal_shares(demands, rate, &mut rng), 0.0),
        Design::RandomAdmission => (with_random_admission(demands, rate, &mut rng), 0.0),
        Design::Keeper => {
            let simulation = Simulation::new(SimulationOptions {
                seed: 1,
                host_count: demands.len(),
                demands: vec![(Duration::ZERO, demands.to_vec())],
                limits: vec![(NAMED_AT, Some(rate))],
                loss: 0.01,
                max_latency: Duration::from_millis(3),
                faults: Vec::new(),
                length: LENGTH,
            })
            .run();
            let datagrams =
                simulation.datagrams as f64 / LENGTH.saturating_sub(NAMED_AT).as_secs_f64();
            (simulation.arrivals, datagrams)
        }
    }
}

fn main() {
    println!("design           hosts  rate  callers  worst window  used  datagrams/s");
    for design in [Design::Keeper, Design::EqualShares, Design::RandomAdmission] {
        for host_count in [6_u16, 77, 195, 300] {
            for (rate, is_skewed) in [(3.7, false), (3.7, true), (40.0, false), (40.0, true)] {
                let total: f64 = rate * 3.0 + 10.0;
                let even = if is_skewed { total * 0.1 } else { total };
                let mut demands = vec![even / f64::from(host_count); usize::from(host_count)];
                demands[0] += total - even;
                let (arrivals, datagrams) = measure(design, &demands, rate);
                let worst = worst_window(&arrivals, (SETTLED_AT, LENGTH), |_| true) as f64;
                let used = mean_rate(&arrivals, (SETTLED_AT, LENGTH)) / rate;
                let callers = if is_skewed { "skewed" } else { "even" };
                let name = format!("{design:?}");
                println!(
                    "{name:<16} {host_count:>5} {rate:>5} {callers:>8} {:>13.2} {used:>5.2} \
                     {datagrams:>12.1}",
                    worst / (rate * 4.0)
                );
            }
        }
    }
}
