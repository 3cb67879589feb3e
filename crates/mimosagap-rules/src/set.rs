//! A compiled revision of the rules file.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::line::{LineError, RuleLine, parse_rules};
use crate::statement::{Priority, RoutePolicy, Statement};

/// The largest rules file, in bytes: the store's value limit of 1 MB less room for the envelope.
pub const MAX_FILE_BYTES: usize = 950_000;

/// A team's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests which may come at once after a pause.
    pub burst: u32,
    /// The rule behind it.
    pub rule: RuleReference,
}

/// How much each measure counts in placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementWeights {
    /// Weight of preemptions.
    pub preemptions: f64,
    /// Weight of stall time.
    pub stall: f64,
}

/// Bounds of one daemon's admission queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueLimit {
    /// Requests which may wait.
    pub max_length: u32,
    /// The longest wait.
    pub max_wait: Duration,
    /// The rule behind it, if there is one.
    pub rule: Option<RuleReference>,
}

/// The part of an engine's memory which forecasts may fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryCeiling(pub f64);

/// One revision of the rules, ready for look-ups.
#[derive(Debug, Clone)]
pub struct RuleSet {
    /// The revision.
    pub revision: RulesRevision,
    /// The file's text.
    pub text: Arc<str>,
    tokens: HashMap<[u8; 32], TeamName>,
    limits: HashMap<TeamName, TeamLimit>,
    shares: HashMap<TeamName, f64>,
    priorities: HashMap<ClassName, Priority>,
    policies: HashMap<ModelName, RoutePolicy>,
    regions: HashMap<ModelName, (RegionName, RuleReference)>,
    drained: HashMap<TargetAddress, RuleReference>,
    refused: HashMap<TeamName, RuleReference>,
    unblocked: HashSet<RequestDigest>,
    weights: PlacementWeights,
    ceiling: MemoryCeiling,
    retry_fraction: f64,
    address_lifetime: Duration,
    queue: QueueLimit,
}

