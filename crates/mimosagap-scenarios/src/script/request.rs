//! Steps that send requests and look at their answers.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hyper::Method;

use super::fault::FaultStep;
use super::{DEFAULT_TEAM, END_LIMIT, NameList, STEP_LIMIT, ScenarioRunner};
use crate::caller::{Caller, CallerOptions, Endpoint, GenerationRequest, OrderRequest};
use crate::cluster::{MODEL, SERVICE_DEPLOYMENT, StepResult, team_token};
use crate::load::{LoadOptions, run_load};
use crate::record::{RequestKind, RequestRecord, SendEnd};

/// Steps that send requests and look at their answers. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum RequestStep {
    /// Sends a generation in the background.
    Generate {
        /// The request's name.
        name: String,
        /// Processes to call; the next one is used when a connection breaks.
        #[arg(key)]
        via: NameList,
        /// The length of the output.
        #[arg(key)]
        tokens: u64,
        /// The prompt.
        #[arg(key)]
        input: Option<String>,
        /// `true` for a whole answer instead of a stream.
        #[arg(key, optional)]
        whole: bool,
        /// The team.
        #[arg(key)]
        team: Option<String>,
        /// How long the caller keeps trying after refusals.
        #[arg(key, optional)]
        patience: u64,
    },
    /// Sends an order in the background.
    Order {
        /// The request's name.
        name: String,
        /// Processes to call; the next one is used for every new try.
        #[arg(key)]
        via: NameList,
        /// The idempotency key.
        #[arg(key)]
        key: String,
        /// The body.
        #[arg(key)]
        body: Option<String>,
        /// The team.
        #[arg(key)]
        team: Option<String>,
        /// How long the caller keeps sending until it knows the fate.
        #[arg(key, optional)]
        patience: u64,
    },
    /// Runs callers in the background that take addresses from the system and send generations
    /// and orders one after another.
    Load {
        /// The name, a prefix of the requests' names.
        name: String,
        /// Daemons that are asked for addresses.
        #[arg(key)]
        via: NameList,
        /// How long.
        #[arg(key)]
        duration: u64,
        /// Callers that send generations.
        #[arg(key, optional)]
        streams: usize,
        /// Callers that send orders.
        #[arg(key, optional)]
        orders: usize,
        /// The longest output.
        #[arg(key)]
        tokens: Option<u64>,
        /// `false` if orders that may have run are not sent again.
        #[arg(key)]
        resend: Option<bool>,
    },
    /// Waits for a request and prints how each transmission ended.
    Await(String),
    /// Waits for a request, whose last transmission must have ended with one of the words
    /// `answered`, `ran`, `not_run`, `unknown`, `unreachable`, `broken`.
    Expect {
        /// The request's name.
        name: String,
        /// The words.
        words: Vec<String>,
    },
    /// Waits for the end of a load, of whose requests this part, in percent, must be complete.
    ExpectLoad {
        /// The load's name.
        name: String,
        /// The least part.
        #[arg(key)]
        complete: u64,
    },
    /// Waits for the end of a load, of which no more may have been admitted than a team limit
    /// allows, and at least half of that.
    ExpectLimit {
        /// The load's name.
        name: String,
        /// The limit's requests per second.
        #[arg(key)]
        rate: u64,
        /// The limit's burst.
        #[arg(key)]
        burst: u64,
    },
    /// Waits until a request has received this many tokens.
    WaitTokens {
        /// The request's name.
        name: String,
        /// The tokens.
        count: u64,
    },
    /// Waits until the services have carried out an order.
    WaitExecution(String),
    /// Prints how often an order was carried out.
    Executions(String),
    /// A step of another kind.
    #[command(other)]
    Other(goldenscript::Command),
}

