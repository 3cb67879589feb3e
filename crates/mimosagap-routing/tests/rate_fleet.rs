//! Replays fleets of 6 to 300 hosts that send requests to a target which names a rate limit for all
//! of them, and counts at the target.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a simulation are small"
)]

#[path = "support/rate_simulation.rs"]
mod rate_simulation;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rate_simulation::{Arrival, SimFault, Simulation, SimulationOptions, mean_rate, worst_window};
use rstest::rstest;

/// When the target first names its limit.
const NAMED_AT: Duration = Duration::from_secs(5);

/// Time after the first naming within which all hosts must have learned of it.
const CONTACT_TIME: Duration = Duration::from_secs(4);

const LENGTH: Duration = Duration::from_secs(40);

/// The requests that the platform allows in 4 s.
fn allowed_in_window(rate: f64) -> f64 {
    rate * 4.0 * 1.5 + 5.0
}

fn options(host_count: usize, demands: Vec<f64>, rate: f64) -> SimulationOptions {
    SimulationOptions {
        seed: 1,
        host_count,
        demands: vec![(Duration::ZERO, demands)],
        limits: vec![(NAMED_AT, Some(rate))],
        loss: 0.0,
        max_latency: Duration::from_millis(3),
        faults: Vec::new(),
        length: LENGTH,
    }
}

/// A demand of `total` requests per second, spread evenly.
fn even_demand(host_count: usize, total: f64) -> Vec<f64> {
    vec![total / host_count as f64; host_count]
}

/// A demand of `total` requests per second, nine tenths of which arrive at one host.
fn skewed_demand(host_count: usize, total: f64) -> Vec<f64> {
    let mut demands = even_demand(host_count, total * 0.1);
    demands[host_count / 2] += total * 0.9;
    demands
}

fn is_bound(arrival: &Arrival) -> bool {
    !arrival.is_excused
}

/// Checks the platform's rule, for hosts that a response told and for all of them.
fn assert_within_limit(arrivals: &[Arrival], rate: f64, context: &str) {
    let span = (NAMED_AT + CONTACT_TIME, LENGTH);
    let told = |arrival: &Arrival| arrival.is_told && is_bound(arrival);
    let counts = [
        worst_window(arrivals, span, told),
        worst_window(arrivals, span, is_bound),
    ];
    let allowed = allowed_in_window(rate);
    assert!(
        counts.iter().all(|count| *count as f64 <= allowed),
        "{context}: {counts:?} requests in 4 s, allowed are {allowed}"
    );
}

/// A limit of a few requests per second is kept, and used, by any number of hosts, however the
/// callers are spread.
#[rstest]
fn the_fleet_keeps_and_uses_a_limit(
    #[values(6, 77, 195, 300)] host_count: usize,
    #[values(0.5, 3.7, 4.7, 40.0)] rate: f64,
    #[values(false, true)] is_skewed: bool,
) {
    let total = rate * 3.0 + 10.0;
    let demands = if is_skewed {
        skewed_demand(host_count, total)
    } else {
        even_demand(host_count, total)
    };
    let simulation = Simulation::new(options(host_count, demands, rate)).run();
    let context = format!("{host_count} hosts, {rate} a second, skewed {is_skewed}");
    assert_within_limit(&simulation.arrivals, rate, &context);
    let settled = (NAMED_AT + Duration::from_secs(2), LENGTH);
    let mean = mean_rate(&simulation.arrivals, settled);
    assert!(
        (0.9 * rate..1.05 * rate).contains(&mean),
        "{context}: {mean} requests a second"
    );
}

/// The demand grows twentyfold in one moment, and moves to other hosts.
#[rstest]
fn a_jump_of_the_demand_does_not_exceed_the_limit(#[values(6, 77, 300)] host_count: usize) {
    let mut options = options(host_count, even_demand(host_count, 5.0), 4.7);
    let jump = Duration::from_secs(15);
    options
        .demands
        .push((jump, skewed_demand(host_count, 100.0)));
    options
        .demands
        .push((jump * 2, even_demand(host_count, 100.0)));
    let simulation = Simulation::new(options).run();
    assert_within_limit(&simulation.arrivals, 4.7, &format!("{host_count} hosts"));
    let mean = mean_rate(&simulation.arrivals, (jump, LENGTH));
    assert!(mean > 0.9 * 4.7, "{mean} requests a second");
}

/// A host with nine tenths of the callers got one of 300 equal shares.
#[test]
fn hosts_are_served_in_proportion_to_their_callers() {
    let simulation = Simulation::new(options(9, skewed_demand(9, 30.0), 6.0)).run();
    let settled = simulation
        .arrivals
        .iter()
        .filter(|arrival| arrival.at > NAMED_AT + CONTACT_TIME);
    let (busy, others): (Vec<&Arrival>, Vec<&Arrival>) =
        settled.partition(|arrival| arrival.host == 4);
    let share = busy.len() as f64 / (busy.len() + others.len()) as f64;
    assert!((0.75..0.98).contains(&share), "share {share}");
}

/// A value of 0 means that nothing is wanted. One request in ten seconds asks whether it still holds.
#[test]
fn a_limit_of_zero_gets_one_request_in_ten_seconds() {
    let simulation = Simulation::new(options(9, even_demand(9, 30.0), 0.0)).run();
    let span = (NAMED_AT + Duration::from_secs(1), LENGTH);
    let count = simulation
        .arrivals
        .iter()
        .filter(|arrival| (span.0..span.1).contains(&arrival.at))
        .count();
    assert!((2..=4).contains(&count), "{count} requests in 34 s");
}

