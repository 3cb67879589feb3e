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

/// Scheduling priority of a class. The derived order puts the most urgent first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Priority {
    /// Served before all other priorities.
    High,
    /// Default for classes without a rule.
    #[default]
    Normal,
    /// Served after all other priorities.
    Low,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Value of the `priority` field of an engine request; a lower number is more urgent.
    #[must_use]
    pub fn engine_value(self) -> i32 {
        match self {
            Self::High => 0,
            Self::Normal => 10,
            Self::Low => 20,
        }
    }

    /// Index into [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }
}

/// Policy by which requests for a model are placed on engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum RoutePolicy {
    /// Admits by memory forecast; the daemon queues requests that do not fit.
    #[default]
    Forecast,
    /// Uses the engines in turn.
    RoundRobin,
    /// Uses the engine with the fewest outstanding requests of this daemon.
    LeastOutstanding,
    /// Uses the less loaded of two random engines.
    TwoChoices,
}

/// A parsed statement of the rules file.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// `team NAME token sha256:HEX`
    TeamToken {
        /// Team that the token authenticates.
        team: TeamName,
        /// SHA-256 digest of the token.
        digest: [u8; 32],
    },
    /// `limit team NAME RATE requests/s burst N`
    TeamLimit {
        /// Team whose rate is limited.
        team: TeamName,
        /// Sustained rate, in requests per second.
        rate: f64,
        /// Requests admitted at once after an idle period.
        burst: u32,
    },
    /// `share team NAME WEIGHT`
    TeamShare {
        /// Team whose queued requests are weighted.
        team: TeamName,
        /// Weight relative to other teams in the admission queue.
        weight: f64,
    },
    /// `class NAME priority high|normal|low`
    ClassPriority {
        /// Class whose requests get the priority.
        class: ClassName,
        /// Priority of its requests.
        priority: Priority,
    },
    /// `weigh preemptions W stall W`
    PlacementWeights {
        /// Weight of preemptions.
        preemptions: f64,
        /// Weight of stall time.
        stall: f64,
    },
    /// `route MODEL policy P`
    Route {
        /// Model that the requests ask for.
        model: ModelName,
        /// Policy that places them.
        policy: RoutePolicy,
    },
    /// `memory ceiling PERCENT%`
    MemoryCeiling {
        /// Fraction of an engine's memory that forecasts may fill, 0 to 1.
        fraction: f64,
    },
    /// `retry budget PERCENT%`
    RetryBudget {
        /// Retries that a daemon may spend per request, 0 to 1.
        fraction: f64,
    },
    /// `address lifetime SECONDS s`
    AddressLifetime {
        /// How long callers may cache the list of daemon addresses.
        lifetime: Duration,
    },
    /// `queue limit N wait SECONDS s`
    QueueLimit {
        /// Maximum number of requests that wait in one daemon.
        max_length: u32,
        /// Maximum time a request waits.
        max_wait: Duration,
    },
    /// `keep region MODEL REGION`
    KeepRegion {
        /// Model that the requests ask for.
        model: ModelName,
        /// Region that its requests must not leave.
        region: RegionName,
    },
    /// `drain target ADDRESS`
    DrainTarget {
        /// Target that gets no new requests.
        address: TargetAddress,
    },
    /// `refuse team NAME`
    RefuseTeam {
        /// Team whose requests are refused.
        team: TeamName,
    },
    /// `unblock DIGEST`
    Unblock {
        /// Digest of the requests whose quarantine is lifted.
        digest: RequestDigest,
    },
}

type StatementError = ErrMode<ContextError>;