impl ScenarioRunner {
    pub(super) fn execute_request(&mut self, step: &RequestStep) -> StepResult<String> {
        let mut output = String::new();
        match step {
            RequestStep::Generate {
                name,
                via,
                tokens,
                input,
                whole,
                team,
                patience,
            } => {
                let caller = self.caller(via, team.as_deref(), *patience)?;
                let mut request = generation_request(name, *tokens);
                request.stream = !whole;
                if let Some(input) = input {
                    request.input.clone_from(input);
                }
                self.start_generation(caller, request)?;
            }
            RequestStep::Order {
                name,
                via,
                key,
                body,
                team,
                patience,
            } => {
                let caller = self.caller(via, team.as_deref(), *patience)?;
                let mut request = order_request(name, key);
                if let Some(body) = body {
                    request.body.clone_from(body);
                }
                self.start_order(caller, request)?;
            }
            RequestStep::Load {
                name,
                via,
                duration,
                streams,
                orders,
                tokens,
                resend,
            } => {
                let options = LoadOptions {
                    name: name.clone(),
                    seeds: self.endpoints(via)?,
                    token: team_token(DEFAULT_TEAM),
                    duration: Duration::from_millis(*duration),
                    streams: *streams,
                    orders: *orders,
                    longest: tokens.unwrap_or(40),
                    resend: resend.unwrap_or(true),
                    seed: self.seed,
                };
                let tasks = run_load(&self.runtime, &options, &self.journal);
                self.tasks.insert(name.clone(), tasks);
            }
            RequestStep::Await(name) => output = self.await_request(name)?,
            RequestStep::Expect { name, words } => self.expect(name, words)?,
            RequestStep::ExpectLoad { name, complete } => self.expect_load(name, *complete)?,
            RequestStep::ExpectLimit { name, rate, burst } => {
                self.expect_limit(name, *rate, *burst)?;
            }
            RequestStep::WaitTokens { name, count } => {
                self.wait(
                    &format!("{name} has {count} tokens"),
                    STEP_LIMIT,
                    |runner| Ok((runner.record(name)?.tokens >= *count).then_some(())),
                )?;
            }
            RequestStep::WaitExecution(key) => {
                self.wait(&format!("{key} was carried out"), STEP_LIMIT, |runner| {
                    Ok((runner.executions(key) > 0).then_some(()))
                })?;
            }
            RequestStep::Executions(key) => {
                output = format!("{key}: {}\n", self.executions(key));
            }
            RequestStep::Other(command) => {
                let step = FaultStep::try_from(command).map_err(|error| error.to_string())?;
                output = self.execute_fault(&step)?;
            }
        }
        Ok(output)
    }

    pub(super) fn endpoints(&self, names: &NameList) -> StepResult<Vec<Endpoint>> {
        if names.0.is_empty() {
            return Err("name at least one process in via=".to_owned());
        }
        names
            .0
            .iter()
            .map(|name| self.cluster.endpoint(name))
            .collect()
    }

    pub(super) fn caller(
        &self,
        via: &NameList,
        team: Option<&str>,
        patience: u64,
    ) -> StepResult<Caller> {
        let options = CallerOptions {
            via: self.endpoints(via)?,
            token: team_token(team.unwrap_or(DEFAULT_TEAM)),
            patience: Duration::from_millis(patience),
            resend: true,
        };
        Ok(Caller::new(options, self.journal.clone()))
    }

    pub(super) fn start_generation(
        &mut self,
        caller: Caller,
        request: GenerationRequest,
    ) -> StepResult {
        let kind = RequestKind::Generation {
            tokens: request.tokens,
        };
        let name = request.name.clone();
        self.journal.open(RequestRecord::new(&name, kind))?;
        let task = self
            .runtime
            .spawn(async move { caller.generate(request).await });
        self.tasks.entry(name).or_default().push(task);
        Ok(())
    }

    pub(super) fn start_order(&mut self, caller: Caller, request: OrderRequest) -> StepResult {
        let kind = RequestKind::Order {
            key: request.key.clone(),
        };
        let name = request.name.clone();
        self.journal.open(RequestRecord::new(&name, kind))?;
        let task = self
            .runtime
            .spawn(async move { caller.order(request).await });
        self.tasks.entry(name).or_default().push(task);
        Ok(())
    }

