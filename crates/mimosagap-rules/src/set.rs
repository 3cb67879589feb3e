//! The compiled form of one revision of the rules file.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::line::{LineError, RuleLine, parse_rules};
use crate::statement::{Priority, RoutePolicy, Statement};

/// Maximum size of the rules file, in bytes. The store limits a value to 1 MB; the rest is room for
/// the envelope.
pub const MAX_FILE_BYTES: usize = 950_000;

/// Rate limit of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimit {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Requests admitted at once after an idle period.
    pub burst: u32,
    /// Rule that sets the limit.
    pub rule: RuleReference,
}

/// Relative weights of preemptions and stall time in placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Weight of preemptions.
    pub preemptions: f64,
    /// Weight of stall time.
    pub stall: f64,
}

/// Limits of one daemon's admission queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueLimit {
    /// Maximum number of waiting requests.
    pub max_length: u32,
    /// Maximum time a request waits.
    pub max_wait: Duration,
    /// Rule that sets the limits; `None` if the defaults apply.
    pub rule: Option<RuleReference>,
}

/// Fraction of an engine's memory that forecasts may fill, 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryCeiling(pub f64);

/// One revision of the rules, indexed for lookups by team, class, model and target.
#[derive(Debug, Clone)]
pub struct RuleSet {
    /// Revision of the file.
    pub revision: RulesRevision,
    /// Source text of the file.
    pub text: Arc<str>,
    token_digests: HashMap<[u8; 32], TeamName>,
    team_limits: HashMap<TeamName, TeamLimit>,
    team_weights: HashMap<TeamName, f64>,
    class_priorities: HashMap<ClassName, Priority>,
    route_policies: HashMap<ModelName, RoutePolicy>,
    required_regions: HashMap<ModelName, (RegionName, RuleReference)>,
    drain_rules: HashMap<TargetAddress, RuleReference>,
    refusal_rules: HashMap<TeamName, RuleReference>,
    unblocked_digests: HashSet<RequestDigest>,
    placement_weights: PlacementWeights,
    memory_ceiling: MemoryCeiling,
    retry_fraction: f64,
    address_lifetime: Duration,
    queue_limit: QueueLimit,
}