/// Parses a statement, without the comment of its line.
///
/// # Errors
/// A message that says what was expected and where.
pub fn parse_statement(text: &str) -> Result<Statement, String> {
    terminated(statement, eof.context(expected("the end of the statement")))
        .parse(text)
        .map_err(|error| {
            let remaining_input = text.get(error.offset()..).unwrap_or_default();
            let found = if remaining_input.is_empty() {
                "the end of the statement".to_owned()
            } else {
                format!("\"{remaining_input}\"")
            };
            let expectations: Vec<String> =
                error.inner().context().map(ToString::to_string).collect();
            if expectations.is_empty() {
                format!("unknown statement at {found}")
            } else {
                format!("at {found}: expected {}", expectations.join(" or "))
            }
        })
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn statement(input: &mut &str) -> Result<Statement, StatementError> {
    alt((
        preceded(("team", space1), cut_err(team_token)),
        preceded(("limit", space1, "team", space1), cut_err(team_limit)),
        preceded(("share", space1, "team", space1), cut_err(team_share)),
        preceded(("class", space1), cut_err(class_priority)),
        preceded(("weigh", space1), cut_err(placement_weights)),
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

fn identifier<'i>(input: &mut &'i str) -> Result<&'i str, StatementError> {
    take_while(1..=64, |c: char| {
        c.is_ascii_alphanumeric() || "-_.".contains(c)
    })
    .context(expected(
        "a name of letters, digits, '-', '_' or '.', 64 at most",
    ))
    .parse_next(input)
}

fn keyword(text: &'static str) -> impl FnMut(&mut &str) -> Result<(), StatementError> {
    move |input| {
        (space1, text)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
            .parse_next(input)
    }
}

fn digest(input: &mut &str) -> Result<[u8; 32], StatementError> {
    take_while(64, |c: char| c.is_ascii_hexdigit())
        .try_map(str::parse::<RequestDigest>)
        .map(|digest| digest.0)
        .context(expected("64 hexadecimal digits"))
        .parse_next(input)
}

fn weight(input: &mut &str) -> Result<f64, StatementError> {
    float
        .verify(|value: &f64| (0.0..=1_000_000.0).contains(value))
        .context(expected("a number from 0 to 1000000"))
        .parse_next(input)
}

fn positive_weight(input: &mut &str) -> Result<f64, StatementError> {
    weight
        .verify(|value| *value > 0.0)
        .context(expected("a number above 0"))
        .parse_next(input)
}

fn percent(input: &mut &str) -> Result<f64, StatementError> {
    terminated(float::<_, f64, StatementError>, "%")
        .verify(|value: &f64| (0.0..=100.0).contains(value))
        .map(|value| value / 100.0)
        .context(expected("a percentage from 0% to 100%"))
        .parse_next(input)
}

fn seconds(input: &mut &str) -> Result<Duration, StatementError> {
    terminated(float::<_, f64, StatementError>, (space1, "s"))
        .verify(|value: &f64| (0.0..=86_400.0).contains(value))
        .map(Duration::from_secs_f64)
        .context(expected("seconds from 0 to 86400, written like \"5 s\""))
        .parse_next(input)
}

fn count(input: &mut &str) -> Result<u32, StatementError> {
    dec_uint
        .context(expected("a whole number"))
        .parse_next(input)
}

fn team_token(input: &mut &str) -> Result<Statement, StatementError> {
    let team = TeamName::new(identifier.parse_next(input)?);
    keyword("token").parse_next(input)?;
    keyword("sha256:").parse_next(input)?;
    let digest = digest.parse_next(input)?;
    Ok(Statement::TeamToken { team, digest })
}

fn team_limit(input: &mut &str) -> Result<Statement, StatementError> {
    let team = TeamName::new(identifier.parse_next(input)?);
    let rate = preceded(space1, weight).parse_next(input)?;
    keyword("requests/s").parse_next(input)?;
    keyword("burst").parse_next(input)?;
    // A burst of 0 would admit nothing; "refuse team" is the statement for that.
    let burst = preceded(space1, count.verify(|burst| *burst > 0))
        .context(expected("a whole number above 0"))
        .parse_next(input)?;
    Ok(Statement::TeamLimit { team, rate, burst })
}

fn team_share(input: &mut &str) -> Result<Statement, StatementError> {
    let team = TeamName::new(identifier.parse_next(input)?);
    let weight = preceded(space1, positive_weight).parse_next(input)?;
    Ok(Statement::TeamShare { team, weight })
}

fn class_priority(input: &mut &str) -> Result<Statement, StatementError> {
    let class = ClassName::new(identifier.parse_next(input)?);
    keyword("priority").parse_next(input)?;
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

fn placement_weights(input: &mut &str) -> Result<Statement, StatementError> {
    ("preemptions", space1)
        .context(StrContext::Expected(StrContextValue::StringLiteral(
            "preemptions",
        )))
        .parse_next(input)?;
    let preemptions = weight.parse_next(input)?;
    keyword("stall").parse_next(input)?;
    let stall = preceded(space1, weight).parse_next(input)?;
    Ok(Statement::PlacementWeights { preemptions, stall })
}

fn route(input: &mut &str) -> Result<Statement, StatementError> {
    let model = ModelName::new(identifier.parse_next(input)?);
    keyword("policy").parse_next(input)?;
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

fn memory_ceiling(input: &mut &str) -> Result<Statement, StatementError> {
    percent
        .map(|fraction| Statement::MemoryCeiling { fraction })
        .parse_next(input)
}

fn retry_budget(input: &mut &str) -> Result<Statement, StatementError> {
    percent
        .map(|fraction| Statement::RetryBudget { fraction })
        .parse_next(input)
}

fn address_lifetime(input: &mut &str) -> Result<Statement, StatementError> {
    seconds
        .map(|lifetime| Statement::AddressLifetime { lifetime })
        .parse_next(input)
}

fn queue_limit(input: &mut &str) -> Result<Statement, StatementError> {
    let max_length = count.parse_next(input)?;
    keyword("wait").parse_next(input)?;
    let max_wait = preceded(space1, seconds).parse_next(input)?;
    Ok(Statement::QueueLimit {
        max_length,
        max_wait,
    })
}

fn keep_region(input: &mut &str) -> Result<Statement, StatementError> {
    let model = ModelName::new(identifier.parse_next(input)?);
    let region = RegionName::new(preceded(space1, identifier).parse_next(input)?);
    Ok(Statement::KeepRegion { model, region })
}

fn drain_target(input: &mut &str) -> Result<Statement, StatementError> {
    take_while(1.., |c: char| !c.is_whitespace())
        .try_map(str::parse::<SocketAddr>)
        .map(|address| Statement::DrainTarget { address })
        .context(expected("an address like 10.0.0.5:8000"))
        .parse_next(input)
}

fn refuse_team(input: &mut &str) -> Result<Statement, StatementError> {
    identifier
        .map(|team| Statement::RefuseTeam {
            team: TeamName::new(team),
        })
        .parse_next(input)
}

fn unblock(input: &mut &str) -> Result<Statement, StatementError> {
    digest
        .map(|bytes| Statement::Unblock {
            digest: RequestDigest(bytes),
        })
        .parse_next(input)
}