    /// How often the services have carried out an order.
    pub(super) fn executions(&self, key: &str) -> u64 {
        self.cluster.executions(key)
    }

    pub(super) fn expect_load(&mut self, name: &str, percent: u64) -> StepResult {
        self.join(name, END_LIMIT)?;
        let prefix = format!("{name}-");
        let requests = self.journal.requests();
        let own: Vec<_> = requests
            .iter()
            .filter(|request| request.name.starts_with(&prefix))
            .collect();
        let complete = own.iter().filter(|request| request.complete).count();
        self.journal
            .trace(format!("{name}: {complete} of {} complete", own.len()));
        if own.is_empty() || (complete as u64) * 100 < percent * own.len() as u64 {
            let mut ends = BTreeMap::new();
            for request in own.iter().filter(|request| !request.complete) {
                *ends.entry(request.last_end().to_string()).or_insert(0) += 1;
            }
            let total = own.len();
            return Err(format!(
                "{complete} of {total} complete; the others: {ends:?}"
            ));
        }
        Ok(())
    }

    /// The limit's rate counts over the time in which the load sent, from its first send to its last
    /// admission.
    fn expect_limit(&mut self, name: &str, rate: u64, burst: u64) -> StepResult {
        self.join(name, END_LIMIT)?;
        let prefix = format!("{name}-");
        let mut requests = self.journal.requests();
        requests.retain(|request| request.name.starts_with(&prefix));
        let sends = || requests.iter().flat_map(|request| &request.sends);
        let admitted = || sends().filter(|send| matches!(send.end, SendEnd::Answered { .. }));
        let first = sends().map(|send| send.started).min();
        let last = admitted().filter_map(|send| send.ended).max();
        let (Some(first), Some(last)) = (first, last) else {
            return Err(format!("{name}: nothing was admitted"));
        };
        let millis = u64::try_from((last - first).as_millis()).unwrap_or(u64::MAX);
        let allowed = burst + rate * millis / 1_000 + 1;
        let count = admitted().count() as u64;
        self.journal
            .trace(format!("{name}: {count} admitted, {allowed} allowed"));
        if count > allowed || count < allowed / 2 {
            return Err(format!("{count} admitted, {allowed} allowed"));
        }
        Ok(())
    }

    pub(super) fn await_request(&mut self, name: &str) -> StepResult<String> {
        self.join(name, END_LIMIT)?;
        let record = self.record(name)?;
        let mut output = String::new();
        for send in &record.sends {
            let resumed = if send.is_resume { "resumed " } else { "" };
            let end = match &send.end {
                SendEnd::Broken(_) => "broken".to_owned(),
                end => end.to_string(),
            };
            writeln!(output, "{name} {resumed}via {}: {end}", send.to)
                .map_err(|error| error.to_string())?;
        }
        Ok(output)
    }

    pub(super) fn expect(&mut self, name: &str, words: &[String]) -> StepResult {
        if self.tasks.contains_key(name) {
            self.join(name, END_LIMIT)?;
        }
        let end = self.record(name)?.last_end();
        if words.iter().any(|word| word == end.word()) {
            Ok(())
        } else {
            Err(format!("{name}: {end}, expected {}", words.join(" or ")))
        }
    }
}

pub(super) fn generation_request(name: &str, tokens: u64) -> GenerationRequest {
    GenerationRequest {
        name: name.to_owned(),
        model: MODEL.to_owned(),
        input: format!("quote for job {name}"),
        tokens,
        stream: true,
        class: None,
    }
}

pub(super) fn order_request(name: &str, key: &str) -> OrderRequest {
    OrderRequest {
        name: name.to_owned(),
        service: SERVICE_DEPLOYMENT.to_owned(),
        method: Method::POST,
        path: "bookings".to_owned(),
        key: key.to_owned(),
        body: format!("booking {key}"),
    }
}