impl RuleSet {
    /// The rules of a fleet whose operators wrote none: no team is known.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            revision: RulesRevision(0),
            text: Arc::from(""),
            tokens: HashMap::new(),
            limits: HashMap::new(),
            shares: HashMap::new(),
            priorities: HashMap::new(),
            policies: HashMap::new(),
            regions: HashMap::new(),
            drained: HashMap::new(),
            refused: HashMap::new(),
            unblocked: HashSet::new(),
            weights: PlacementWeights {
                preemptions: 1.0,
                stall: 1.0,
            },
            ceiling: MemoryCeiling(0.9),
            retry_fraction: 0.1,
            address_lifetime: Duration::from_secs(5),
            queue: QueueLimit {
                max_length: 1_000,
                max_wait: Duration::from_secs(30),
                rule: None,
            },
        }
    }

    /// Compiles a file.
    ///
    /// # Errors
    /// Every bad line; a statement that says something else about the same subject as an earlier
    /// line is bad, because an auditor could not tell which of the two is in force.
    pub fn compile(revision: RulesRevision, text: &str) -> Result<Self, Vec<LineError>> {
        if text.len() > MAX_FILE_BYTES {
            let cause = format!("the file has {} bytes", text.len());
            return Err(vec![LineError::new(1, cause, "shorten it to 950000 bytes")]);
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
            if let Some(first) = subjects.insert(subject(&line.statement), line.line_number) {
                let cause = format!("repeats the subject of line {first}");
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
                self.tokens.insert(digest, team);
            }
            Statement::TeamLimit { team, rate, burst } => {
                self.limits.insert(team, TeamLimit { rate, burst, rule });
            }
            Statement::TeamShare { team, weight } => {
                self.shares.insert(team, weight);
            }
            Statement::ClassPriority { class, priority } => {
                self.priorities.insert(class, priority);
            }
            Statement::Weigh { preemptions, stall } => {
                self.weights = PlacementWeights { preemptions, stall };
            }
            Statement::Route { model, policy } => {
                self.policies.insert(model, policy);
            }
            Statement::MemoryCeiling { fraction } => self.ceiling = MemoryCeiling(fraction),
            Statement::RetryBudget { fraction } => self.retry_fraction = fraction,
            Statement::AddressLifetime { lifetime } => self.address_lifetime = lifetime,
            Statement::QueueLimit {
                max_length,
                max_wait,
            } => {
                self.queue = QueueLimit {
                    max_length,
                    max_wait,
                    rule: Some(rule),
                };
            }
            Statement::KeepRegion { model, region } => {
                self.regions.insert(model, (region, rule));
            }
            Statement::DrainTarget { address } => {
                self.drained.insert(address, rule);
            }
            Statement::RefuseTeam { team } => {
                self.refused.insert(team, rule);
            }
            Statement::Unblock { digest } => {
                self.unblocked.insert(digest);
            }
        }
    }

    /// The digests of all tokens with their teams; callers compare in constant time.
    pub fn token_digests(&self) -> impl Iterator<Item = (&[u8; 32], &TeamName)> {
        self.tokens.iter()
    }

    /// The team whose token has this SHA-256 digest.
    ///
    /// The look-up is by digest: its timing can reveal only the digest, which does not give the
    /// token.
    #[must_use]
    pub fn team_by_token(&self, digest: &[u8; 32]) -> Option<&TeamName> {
        self.tokens.get(digest)
    }

    /// The team's limit; `None` means unlimited.
    #[must_use]
    pub fn team_limit(&self, team: &TeamName) -> Option<&TeamLimit> {
        self.limits.get(team)
    }

    /// All limited teams.
    pub fn team_limits(&self) -> impl Iterator<Item = (&TeamName, &TeamLimit)> {
        self.limits.iter()
    }

    /// The team's weight in the admission queue, 1 without a rule.
    #[must_use]
    pub fn team_weight(&self, team: &TeamName) -> f64 {
        self.shares.get(team).copied().unwrap_or(1.0)
    }

    /// The priority of a class.
    #[must_use]
    pub fn class_priority(&self, class: &ClassName) -> Priority {
        self.priorities.get(class).copied().unwrap_or_default()
    }

    /// The policy of a model.
    #[must_use]
    pub fn route_policy(&self, model: &ModelName) -> RoutePolicy {
        self.policies.get(model).copied().unwrap_or_default()
    }

    /// The region which requests for a model must not leave.
    #[must_use]
    pub fn required_region(&self, model: &ModelName) -> Option<&(RegionName, RuleReference)> {
        self.regions.get(model)
    }

    /// The rule which drains a target.
    #[must_use]
    pub fn drain_rule(&self, address: &TargetAddress) -> Option<&RuleReference> {
        self.drained.get(address)
    }

    /// The rule which refuses a team.
    #[must_use]
    pub fn refusal_rule(&self, team: &TeamName) -> Option<&RuleReference> {
        self.refused.get(team)
    }

    /// Whether a rule lifts the quarantine of a request.
    #[must_use]
    pub fn is_unblocked(&self, digest: &RequestDigest) -> bool {
        self.unblocked.contains(digest)
    }

    /// How preemptions and stall time count against each other.
    #[must_use]
    pub fn placement_weights(&self) -> PlacementWeights {
        self.weights
    }

    /// The part of an engine's memory which forecasts may fill.
    #[must_use]
    pub fn memory_ceiling(&self) -> MemoryCeiling {
        self.ceiling
    }

    /// Further attempts per request, 0 to 1.
    #[must_use]
    pub fn retry_fraction(&self) -> f64 {
        self.retry_fraction
    }

    /// How long callers keep an address answer.
    #[must_use]
    pub fn address_lifetime(&self) -> Duration {
        self.address_lifetime
    }

    /// The bounds of the admission queue.
    #[must_use]
    pub fn queue_limit(&self) -> &QueueLimit {
        &self.queue
    }
}

/// What a statement is about; two lines about the same thing contradict or repeat each other.
fn subject(statement: &Statement) -> String {
    match statement {
        Statement::TeamToken { digest, .. } => format!("token {}", RequestDigest(*digest)),
        Statement::TeamLimit { team, .. } => format!("limit {team}"),
        Statement::TeamShare { team, .. } => format!("share {team}"),
        Statement::ClassPriority { class, .. } => format!("class {class}"),
        Statement::Weigh { .. } => "weigh".to_owned(),
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