/// The limit falls, rises and ends. Hosts learn of each change, and the return of the callers is
/// spread over the time after the end.
#[rstest]
fn changes_and_the_end_of_a_limit_reach_the_fleet(#[values(6, 77, 300)] host_count: usize) {
    let secs = Duration::from_secs;
    let mut options = options(host_count, even_demand(host_count, 60.0), 10.0);
    options.limits.push((secs(14), Some(2.0)));
    options.limits.push((secs(24), Some(8.0)));
    options.limits.push((secs(32), None));
    let simulation = Simulation::new(options).run();
    let arrivals = &simulation.arrivals;
    let low = worst_window(arrivals, (secs(16), secs(24)), is_bound);
    assert!(low as f64 <= allowed_in_window(2.0), "{low} in 4 s at 2");
    let raised = mean_rate(arrivals, (secs(26), secs(32)));
    assert!((7.2..8.6).contains(&raised), "{raised} a second at 8");
    let ramp = mean_rate(arrivals, (secs(32), secs(33)));
    assert!(
        ramp < 45.0,
        "{ramp} a second in the first second after the end"
    );
    let after = mean_rate(arrivals, (secs(36), LENGTH));
    assert!(after > 50.0, "{after} a second after the end");
}

/// The keeper is killed without notice, and its record stays listed until its lease ends. The deputy
/// grants half the rate at once, and the whole rate when it is the keeper.
#[rstest]
fn a_deputy_takes_over_from_a_dead_keeper(#[values(6, 77, 300)] host_count: usize) {
    let secs = Duration::from_secs;
    let mut options = options(host_count, even_demand(host_count, 60.0), 10.0);
    options.faults.push((secs(15), SimFault::Kill(0, None)));
    let simulation = Simulation::new(options).run();
    assert_within_limit(&simulation.arrivals, 10.0, "after the death of the keeper");
    let meanwhile = mean_rate(&simulation.arrivals, (secs(17), secs(21)));
    assert!(meanwhile > 3.5, "{meanwhile} a second before the takeover");
    let after = mean_rate(&simulation.arrivals, (secs(24), LENGTH));
    assert!(after > 9.0, "{after} a second after the takeover");
}

/// Each half of the fleet can reach the target but not the other half.
#[test]
fn both_sides_of_a_cut_together_stay_within_the_limit() {
    let secs = Duration::from_secs;
    let mut options = options(12, even_demand(12, 60.0), 10.0);
    options.faults.push((secs(12), SimFault::Cut(6, secs(20))));
    let simulation = Simulation::new(options).run();
    assert_within_limit(&simulation.arrivals, 10.0, "during a cut");
}

/// The store is away for longer than any lease, so that no host can prove that it is the keeper.
#[test]
fn an_outage_of_the_store_leaves_half_the_limit() {
    let secs = Duration::from_secs;
    let mut options = options(9, even_demand(9, 60.0), 10.0);
    options
        .faults
        .push((secs(12), SimFault::StoreOutage(secs(12))));
    let simulation = Simulation::new(options).run();
    assert_within_limit(&simulation.arrivals, 10.0, "during an outage");
    let during = mean_rate(&simulation.arrivals, (secs(14), secs(24)));
    assert!((4.5..5.5).contains(&during), "{during} a second");
    let after = mean_rate(&simulation.arrivals, (secs(26), LENGTH));
    assert!(after > 9.0, "{after} a second after the outage");
}

fn random_fault(rng: &mut SmallRng, host_count: usize) -> SimFault {
    // The first hosts are keepers and deputies.
    let host = if rng.random_bool(0.6) {
        rng.random_range(0..3.min(host_count))
    } else {
        rng.random_range(0..host_count)
    };
    let duration = Duration::from_millis(rng.random_range(200..9000));
    match rng.random_range(0..6) {
        0 => SimFault::Kill(host, Some(duration.min(Duration::from_secs(2)))),
        1 => SimFault::Freeze(host, duration),
        2 => SimFault::Cut(rng.random_range(1..host_count), duration),
        3 => SimFault::Isolate(host, duration),
        4 => SimFault::StoreOutage(duration),
        _ => SimFault::Kill(host, None),
    }
}

/// Random faults, overlapping, with lost datagrams, long links and random demand. The platform's
/// rule must hold in every interleaving.
#[test]
fn no_interleaving_of_faults_exceeds_the_limit() {
    for seed in 0..120 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let host_count = rng.random_range(4..60);
        let rate = rng.random_range(0.3..20.0);
        let demands = if rng.random() {
            even_demand(host_count, rate * 4.0 + 10.0)
        } else {
            skewed_demand(host_count, rate * 4.0 + 10.0)
        };
        let faults = (0..rng.random_range(1..8)).map(|_| {
            let at = Duration::from_millis(rng.random_range(1000..32_000));
            (at, random_fault(&mut rng, host_count))
        });
        let faults: Vec<_> = faults.collect();
        let simulation = Simulation::new(SimulationOptions {
            seed,
            loss: rng.random_range(0.0..0.2),
            max_latency: Duration::from_millis(rng.random_range(2..35)),
            faults: faults.clone(),
            ..options(host_count, demands, rate)
        })
        .run();
        let context = format!("seed {seed}, {host_count} hosts, {rate} a second, {faults:?}");
        assert_within_limit(&simulation.arrivals, rate, &context);
    }
}
