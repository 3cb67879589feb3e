//! Prints the reducer's time per event and its memory per engine, team and stream.
//! `docs/CAPACITY.md` derives the needs at other sizes from them.
//!
//! `cargo run --release -p mimosagap-core --example cost`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_core::{
    AttemptEnd, DaemonReducer, Effect, Event, ListedTarget, LoadReport, ReducerOptions, Submission,
    TargetKind, WorkKind,
};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

const ROUNDS: u32 = 20_000;
const ZONES: usize = 11;
const PAGE_BYTES: u64 = 4_096;

struct ReducerBench {
    reducer: DaemonReducer,
    now: Instant,
    tickets: u64,
    effects: Vec<Effect>,
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).expect("few engines").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 8_000))
}

fn engine(index: usize) -> ListedTarget {
    let zone = index % ZONES;
    ListedTarget {
        address: address(index),
        deployment: DeploymentName::new("assistant"),
        kind: TargetKind::Engine {
            models: vec![ModelName::new("quotes")],
        },
        zone: ZoneName::new(&format!("zone-{zone}")),
        region: RegionName::new(&format!("region-{}", zone % 3)),
        leaving: false,
    }
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        running,
        waiting: 0,
        memory_usage: 0.5,
        kv_capacity_tokens: 1_000_000_000,
        preemptions: 0,
        leaving: false,
        age: Duration::from_millis(100),
    }
}

fn submission(number: u64, teams: u64) -> Submission {
    Submission {
        team: TeamName::new(&format!("team-{}", number % teams)),
        class: ClassName::new("quote"),
        digest: RequestDigest::of(&[&number.to_be_bytes()]),
        work: WorkKind::Generation {
            model: ModelName::new("quotes"),
            prompt_tokens: 500,
            max_tokens: None,
            prefix: (0..8)
                .map(|block| number.wrapping_mul(64) + block)
                .collect(),
            is_buffered: false,
        },
    }
}

impl ReducerBench {
    fn new(engines: usize) -> Self {
        let mut bench = Self {
            reducer: DaemonReducer::new(ReducerOptions {
                daemon: DaemonId::new("a"),
                zone: ZoneName::new("zone-0"),
                region: RegionName::new("region-0"),
                seed: 1,
            }),
            now: Instant::now(),
            tickets: 0,
            effects: Vec::new(),
        };
        bench.step(Event::StoreReached);
        let rules = RuleSet::compile(RulesRevision(1), "").expect("no rules are valid rules");
        bench.step(Event::RulesReceived(Arc::new(rules)));
        bench.step(Event::TargetsListed((0..engines).map(engine).collect()));
        for index in 0..engines {
            bench.report(index, 0);
        }
        bench
    }

    fn step(&mut self, event: Event) {
        self.effects.clear();
        self.reducer.reduce(self.now, event, &mut self.effects);
    }

    fn report(&mut self, index: usize, running: u32) {
        self.step(Event::TargetReported {
            address: address(index),
            report: report(running),
        });
    }

    fn submit(&mut self, teams: u64) -> RequestTicket {
        self.tickets += 1;
        let ticket = RequestTicket(self.tickets);
        let submission = submission(self.tickets, teams);
        self.step(Event::Submitted { ticket, submission });
        let is_dispatch = |effect: &Effect| matches!(effect, Effect::Dispatch { .. });
        assert!(self.effects.iter().any(is_dispatch), "{:?}", self.effects);
        ticket
    }

    fn progress(&mut self, ticket: RequestTicket, tokens: u32) {
        self.step(Event::Progress {
            ticket,
            attempt: 1,
            tokens,
        });
    }

    fn end(&mut self, ticket: RequestTicket) {
        self.step(Event::AttemptEnded {
            ticket,
            attempt: 1,
            end: AttemptEnd::Completed { tokens: 300 },
        });
    }
}

/// Mean time of a call over `rounds` calls, in nanoseconds.
fn time(rounds: u32, mut call: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    (0..rounds).for_each(&mut call);
    start.elapsed().as_nanos() / u128::from(rounds)
}

fn print_times(engines: usize, streams: u32) {
    let mut bench = ReducerBench::new(engines);
    let streams_held: Vec<RequestTicket> = (0..streams).map(|_| bench.submit(10)).collect();
    let mut open = Vec::new();
    let submit = time(ROUNDS, |_| open.push(bench.submit(10)));
    let end = time(ROUNDS, |round| bench.end(open[round as usize]));
    let progress = time(ROUNDS, |round| {
        let ticket = streams_held[round as usize % streams_held.len()];
        bench.progress(ticket, 1 + round / streams * 8);
    });
    let report = time(ROUNDS, |round| bench.report(round as usize % engines, 20));
    let tick = time(1_000, |_| bench.step(Event::Tick));
    println!("{engines:>7} {streams:>7} {submit:>9} {progress:>9} {end:>9} {report:>9} {tick:>9}");
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = text.split_whitespace().nth(1).map(str::parse::<u64>);
    pages.expect("two fields").expect("a number") * PAGE_BYTES
}

fn print_memory(name: &str, count: u64, before: u64) {
    let bytes = resident_bytes().saturating_sub(before) / count;
    println!("{name}: {bytes} bytes ({count} of them)");
}

/// Prints the memory of each kind of state. Nothing is freed in between, because freed memory would
/// be reused and distort the next figure.
fn print_all_memory() {
    println!("resident memory");
    let before = resident_bytes();
    let mut fleet = ReducerBench::new(16_000);
    print_memory("engine with an empty prefix cache", 16_000, before);
    let before = resident_bytes();
    for index in 0..1_600 {
        let first = index as u64 * 1_000_000;
        fleet.step(Event::CacheChanged {
            address: address(index),
            stored: (first..first + 1_024).collect(),
            removed: Vec::new(),
            gap: false,
        });
    }
    print_memory("full prefix cache", 1_600, before);
    let mut bench = ReducerBench::new(20);
    let before = resident_bytes();
    for _ in 0..4_000 {
        let ticket = bench.submit(4_000);
        bench.end(ticket);
    }
    print_memory("team with one class", 4_000, before);
    let before = resident_bytes();
    for _ in 0..100_000 {
        bench.submit(4_000);
    }
    print_memory("stream", 100_000, before);
}

fn main() {
    print_all_memory();
    println!("time per event in ns");
    println!("engines streams    submit  progress       end    report      tick");
    for engines in [20, 100, 400] {
        for streams in [100, 1_000, 10_000] {
            print_times(engines, streams);
        }
    }
}
