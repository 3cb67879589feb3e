//! The statements of the rules file and their grammar.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use winnow::ascii::{dec_uint, float, space1};
use winnow::combinator::{alt, cut_err, eof, preceded, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// The urgency of a class. The derived order puts the most urgent first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Priority {
    /// Served before all others.
    High,
    /// The priority of a class without a rule.
    #[default]
    Normal,
    /// Served after all others.
    Low,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// The `priority` field of an engine request: a lower number is more urgent.
    #[must_use]
    pub fn engine_value(self) -> i32 {
        match self {
            Self::High => 0,
            Self::Normal => 10,
            Self::Low => 20,
        }
    }

    /// The position in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }
}

/// How a model's requests are placed on engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum RoutePolicy {
    /// Admission by memory forecast, with the queue in the daemon.
    #[default]
    Forecast,
    /// Engines in turn.
    RoundRobin,
    /// The engine with the fewest requests of this daemon.
    LeastOutstanding,
    /// The less loaded of two random engines.
    TwoChoices,
}

/// One rule.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// `team NAME token sha256:HEX`
    TeamToken {
        /// The team which the token proves.
        team: TeamName,
        /// SHA-256 of the token.
        digest: [u8; 32],
    },
    /// `limit team NAME RATE requests/s burst N`
    TeamLimit {
        /// The limited team.
        team: TeamName,
        /// Requests per second.
        rate: f64,
        /// Requests which may come at once after a pause.
        burst: u32,
    },
    /// `share team NAME WEIGHT`
    TeamShare {
        /// The team.
        team: TeamName,
        /// Its weight against other teams in the admission queue.
        weight: f64,
    },
    /// `class NAME priority high|normal|low`
    ClassPriority {
        /// The class.
        class: ClassName,
        /// Its priority.
        priority: Priority,
    },
    /// `weigh preemptions W stall W`
    Weigh {
        /// Weight of preemptions.
        preemptions: f64,
        /// Weight of stall time.
        stall: f64,
    },
    /// `route MODEL policy P`
    Route {
        /// The model.
        model: ModelName,
        /// Its policy.
        policy: RoutePolicy,
    },
    /// `memory ceiling PERCENT%`
    MemoryCeiling {
        /// Part of an engine's memory which forecasts may fill, 0 to 1.
        fraction: f64,
    },
    /// `retry budget PERCENT%`
    RetryBudget {
        /// Further attempts per request, 0 to 1.
        fraction: f64,
    },
    /// `address lifetime SECONDS s`
    AddressLifetime {
        /// How long callers keep an address answer.
        lifetime: Duration,
    },
    /// `queue limit N wait SECONDS s`
    QueueLimit {
        /// Requests which may wait in one daemon.
        max_length: u32,
        /// The longest wait.
        max_wait: Duration,
    },
    /// `keep region MODEL REGION`
    KeepRegion {
        /// The model.
        model: ModelName,
        /// The region which its requests never leave.
        region: RegionName,
    },
    /// `drain target ADDRESS`
    DrainTarget {
        /// The target which gets no new work.
        address: TargetAddress,
    },
    /// `refuse team NAME`
    RefuseTeam {
        /// The team whose requests are refused.
        team: TeamName,
    },
    /// `unblock DIGEST`
    Unblock {
        /// The request whose quarantine is lifted.
        digest: RequestDigest,
    },
}

type Failure = ErrMode<ContextError>;

