//! Steps that send requests and check their results.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hyper::Method;

use super::fault::FaultStep;
use super::{COMPLETION_TIMEOUT, DEFAULT_TEAM, NameList, STEP_TIMEOUT, ScenarioRunner};
use crate::caller::{Caller, CallerOptions, Endpoint, GenerationRequest, OrderRequest};
use crate::cluster::{MODEL, SERVICE_DEPLOYMENT, StepResult, team_token};
use crate::load::{LoadOptions, spawn_load};
use crate::record::{RequestKind, RequestRecord, SendState};

/// Steps that send requests and check their results. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum RequestStep {
    /// Sends a generation in the background.
    Generate {
        /// The request's name.
        name: String,
        /// Processes to call, in rotation: each send goes to the next one.
        #[arg(key)]
        via: NameList,
        /// The output length, in tokens.
        #[arg(key)]
        tokens: u64,
        /// The prompt; `quote for job NAME` by default.
        #[arg(key)]
        input: Option<String>,
        /// Whether the response is sent whole instead of as a stream.
        #[arg(key, optional)]
        whole: bool,
        /// The team; the default team if not given.
        #[arg(key)]
        team: Option<String>,
        /// How long the caller retries after refusals that name a retry time.
        #[arg(key, optional)]
        patience: u64,
    },
    /// Sends an order in the background.
    Order {
        /// The request's name.
        name: String,
        /// Processes to call, in rotation: each send goes to the next one.
        #[arg(key)]
        via: NameList,
        /// The idempotency key.
        #[arg(key)]
        key: String,
        /// The request body; `booking KEY` by default.
        #[arg(key)]
        body: Option<String>,
        /// The team; the default team if not given.
        #[arg(key)]
        team: Option<String>,
        /// How long the caller sends the order again while its outcome is unknown or it is refused.
        #[arg(key, optional)]
        patience: u64,
    },
    /// Runs callers in the background that fetch daemon addresses and send generations or orders
    /// one after another.
    Load {
        /// The name, which is also the prefix of the request names.
        name: String,
        /// Daemons that callers fetch addresses from.
        #[arg(key)]
        via: NameList,
        /// How long callers start new requests.
        #[arg(key)]
        duration: u64,
        /// The number of callers that send generations.
        #[arg(key, optional)]
        streams: usize,
        /// The number of callers that send orders.
        #[arg(key, optional)]
        orders: usize,
        /// The largest output length, in tokens; 40 by default.
        #[arg(key)]
        tokens: Option<u64>,
        /// Whether orders that may have been executed are sent again; `true` by default.
        #[arg(key)]
        resend: Option<bool>,
    },
    /// Waits for a request and prints how each send ended.
    Await(String),
    /// Waits for a request and requires that its last send ended as one of the words
    /// `answered`, `ran`, `not_run`, `unknown`, `unreachable`, `broken`.
    Expect {
        /// The request's name.
        name: String,
        /// The accepted words.
        words: Vec<String>,
    },
    /// Waits for the end of a load and requires that a share of its requests is complete.
    ExpectLoad {
        /// The load's name.
        name: String,
        /// The smallest accepted share, in percent.
        #[arg(key)]
        complete: u64,
    },
    /// Waits for the end of a load and requires that the number of admitted requests is at most what
    /// a team limit allows, and at least half of that.
    ExpectLimit {
        /// The load's name.
        name: String,
        /// The limit, in requests per second.
        #[arg(key)]
        rate: u64,
        /// The burst of the limit, in requests.
        #[arg(key)]
        burst: u64,
    },
    /// Waits until a request has received this many tokens.
    WaitTokens {
        /// The request's name.
        name: String,
        /// The number of tokens.
        count: u64,
    },
    /// Waits until a service has executed the order with this key.
    WaitExecution(String),
    /// Prints how often the services have executed the order with this key.
    Executions(String),
    /// A command of [`FaultStep`] or [`RulesStep`](super::RulesStep).
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
                    address_sources: self.endpoints(via)?,
                    token: team_token(DEFAULT_TEAM),
                    duration: Duration::from_millis(*duration),
                    generation_callers: *streams,
                    order_callers: *orders,
                    max_tokens: tokens.unwrap_or(40),
                    resend_unknown: resend.unwrap_or(true),
                    seed: self.seed,
                };
                let tasks = spawn_load(&self.runtime, &options, &self.recorder);
                self.tasks.insert(name.clone(), tasks);
            }
            RequestStep::Await(name) => output = self.wait_for_request(name)?,
            RequestStep::Expect { name, words } => self.expect_state(name, words)?,
            RequestStep::ExpectLoad { name, complete } => self.expect_load(name, *complete)?,
            RequestStep::ExpectLimit { name, rate, burst } => {
                self.expect_limit(name, *rate, *burst)?;
            }
            RequestStep::WaitTokens { name, count } => {
                self.wait_until(
                    &format!("{name} receives {count} tokens"),
                    STEP_TIMEOUT,
                    |runner| Ok((runner.record(name)?.received_tokens >= *count).then_some(())),
                )?;
            }
            RequestStep::WaitExecution(key) => {
                self.wait_until(
                    &format!("order {key} is executed"),
                    STEP_TIMEOUT,
                    |runner| Ok((runner.executions(key) > 0).then_some(())),
                )?;
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
            return Err("via= is empty; name at least one process".to_owned());
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
        retry_timeout_ms: u64,
    ) -> StepResult<Caller> {
        let options = CallerOptions {
            endpoints: self.endpoints(via)?,
            token: team_token(team.unwrap_or(DEFAULT_TEAM)),
            retry_timeout: Duration::from_millis(retry_timeout_ms),
            resend_unknown: true,
        };
        Ok(Caller::new(options, self.recorder.clone()))
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
        self.recorder.add_request(RequestRecord::new(&name, kind))?;
        let task = self
            .runtime
            .spawn(async move { caller.send_generation_with_retries(request).await });
        self.tasks.entry(name).or_default().push(task);
        Ok(())
    }

    pub(super) fn start_order(&mut self, caller: Caller, request: OrderRequest) -> StepResult {
        let kind = RequestKind::Order {
            key: request.key.clone(),
        };
        let name = request.name.clone();
        self.recorder.add_request(RequestRecord::new(&name, kind))?;
        let task = self
            .runtime
            .spawn(async move { caller.send_order_with_retries(request).await });
        self.tasks.entry(name).or_default().push(task);
        Ok(())
    }

    /// How often the services have executed the order with this key.
    pub(super) fn executions(&self, key: &str) -> u64 {
        self.cluster.executions(key)
    }

    pub(super) fn expect_load(&mut self, name: &str, percent: u64) -> StepResult {
        self.wait_for_tasks(name, COMPLETION_TIMEOUT)?;
        let prefix = format!("{name}-");
        let requests = self.recorder.requests();
        let load_requests: Vec<_> = requests
            .iter()
            .filter(|request| request.name.starts_with(&prefix))
            .collect();
        let complete_count = load_requests
            .iter()
            .filter(|request| request.is_complete)
            .count();
        self.recorder.trace(format!(
            "{name}: {complete_count} of {} requests complete",
            load_requests.len()
        ));
        if load_requests.is_empty()
            || (complete_count as u64) * 100 < percent * load_requests.len() as u64
        {
            let mut states = BTreeMap::new();
            for request in load_requests.iter().filter(|request| !request.is_complete) {
                *states.entry(request.last_state().to_string()).or_insert(0) += 1;
            }
            let total = load_requests.len();
            return Err(format!(
                "{complete_count} of {total} requests complete, expected {percent} %; last sends of the others: {states:?}"
            ));
        }
        Ok(())
    }

    /// The rate applies to the period from the first send of the load to its last admitted request.
    fn expect_limit(&mut self, name: &str, rate: u64, burst: u64) -> StepResult {
        self.wait_for_tasks(name, COMPLETION_TIMEOUT)?;
        let prefix = format!("{name}-");
        let mut requests = self.recorder.requests();
        requests.retain(|request| request.name.starts_with(&prefix));
        let sends = || requests.iter().flat_map(|request| &request.sends);
        let admitted = || sends().filter(|send| matches!(send.state, SendState::Answered { .. }));
        let first_sent = sends().map(|send| send.started).min();
        let last_admitted = admitted().filter_map(|send| send.ended).max();
        let (Some(first_sent), Some(last_admitted)) = (first_sent, last_admitted) else {
            return Err(format!("{name}: no request was admitted"));
        };
        let elapsed_ms =
            u64::try_from((last_admitted - first_sent).as_millis()).unwrap_or(u64::MAX);
        let allowed = burst + rate * elapsed_ms / 1_000 + 1;
        let admitted_count = admitted().count() as u64;
        self.recorder.trace(format!(
            "{name}: {admitted_count} admitted, {allowed} allowed"
        ));
        if admitted_count > allowed || admitted_count < allowed / 2 {
            return Err(format!(
                "{admitted_count} requests admitted, at most {allowed} and at least half of that allowed"
            ));
        }
        Ok(())
    }

    pub(super) fn wait_for_request(&mut self, name: &str) -> StepResult<String> {
        self.wait_for_tasks(name, COMPLETION_TIMEOUT)?;
        let record = self.record(name)?;
        let mut output = String::new();
        for send in &record.sends {
            let resumed = if send.is_resume { "resumed " } else { "" };
            let state = match &send.state {
                SendState::Broken(_) => "broken".to_owned(),
                state => state.to_string(),
            };
            writeln!(output, "{name} {resumed}via {}: {state}", send.endpoint)
                .map_err(|error| error.to_string())?;
        }
        Ok(output)
    }

    pub(super) fn expect_state(&mut self, name: &str, words: &[String]) -> StepResult {
        if self.tasks.contains_key(name) {
            self.wait_for_tasks(name, COMPLETION_TIMEOUT)?;
        }
        let state = self.record(name)?.last_state();
        if words.iter().any(|word| word == state.as_word()) {
            Ok(())
        } else {
            Err(format!("{name}: {state}, expected {}", words.join(" or ")))
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
