//! The retries of all hosts together under restarts, rejections and wrong views of the fleet.
//!
//! Every request is rejected and wants to be sent again at once, so each host spends whatever its
//! budget allows. The bound is the operators': over any window, the slack of the fleet and the ratio
//! of its requests.

use std::time::Duration;

use mimosagap_routing::retry_budget::{FleetSize, RetryBounds, RetryBudget, RetryPurpose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Time between two requests of a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Sends of one request, as the gateway limits them.
const MAX_SENDS: u32 = 4;

/// Streams that each host moves in a tick with [`FleetFault::MovedStreams`], on average.
const MOVES_PER_TICK: f64 = 0.02;

/// Time in which a host that starts hears of the others.
const LISTING_TIME: Duration = Duration::from_millis(1500);

/// From when [`FleetFault::HalfUnlisted`] keeps half of the hosts off the list.
const UNLISTED_FROM: Duration = Duration::from_secs(25);

const TICK: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_mins(1);

/// The operators' bound for a fleet of this size, as on the sites of the platform.
fn bounds_of(host_count: u32) -> RetryBounds {
    RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: f64::from(40 + 2 * host_count),
    }
}

/// What happens to the hosts of a simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetFault {
    /// Single hosts are killed at random, each every few seconds, and start again.
    RandomKills,
    /// All hosts are killed together every four seconds.
    KillsOfAll,
    /// All hosts lose power together every fifteen seconds, for longer than their records last. A
    /// host that starts lists itself, and the others a little later.
    LapsedRecords,
    /// Targets leave one after the other, and streams move to others at every host.
    MovedStreams,
    /// The store rejects half of the hosts for most of the time. Their records lapse, and the other
    /// half lists them no more.
    HalfUnlisted,
}

impl FleetFault {
    /// Time between two kills of all hosts.
    fn kill_interval(self) -> Option<Duration> {
        match self {
            Self::RandomKills | Self::HalfUnlisted | Self::MovedStreams => None,
            Self::KillsOfAll => Some(Duration::from_secs(4)),
            Self::LapsedRecords => Some(Duration::from_secs(15)),
        }
    }

    /// How many hosts a host lists.
    fn listed_hosts(self, fleet: usize, host: usize, age: Duration, now: Duration) -> usize {
        match self {
            Self::LapsedRecords if age < LISTING_TIME => 1,
            Self::HalfUnlisted if host < fleet / 2 && now > UNLISTED_FROM => fleet / 2,
            _ => fleet,
        }
    }
}

struct FleetHost {
    budget: RetryBudget,
    fleet_size: FleetSize,
    started_at: Duration,
    next_request: Duration,
}

/// Requests and retries of a fleet, in the order of their times.
struct FleetRecord {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl FleetRecord {
    /// The most retries in a window beyond what its requests allow, as a fraction of the bound.
    fn worst_use(&self, bounds: &RetryBounds) -> f64 {
        let count_within = |times: &[Duration], begin: Duration, end: Duration| {
            let count =
                times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= begin);
            f64::from(u32::try_from(count).expect("few events"))
        };
        let uses = self.retries.iter().map(|end| {
            let begin = end.saturating_sub(bounds.window);
            let allowed = bounds.slack + bounds.ratio * count_within(&self.requests, begin, *end);
            count_within(&self.retries, begin, *end) / allowed
        });
        uses.fold(0.0, f64::max)
    }
}

fn simulate(host_count: u32, fault: FleetFault, seed: u64) -> FleetRecord {
    let bounds = bounds_of(host_count);
    let mut rng = SmallRng::seed_from_u64(seed);
    let fleet = usize::try_from(host_count).expect("few hosts");
    let mut hosts: Vec<FleetHost> = (0..host_count)
        .map(|_| FleetHost {
            budget: RetryBudget::new(Duration::ZERO),
            fleet_size: FleetSize::new(Duration::ZERO),
            started_at: Duration::ZERO,
            next_request: REQUEST_INTERVAL.mul_f64(rng.random()),
        })
        .collect();
    let mut record = FleetRecord {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    let mut now = Duration::ZERO;
    let kill_interval = fault.kill_interval();
    let mut next_kill = kill_interval.unwrap_or(Duration::MAX);
    while now < LENGTH {
        now += TICK;
        let kills_all = now >= next_kill;
        if let Some(interval) = kill_interval.filter(|_| kills_all) {
            next_kill += interval;
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            if fault == FleetFault::MovedStreams && rng.random_bool(MOVES_PER_TICK) {
                let sharing_hosts = host.fleet_size.update(fleet, now);
                let purpose = RetryPurpose::Move;
                if host.budget.try_spend(purpose, now, &bounds, sharing_hosts) {
                    record.retries.push(now);
                }
            }
            let is_killed = kills_all
                || (fault == FleetFault::RandomKills && rng.random_bool(TICK.as_secs_f64() / 3.0));
            if is_killed {
                host.budget = RetryBudget::new(now);
                host.fleet_size = FleetSize::new(now);
                host.started_at = now;
            }
            if now < host.next_request {
                continue;
            }
            host.next_request = now + REQUEST_INTERVAL;
            record.requests.push(now);
            let age = now.saturating_sub(host.started_at);
            let listed_hosts = fault.listed_hosts(fleet, index, age, now);
            let sharing_hosts = host.fleet_size.update(listed_hosts, now);
            host.budget.record_request(now, &bounds, sharing_hosts);
            for _ in 1..MAX_SENDS {
                if host
                    .budget
                    .try_spend(RetryPurpose::Attempt, now, &bounds, sharing_hosts)
                {
                    record.retries.push(now);
                }
            }
        }
    }
    record
}

/// A process that starts knows nothing of what the one before it sent again. With its count at zero
/// it spent a whole share once more, and each restart of a host added one to the sum of the fleet.
#[rstest]
fn restarted_hosts_spend_their_share_again(
    #[values(6, 77, 300)] host_count: u32,
    #[values(FleetFault::RandomKills, FleetFault::KillsOfAll)] fault: FleetFault,
    #[values(1, 2, 3)] seed: u64,
) {
    let record = simulate(host_count, fault, seed);
    let worst_use = record.worst_use(&bounds_of(host_count));
    assert!(worst_use <= 1.0, "{worst_use:.2} of the bound was used");
}

/// Hosts divide the slack by the number of hosts that they list. A list that is too short for some
/// seconds, because hosts have just started or because the records of others lapsed while these go on
/// to serve, let each of them spend more than its share.
#[rstest]
fn hosts_that_list_few_others_spend_their_shares(
    #[values(6, 77, 300)] host_count: u32,
    #[values(FleetFault::LapsedRecords, FleetFault::HalfUnlisted)] fault: FleetFault,
    #[values(1, 2, 3)] seed: u64,
) {
    let record = simulate(host_count, fault, seed);
    let worst_use = record.worst_use(&bounds_of(host_count));
    assert!(worst_use <= 1.0, "{worst_use:.2} of the bound was used");
}

/// A stream whose target leaves goes on at another one, from a copy. The target that takes it gets one
/// more request, which was missing in the count of the host.
#[rstest]
fn moved_streams_are_sent_beyond_the_budget(
    #[values(6, 77, 300)] host_count: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let record = simulate(host_count, FleetFault::MovedStreams, seed);
    let worst_use = record.worst_use(&bounds_of(host_count));
    assert!(worst_use <= 1.0, "{worst_use:.2} of the bound was used");
}