/// Parses one statement without its comment.
///
/// # Errors
/// A sentence that says what was expected and where.
pub fn parse_statement(text: &str) -> Result<Statement, String> {
    terminated(statement, eof.context(expected("the end of the statement")))
        .parse(text)
        .map_err(|error| {
            let rest = text.get(error.offset()..).unwrap_or_default();
            let found = if rest.is_empty() {
                "the end".to_owned()
            } else {
                format!("\"{rest}\"")
            };
            let wanted: Vec<String> = error.inner().context().map(ToString::to_string).collect();
            if wanted.is_empty() {
                format!("unknown statement at {found}")
            } else {
                format!("at {found}: expected {}", wanted.join(" or "))
            }
        })
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn statement(input: &mut &str) -> Result<Statement, Failure> {
    alt((
        preceded(("team", space1), cut_err(team_token)),
        preceded(("limit", space1, "team", space1), cut_err(team_limit)),
        preceded(("share", space1, "team", space1), cut_err(team_share)),
        preceded(("class", space1), cut_err(class_priority)),
        preceded(("weigh", space1), cut_err(weigh)),
        preceded(("route", space1), cut_err(route)),
        preceded(
            ("memory", space1, "ceiling", space1),
            cut_err(memory_ceiling),
        ),
        preceded(("retry", space1, "budget", space1), cut_err(retry_budget)),
        preceded(
            ("address", space1, "lifetime", space1),
            cut_err(address_lifetime),
        ),
        alt((
            preceded(("queue", space1, "limit", space1), cut_err(queue_limit)),
            preceded(("keep", space1, "region", space1), cut_err(keep_region)),
            preceded(("drain", space1, "target", space1), cut_err(drain_target)),
            preceded(("refuse", space1, "team", space1), cut_err(refuse_team)),
            preceded(("unblock", space1), cut_err(unblock)),
        )),
    ))
    .parse_next(input)
}

fn name<'i>(input: &mut &'i str) -> Result<&'i str, Failure> {
    take_while(1..=64, |c: char| {
        c.is_ascii_alphanumeric() || "-_.".contains(c)
    })
    .context(expected(
        "a name of letters, digits, '-', '_' or '.', 64 at most",
    ))
    .parse_next(input)
}

fn word(text: &'static str) -> impl FnMut(&mut &str) -> Result<(), Failure> {
    move |input| {
        (space1, text)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
            .parse_next(input)
    }
}

fn digest(input: &mut &str) -> Result<[u8; 32], Failure> {
    take_while(64, |c: char| c.is_ascii_hexdigit())
        .try_map(str::parse::<RequestDigest>)
        .map(|digest| digest.0)
        .context(expected("64 hexadecimal digits"))
        .parse_next(input)
}

fn weight(input: &mut &str) -> Result<f64, Failure> {
    float
        .verify(|value: &f64| (0.0..=1_000_000.0).contains(value))
        .context(expected("a number from 0 to 1000000"))
        .parse_next(input)
}

fn positive(input: &mut &str) -> Result<f64, Failure> {
    weight
        .verify(|value| *value > 0.0)
        .context(expected("a number above 0"))
        .parse_next(input)
}

fn percent(input: &mut &str) -> Result<f64, Failure> {
    terminated(float::<_, f64, Failure>, "%")
        .verify(|value: &f64| (0.0..=100.0).contains(value))
        .map(|value| value / 100.0)
        .context(expected("a percentage from 0% to 100%"))
        .parse_next(input)
}

fn seconds(input: &mut &str) -> Result<Duration, Failure> {
    terminated(float::<_, f64, Failure>, (space1, "s"))
        .verify(|value: &f64| (0.0..=86_400.0).contains(value))
        .map(Duration::from_secs_f64)
        .context(expected("seconds from 0 to 86400, written like \"5 s\""))
        .parse_next(input)
}

fn count(input: &mut &str) -> Result<u32, Failure> {
    dec_uint
        .context(expected("a whole number"))
        .parse_next(input)
}

fn team_token(input: &mut &str) -> Result<Statement, Failure> {
    let team = TeamName::new(name.parse_next(input)?);
    word("token").parse_next(input)?;
    word("sha256:").parse_next(input)?;
    let digest = digest.parse_next(input)?;
    Ok(Statement::TeamToken { team, digest })
}

fn team_limit(input: &mut &str) -> Result<Statement, Failure> {
    let team = TeamName::new(name.parse_next(input)?);
    let rate = preceded(space1, weight).parse_next(input)?;
    word("requests/s").parse_next(input)?;
    word("burst").parse_next(input)?;
    // A burst of 0 would admit nothing; "refuse team" says that openly.
    let burst = preceded(space1, count.verify(|burst| *burst > 0))
        .context(expected("a whole number above 0"))
        .parse_next(input)?;
    Ok(Statement::TeamLimit { team, rate, burst })
}