impl RuleSet {
    /// Rules of a fleet without a rules file: revision 0, default limits, no known team.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: RulesRevision(0),
            text: Arc::from(""),
            token_digests: HashMap::new(),
            team_limits: HashMap::new(),
            team_weights: HashMap::new(),
            class_priorities: HashMap::new(),
            route_policies: HashMap::new(),
            required_regions: HashMap::new(),
            drain_rules: HashMap::new(),
            refusal_rules: HashMap::new(),
            unblocked_digests: HashSet::new(),
            placement_weights: PlacementWeights {
                preemptions: 1.0,
                stall: 1.0,
            },
            memory_ceiling: MemoryCeiling(0.9),
            retry_fraction: 0.1,
            address_lifetime: Duration::from_secs(5),
            queue_limit: QueueLimit {
                max_length: 1_000,
                max_wait: Duration::from_secs(30),
                rule: None,
            },
        }
    }

    /// Compiles the text of a rules file.
    ///
    /// # Errors
    /// One error for each invalid line, or one for a file that is too large. A second statement on
    /// the same subject is invalid, because an auditor could not tell which of the two is in force.
    pub fn compile(revision: RulesRevision, text: &str) -> Result<Self, Vec<LineError>> {
        if text.len() > MAX_FILE_BYTES {
            let cause = format!("the file has {} bytes", text.len());
            return Err(vec![LineError::new(
                1,
                cause,
                "shorten it to at most 950000 bytes",
            )]);
        }
        let lines = parse_rules(text)?;
        let mut set = Self {
            revision,
            text: Arc::from(text),
            ..Self::empty()
        };
        let mut subjects = HashMap::new();
        let mut errors = Vec::new();
        for line in lines {
            if let Some(first_line) = subjects.insert(subject(&line.statement), line.line_number) {
                let cause = format!("sets the same subject as line {first_line}");
                errors.push(LineError::new(
                    line.line_number,
                    cause,
                    "keep one of the two lines",
                ));
            } else {
                set.apply(line);
            }
        }
        if errors.is_empty() {
            Ok(set)
        } else {
            Err(errors)
        }
    }

    fn apply(&mut self, line: RuleLine) {
        let rule = RuleReference {
            revision: self.revision,
            line: line.line_number,
            asked_by: line.asked_by,
        };
        match line.statement {
            Statement::TeamToken { team, digest } => {
                self.token_digests.insert(digest, team);
            }
            Statement::TeamLimit { team, rate, burst } => {
                self.team_limits
                    .insert(team, TeamLimit { rate, burst, rule });
            }
            Statement::TeamShare { team, weight } => {
                self.team_weights.insert(team, weight);
            }
            Statement::ClassPriority { class, priority } => {
                self.class_priorities.insert(class, priority);
            }
            Statement::PlacementWeights { preemptions, stall } => {
                self.placement_weights = PlacementWeights { preemptions, stall };
            }
            Statement::Route { model, policy } => {
                self.route_policies.insert(model, policy);
            }
            Statement::MemoryCeiling { fraction } => self.memory_ceiling = MemoryCeiling(fraction),
            Statement::RetryBudget { fraction } => self.retry_fraction = fraction,
            Statement::AddressLifetime { lifetime } => self.address_lifetime = lifetime,
            Statement::QueueLimit {
                max_length,
                max_wait,
            } => {
                self.queue_limit = QueueLimit {
                    max_length,
                    max_wait,
                    rule: Some(rule),
                };
            }
            Statement::KeepRegion { model, region } => {
                self.required_regions.insert(model, (region, rule));
            }
            Statement::DrainTarget { address } => {
                self.drain_rules.insert(address, rule);
            }
            Statement::RefuseTeam { team } => {
                self.refusal_rules.insert(team, rule);
            }
            Statement::Unblock { digest } => {
                self.unblocked_digests.insert(digest);
            }
        }
    }

    /// Iterates over the SHA-256 digests of all team tokens. The caller compares them in constant
    /// time.
    pub fn token_digests(&self) -> impl Iterator<Item = (&[u8; 32], &TeamName)> {
        self.token_digests.iter()
    }

    /// Returns the team whose token has this SHA-256 digest.
    ///
    /// The lookup by digest is not constant-time: its timing can reveal the digest, but the token
    /// cannot be derived from it.
    #[must_use]
    pub fn team_by_token(&self, digest: &[u8; 32]) -> Option<&TeamName> {
        self.token_digests.get(digest)
    }

    /// Rate limit of a team; `None` means unlimited.
    #[must_use]
    pub fn team_limit(&self, team: &TeamName) -> Option<&TeamLimit> {
        self.team_limits.get(team)
    }

    /// Iterates over all teams with a rate limit.
    pub fn team_limits(&self) -> impl Iterator<Item = (&TeamName, &TeamLimit)> {
        self.team_limits.iter()
    }

    /// Weight of a team in the admission queue; 1 without a rule.
    #[must_use]
    pub fn team_weight(&self, team: &TeamName) -> f64 {
        self.team_weights.get(team).copied().unwrap_or(1.0)
    }

    /// Priority of a class; [`Priority::Normal`] without a rule.
    #[must_use]
    pub fn class_priority(&self, class: &ClassName) -> Priority {
        self.class_priorities
            .get(class)
            .copied()
            .unwrap_or_default()
    }

    /// Route policy of a model; [`RoutePolicy::Forecast`] without a rule.
    #[must_use]
    pub fn route_policy(&self, model: &ModelName) -> RoutePolicy {
        self.route_policies.get(model).copied().unwrap_or_default()
    }

    /// Region that requests for a model must not leave, with the rule that says so.
    #[must_use]
    pub fn required_region(&self, model: &ModelName) -> Option<&(RegionName, RuleReference)> {
        self.required_regions.get(model)
    }

    /// Rule that drains a target; `None` if the target is not drained.
    #[must_use]
    pub fn drain_rule(&self, address: &TargetAddress) -> Option<&RuleReference> {
        self.drain_rules.get(address)
    }

    /// Rule that refuses the requests of a team; `None` if they are admitted.
    #[must_use]
    pub fn refusal_rule(&self, team: &TeamName) -> Option<&RuleReference> {
        self.refusal_rules.get(team)
    }

    /// Whether a rule lifts the quarantine of requests with this digest.
    #[must_use]
    pub fn is_unblocked(&self, digest: &RequestDigest) -> bool {
        self.unblocked_digests.contains(digest)
    }

    /// Weights of preemptions and stall time; equal without a rule.
    #[must_use]
    pub fn placement_weights(&self) -> PlacementWeights {
        self.placement_weights
    }

    /// Fraction of an engine's memory that forecasts may fill; 0.9 without a rule.
    #[must_use]
    pub fn memory_ceiling(&self) -> MemoryCeiling {
        self.memory_ceiling
    }

    /// Retries that a daemon may spend per request, 0 to 1; 0.1 without a rule.
    #[must_use]
    pub fn retry_fraction(&self) -> f64 {
        self.retry_fraction
    }

    /// How long callers may cache the list of daemon addresses; 5 s without a rule.
    #[must_use]
    pub fn address_lifetime(&self) -> Duration {
        self.address_lifetime
    }

    /// Limits of the admission queue.
    #[must_use]
    pub fn queue_limit(&self) -> &QueueLimit {
        &self.queue_limit
    }
}

/// Identifies what a statement sets. Two lines with the same subject conflict, even if they are
/// equal.
fn subject(statement: &Statement) -> String {
    match statement {
        Statement::TeamToken { digest, .. } => format!("token {}", RequestDigest(*digest)),
        Statement::TeamLimit { team, .. } => format!("limit {team}"),
        Statement::TeamShare { team, .. } => format!("share {team}"),
        Statement::ClassPriority { class, .. } => format!("class {class}"),
        Statement::PlacementWeights { .. } => "weigh".to_owned(),
        Statement::Route { model, .. } => format!("route {model}"),
        Statement::MemoryCeiling { .. } => "memory ceiling".to_owned(),
        Statement::RetryBudget { .. } => "retry budget".to_owned(),
        Statement::AddressLifetime { .. } => "address lifetime".to_owned(),
        Statement::QueueLimit { .. } => "queue limit".to_owned(),
        Statement::KeepRegion { model, .. } => format!("region {model}"),
        Statement::DrainTarget { address } => format!("drain {address}"),
        Statement::RefuseTeam { team } => format!("refuse {team}"),
        Statement::Unblock { digest } => format!("unblock {digest}"),
    }
}