fn team_share(input: &mut &str) -> Result<Statement, Failure> {
    let team = TeamName::new(name.parse_next(input)?);
    let weight = preceded(space1, positive).parse_next(input)?;
    Ok(Statement::TeamShare { team, weight })
}

fn class_priority(input: &mut &str) -> Result<Statement, Failure> {
    let class = ClassName::new(name.parse_next(input)?);
    word("priority").parse_next(input)?;
    let priority = preceded(
        space1,
        alt((
            "high".value(Priority::High),
            "normal".value(Priority::Normal),
            "low".value(Priority::Low),
        )),
    )
    .context(expected("high, normal or low"))
    .parse_next(input)?;
    Ok(Statement::ClassPriority { class, priority })
}

fn weigh(input: &mut &str) -> Result<Statement, Failure> {
    ("preemptions", space1)
        .context(StrContext::Expected(StrContextValue::StringLiteral(
            "preemptions",
        )))
        .parse_next(input)?;
    let preemptions = weight.parse_next(input)?;
    word("stall").parse_next(input)?;
    let stall = preceded(space1, weight).parse_next(input)?;
    Ok(Statement::Weigh { preemptions, stall })
}

fn route(input: &mut &str) -> Result<Statement, Failure> {
    let model = ModelName::new(name.parse_next(input)?);
    word("policy").parse_next(input)?;
    let policy = preceded(
        space1,
        alt((
            "forecast".value(RoutePolicy::Forecast),
            "round-robin".value(RoutePolicy::RoundRobin),
            "least-outstanding".value(RoutePolicy::LeastOutstanding),
            "two-choices".value(RoutePolicy::TwoChoices),
        )),
    )
    .context(expected(
        "forecast, round-robin, least-outstanding or two-choices",
    ))
    .parse_next(input)?;
    Ok(Statement::Route { model, policy })
}

fn memory_ceiling(input: &mut &str) -> Result<Statement, Failure> {
    percent
        .map(|fraction| Statement::MemoryCeiling { fraction })
        .parse_next(input)
}

fn retry_budget(input: &mut &str) -> Result<Statement, Failure> {
    percent
        .map(|fraction| Statement::RetryBudget { fraction })
        .parse_next(input)
}

fn address_lifetime(input: &mut &str) -> Result<Statement, Failure> {
    seconds
        .map(|lifetime| Statement::AddressLifetime { lifetime })
        .parse_next(input)
}

fn queue_limit(input: &mut &str) -> Result<Statement, Failure> {
    let max_length = count.parse_next(input)?;
    word("wait").parse_next(input)?;
    let max_wait = preceded(space1, seconds).parse_next(input)?;
    Ok(Statement::QueueLimit {
        max_length,
        max_wait,
    })
}

fn keep_region(input: &mut &str) -> Result<Statement, Failure> {
    let model = ModelName::new(name.parse_next(input)?);
    let region = RegionName::new(preceded(space1, name).parse_next(input)?);
    Ok(Statement::KeepRegion { model, region })
}

fn drain_target(input: &mut &str) -> Result<Statement, Failure> {
    take_while(1.., |c: char| !c.is_whitespace())
        .try_map(str::parse::<SocketAddr>)
        .map(|address| Statement::DrainTarget { address })
        .context(expected("an address like 10.0.0.5:8000"))
        .parse_next(input)
}

fn refuse_team(input: &mut &str) -> Result<Statement, Failure> {
    name.map(|team| Statement::RefuseTeam {
        team: TeamName::new(team),
    })
    .parse_next(input)
}

fn unblock(input: &mut &str) -> Result<Statement, Failure> {
    digest
        .map(|bytes| Statement::Unblock {
            digest: RequestDigest(bytes),
        })
        .parse_next(input)
}
