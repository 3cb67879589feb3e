//! Generations: events are passed on as they come, from one run, in order, each once.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use mimosagap_platform::request::Continuation;
use mimosagap_routing::backup::choose_backup;
use mimosagap_routing::moves::is_worth_moving;
use mimosagap_routing::placement::{Placement, StreamNeed, place_stream, spread};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::targets::{RANKS, TargetKey, TargetOutcome};
use mimosagap_routing::waiting::{Waiting, WaitingList};
use rand::Rng;
use tokio::sync::mpsc;

use crate::answer::{AnswerBody, BrokenStream, refuse, target_head};
use crate::calls::{WholeAnswer, deliver};
use crate::claim::LoadClaim;
use crate::copies::{CopyOrder, SecuredCopy, free, secure_copy};
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::{Exchange, ExchangeError, SendOptions, exchange, keep, pause, prepare};
use crate::health;
use crate::ingress::InFlight;
use crate::link::HttpLink;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{Beliefs, SharedGateway, millis};

/// Events between the relay and a caller that reads slowly; bounds the memory of a stream.
const QUEUED_EVENTS: usize = 16;

/// Sends of one request, those included that an engine turned away.
const MAX_SENDS: u32 = 4;

/// Longest answer in bytes that is no stream.
const MAX_ANSWER: usize = 1 << 20;

/// How much longer than expected an answer is taken to be once it is as long as expected.
const GROWTH: f64 = 1.25;

/// Time for one output token, to tell whether a generation ends before the host stops.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// A stopped run must be answered by its copy within this time.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before a generation that found no engine for a copy looks for one again.
const COPY_AGAIN: Duration = Duration::from_millis(150);

/// A copy is brought up to date after this time; it lapses after some seconds, and what it lacks
/// has to be read when the generation goes on from it.
const COPY_LIFE: Duration = Duration::from_millis(3500);

enum Part {
    Event(Bytes),
    End,
}

/// The body of a stream. It breaks unless the relay says that the stream is complete.
struct RelayBody {
    parts: mpsc::Receiver<Part>,
    is_done: bool,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let part = std::task::ready!(self.parts.poll_recv(context));
        self.is_done = !matches!(part, Some(Part::Event(_)));
        Poll::Ready(match part {
            Some(Part::Event(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None => Some(Err(BrokenStream)),
        })
    }
}

/// The events of one send.
struct EventSource {
    head: Parts,
    body: Incoming,
    link: HttpLink,
    splitter: EventSplitter,
}

enum SourceItem {
    Event(StreamEvent),
    End,
    Broken,
}

impl EventSource {
    fn new(exchange: Exchange) -> Self {
        Self {
            head: exchange.head,
            body: exchange.body,
            link: exchange.link,
            splitter: EventSplitter::default(),
        }
    }

    /// The next whole event. Nothing is lost if the caller stops waiting.
    async fn next(&mut self) -> SourceItem {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => return SourceItem::Event(event),
                Ok(None) => {}
                Err(_) => return SourceItem::Broken,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                None if self.splitter.is_empty() => return SourceItem::End,
                Some(Err(_)) | None => return SourceItem::Broken,
            }
        }
    }
}

/// What a generation needs, from what the caller says of it and its route's requests needed.
fn need_of(gateway: &SharedGateway, request: &RoutedRequest) -> StreamNeed {
    let head = &request.head;
    let output = gateway.with(|beliefs| {
        let lengths = beliefs
            .lengths
            .entry(request.route.name.clone())
            .or_default();
        if let Some(hint) = head.output_hint {
            lengths.arrived(hint);
        }
        lengths.expected(head.output_hint, head.max_output)
    });
    StreamNeed {
        prompt: head.prompt_tokens,
        output,
        rank: usize::from(request.priority()).min(RANKS - 1),
    }
}

/// Carries a generation to its first event, and leaves the rest to a task.
pub async fn carry(
    gateway: &SharedGateway,
    request: RoutedRequest,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let request = Rc::new(request);
    let need = need_of(gateway, &request);
    match begin(gateway, &request, need).await {
        Begun::Refused(reason) => refuse(gateway, &request.head.id, request.arrived, reason),
        Begun::Answered(target, answer) => deliver(gateway, &request, target, answer),
        Begun::Stream(stream) => {
            let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
            let head = target_head(stream.source.head.status, &stream.source.head.headers);
            let route = request.route.name.as_str();
            let took = gateway.now().saturating_sub(request.arrived);
            let metrics = &gateway.metrics;
            metrics.answers.with_label_values(&[route, "stream"]).inc();
            metrics
                .latency
                .with_label_values(&[route])
                .observe(took.as_secs_f64());
            let relay = StreamRelay::new(Rc::clone(gateway), request, need, stream, sender);
            tokio::task::spawn_local(async move {
                relay.run().await;
                drop(in_flight);
            });
            let body = RelayBody {
                parts: receiver,
                is_done: false,
            };
            head.map(|()| body.boxed_unsync())
        }
    }
}

struct BegunStream {
    source: EventSource,
    first: StreamEvent,
    claim: LoadClaim,
    backup: Option<LoadClaim>,
    sends: u32,
    runs: u32,
}

enum Begun {
    Refused(RefusalReason),
    Answered(TargetKey, WholeAnswer),
    Stream(Box<BegunStream>),
}

/// Sends until an engine makes the first event.
async fn begin(gateway: &SharedGateway, request: &Rc<RoutedRequest>, need: StreamNeed) -> Begun {
    let mut tried = Vec::new();
    let mut sends = 0;
    let mut runs = 0;
    let mut broke = false;
    if let Some(left) = gateway.time_to_stop()
        && TOKEN_TIME * need.output + need_time(need) > left.mul_f64(0.8)
    {
        return Begun::Refused(RefusalReason::Leaving);
    }
    let reason = loop {
        let place = match find_place(gateway, request, need, &tried).await {
            Ok(place) => place,
            Err(reason) => break reason,
        };
        if sends == 0 {
            gateway.count_request(&request.service);
        } else if sends >= MAX_SENDS || !gateway.try_repeat(&request.service) {
            break RefusalReason::TurnedAway;
        }
        sends += 1;
        let target = place.target;
        let claim = LoadClaim::stream(gateway, target, &need, need.prompt);
        let wait = request.time_to_answer(gateway.now());
        let attempt = first_event(gateway, request, need, claim, place.first_token, sends);
        match tokio::time::timeout(wait, attempt).await {
            Ok(Ok(FirstItem::Event(mut stream))) => {
                stream.sends = sends;
                stream.runs = runs + 1;
                return Begun::Stream(stream);
            }
            Ok(Ok(FirstItem::Answer(answer))) => {
                runs += 1;
                let may_repeat = request.route.kind.is_idempotent()
                    && answer.head.status.is_server_error()
                    && runs < request.route.max_attempts;
                if !may_repeat {
                    return Begun::Answered(target, answer);
                }
            }
            Ok(Err(ExchangeError::Broken)) => {
                broke = true;
                runs += 1;
                if !request.route.kind.is_idempotent() || runs >= request.route.max_attempts {
                    break RefusalReason::TargetBroke;
                }
            }
            Ok(Err(ExchangeError::NotRun | ExchangeError::Unreachable)) => {}
            Err(_) => break RefusalReason::LateSent,
        }
        tried.push(target);
    };
    let may_have_run = broke || runs > 0;
    Begun::Refused(match reason {
        RefusalReason::LateSent => RefusalReason::LateSent,
        _ if may_have_run => RefusalReason::TargetBroke,
        other => other,
    })
}

/// About how long an idle engine reads a prompt.
fn need_time(need: StreamNeed) -> Duration {
    Duration::from_micros(u64::from(need.prompt) * 140)
}

enum FirstItem {
    Event(Box<BegunStream>),
    Answer(WholeAnswer),
}

async fn first_event(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    need: StreamNeed,
    mut claim: LoadClaim,
    expected: Duration,
    attempt: u32,
) -> Result<FirstItem, ExchangeError> {
    let target = claim.target;
    let backup = claim_backup(gateway, request, target, need);
    let options = SendOptions {
        attempt,
        backup: backup.as_ref().and_then(|backup| address(gateway, backup)),
        ..SendOptions::default()
    };
    let exchange = exchange(gateway, request, target, options).await?;
    if !exchange.head.status.is_success() {
        return whole_answer(gateway, &claim, exchange).await;
    }
    let mut source = EventSource::new(exchange);
    match source.next().await {
        SourceItem::Event(first) => {
            let took = claim.prompt_read();
            gateway.log.event(&LogEvent::FirstEvent {
                id: &request.head.id,
                target: &gateway.instance(target),
                after_ms: millis(took),
                expected_ms: millis(expected),
                prompt: need.prompt,
                ahead: claim.ahead,
            });
            Ok(FirstItem::Event(Box::new(BegunStream {
                source,
                first,
                claim,
                backup,
                sends: attempt,
                runs: 1,
            })))
        }
        SourceItem::End | SourceItem::Broken => {
            claim.outcome(TargetOutcome::Failed);
            health::connection_broke(gateway, target, request.mark);
            Err(ExchangeError::Broken)
        }
    }
}

/// Reserves memory for a copy of a generation at another engine.
fn claim_backup(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    source: TargetKey,
    need: StreamNeed,
) -> Option<LoadClaim> {
    let now = gateway.now();
    let target = gateway
        .with(|beliefs| choose_backup(&beliefs.targets, &request.service, source, need, now))?;
    Some(LoadClaim::stream(gateway, target, &need, 0))
}

/// Where the target of a claim listens.
fn address(gateway: &SharedGateway, claim: &LoadClaim) -> Option<SocketAddr> {
    gateway.with(|beliefs| {
        let target = beliefs.targets.get(claim.target)?;
        Some(target.entry.address)
    })
}

async fn whole_answer(
    gateway: &SharedGateway,
    claim: &LoadClaim,
    exchange: Exchange,
) -> Result<FirstItem, ExchangeError> {
    let body = Limited::new(exchange.body, MAX_ANSWER).collect().await;
    let Ok(body) = body else {
        claim.outcome(TargetOutcome::Failed);
        return Err(ExchangeError::Broken);
    };
    claim.outcome(TargetOutcome::Failed);
    keep(gateway, claim.target, &exchange.head, exchange.link);
    Ok(FirstItem::Answer(WholeAnswer {
        head: exchange.head,
        body: body.to_bytes(),
    }))
}

/// Removes a request from its waiting list however it stops waiting.
struct WaitGuard<'a> {
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    ticket: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.gateway.with(|beliefs| {
            if let Some(list) = beliefs.waiting.get_mut(&self.request.service) {
                list.remove(self.ticket);
            }
        });
        self.gateway.places.notify_waiters();
    }
}

/// Finds an engine with room, waiting for one if there is a prospect.
async fn find_place(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    need: StreamNeed,
    tried: &[TargetKey],
) -> Result<Placement, RefusalReason> {
    let now = gateway.now();
    let spread = gateway.with(|beliefs| spread(beliefs.hosts.in_region(&gateway.settings.region)));
    let place = |now| {
        gateway.with(|beliefs| {
            let Beliefs {
                targets, random, ..
            } = beliefs;
            place_stream(targets, &request.service, need, tried, now, spread, random)
        })
    };
    let is_behind = gateway.with(|beliefs| {
        let list = beliefs.waiting.entry(request.service.clone()).or_default();
        list.is_behind(need.rank)
    });
    if !is_behind && let Some(found) = place(now) {
        return Ok(found);
    }
    let (ticket, until) = gateway.with(|beliefs| {
        let mut any = false;
        let running: u32 = beliefs
            .targets
            .of_service(&request.service)
            .inspect(|(_, target)| any |= target.is_usable(now))
            .map(|(_, target)| target.own.requests)
            .sum();
        if !any {
            return Err(RefusalReason::NoTarget);
        }
        let list: &mut WaitingList = beliefs.waiting.entry(request.service.clone()).or_default();
        if !list.has_prospect(need.rank, running) {
            return Err(RefusalReason::Overload);
        }
        beliefs.next_ticket += 1;
        let ticket = beliefs.next_ticket;
        let waiting = Waiting::new(ticket, need.rank, now, request.route.target_latency);
        gateway.log.event(&LogEvent::Waits {
            id: &request.head.id,
            rank: need.rank,
            ahead: list.len(),
        });
        list.push(waiting);
        Ok((ticket, waiting.until))
    })?;
    let _guard = WaitGuard {
        gateway,
        request,
        ticket,
    };
    loop {
        let changed = gateway.places.notified();
        let now = gateway.now();
        let is_first = gateway.with(|beliefs| {
            beliefs
                .waiting
                .get(&request.service)
                .is_some_and(|list| list.is_first(ticket))
        });
        if is_first && let Some(found) = place(now) {
            return Ok(found);
        }
        if now >= until {
            return Err(RefusalReason::Overload);
        }
        let _ = tokio::time::timeout(until.saturating_sub(now), changed).await;
        // All hosts hear of a free place at once, and one request has room there.
        let turn = gateway.with(|beliefs| spread.mul_f64(beliefs.random.random()));
        pause(turn).await;
    }
}

type Copying = Pin<Box<dyn Future<Output = Option<SecuredCopy>>>>;

/// What a generation needs whose engine leaves.
enum CopyNeed {
    /// The engine that has had a copy from the start is there.
    InPlace(TargetKey),
    /// A copy has to be made, if possible at the engine named.
    Another(Option<TargetKey>),
}

/// Passes a stream on until it ends.
struct StreamRelay {
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    need: StreamNeed,
    source: Option<EventSource>,
    first: Option<StreamEvent>,
    claim: LoadClaim,
    backup: Option<LoadClaim>,
    sends: u32,
    runs: u32,
    parts: mpsc::Sender<Part>,
    last_event: Option<u64>,
    made: u32,
    expected: u32,
    tokens_per_event: u32,
    moves: u32,
    secured: Option<SecuredCopy>,
    copy_again_at: Duration,
    went_on: bool,
    /// Whether a connection to the engine with the copy was opened.
    is_prepared: bool,
    last_at: Duration,
    longest_gap: Duration,
}

enum RelayEnd {
    Complete,
    CallerLeft,
    Deadline,
    Broken,
    OutOfOrder,
}

impl RelayEnd {
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerLeft => "caller_left",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
            Self::OutOfOrder => "out_of_order",
        }
    }
}

impl StreamRelay {
    fn new(
        gateway: SharedGateway,
        request: Rc<RoutedRequest>,
        need: StreamNeed,
        stream: Box<BegunStream>,
        parts: mpsc::Sender<Part>,
    ) -> Self {
        let tokens_per_event = gateway.with(|beliefs| {
            let engine = beliefs.targets.engine(&request.service);
            engine.map_or(1, |engine| engine.tokens_per_event)
        });
        let stream = *stream;
        Self {
            last_at: gateway.now(),
            gateway,
            last_event: request.head.last_event,
            request,
            expected: need.output,
            need,
            source: Some(stream.source),
            first: Some(stream.first),
            claim: stream.claim,
            backup: stream.backup,
            sends: stream.sends,
            runs: stream.runs,
            parts,
            made: 0,
            tokens_per_event,
            moves: 0,
            secured: None,
            copy_again_at: Duration::ZERO,
            went_on: false,
            is_prepared: false,
            longest_gap: Duration::ZERO,
        }
    }

    async fn run(mut self) {
        let end = self.relay().await;
        if matches!(end, RelayEnd::Complete) {
            self.claim.outcome(TargetOutcome::Answered);
            self.count_length();
            // A caller that left needs no end.
            let _ = self.parts.send(Part::End).await;
            if let Some(source) = self.source.take() {
                keep(&self.gateway, self.claim.target, &source.head, source.link);
            }
        }
        if let Some(copy) = self.secured.take() {
            free(&self.gateway, copy);
        }
        self.gateway.log.event(&LogEvent::StreamEnded {
            id: &self.request.head.id,
            target: &self.gateway.instance(self.claim.target),
            how: end.name(),
            last_event: self.last_event.unwrap_or(0),
            hinted_tokens: self.request.head.output_hint.unwrap_or(0),
            most_tokens: self.request.head.max_output,
            made_tokens: self.made,
            moves: self.moves,
            longest_gap_ms: millis(self.longest_gap),
            after_ms: millis(self.gateway.now().saturating_sub(self.request.arrived)),
        });
    }

    async fn relay(&mut self) -> RelayEnd {
        if let Some(first) = self.first.take()
            && let Err(end) = self.pass(first).await
        {
            return end;
        }
        let deadline = pause(self.request.time_to_answer(self.gateway.now()));
        tokio::pin!(deadline);
        let gateway = Rc::clone(&self.gateway);
        let parts = self.parts.clone();
        let mut copying: Option<Copying> = None;
        loop {
            let leaving = gateway.leaving.notified();
            if copying.is_none() {
                copying = self.begin_copy();
            }
            let Some(source) = self.source.as_mut() else {
                return RelayEnd::Broken;
            };
            tokio::select! {
                biased;
                () = parts.closed() => return RelayEnd::CallerLeft,
                item = source.next() => match item {
                    SourceItem::Event(event) => {
                        if let Err(end) = self.pass(event).await {
                            return end;
                        }
                    }
                    SourceItem::End => return RelayEnd::Complete,
                    SourceItem::Broken => {
                        copying = None;
                        if !self.go_on().await {
                            return RelayEnd::Broken;
                        }
                    }
                },
                copy = async { copying.as_mut().expect("checked").await }, if copying.is_some() => {
                    copying = None;
                    if let Some(copy) = copy {
                        prepare(&gateway, copy.target);
                        self.secured = Some(copy);
                    } else {
                        self.copy_again_at = gateway.now() + COPY_AGAIN;
                    }
                }
                () = leaving, if copying.is_none() => {}
                () = &mut deadline => return RelayEnd::Deadline,
            }
        }
    }

    /// Starts a copy elsewhere if the run's engine leaves before the run can end.
    fn begin_copy(&mut self) -> Option<Copying> {
        let now = self.gateway.now();
        if now < self.copy_again_at || !is_worth_moving(self.made, self.expected) {
            return None;
        }
        let source = self.claim.target;
        let preferred = self.gateway.with(|beliefs| {
            let targets = &beliefs.targets;
            let is_leaving = |key| targets.get(key).is_none_or(|known| known.is_leaving(now));
            let can_move = targets
                .engine(&self.request.service)
                .is_some_and(|engine| engine.can_move);
            if !can_move || !is_leaving(source) {
                return None;
            }
            let secured = self
                .secured
                .as_ref()
                .filter(|copy| !is_leaving(copy.target));
            if secured.is_some_and(|copy| now < copy.made_at + COPY_LIFE) {
                return None;
            }
            let backup = self.backup.as_ref().map(|claim| claim.target);
            if let Some(backup) = backup.filter(|key| !is_leaving(*key)) {
                return Some(CopyNeed::InPlace(backup));
            }
            Some(CopyNeed::Another(secured.map(|copy| copy.target)))
        })?;
        let preferred = match preferred {
            CopyNeed::Another(preferred) => preferred,
            CopyNeed::InPlace(backup) => {
                if !std::mem::replace(&mut self.is_prepared, true) {
                    prepare(&self.gateway, backup);
                }
                return None;
            }
        };
        let order = CopyOrder {
            source,
            preferred,
            id: self.request.head.id.clone(),
            need: StreamNeed {
                output: self.expected,
                ..self.need
            },
        };
        let copy = secure_copy(Rc::clone(&self.gateway), Rc::clone(&self.request), order);
        Some(Box::pin(copy))
    }

    /// Passes an event on, unless the caller has it already.
    async fn pass(&mut self, event: StreamEvent) -> Result<(), RelayEnd> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return Ok(());
            }
            if id != last + 1 {
                return Err(RelayEnd::OutOfOrder);
            }
        }
        if std::mem::take(&mut self.went_on) {
            self.gateway.log.event(&LogEvent::StreamWentOn {
                id: &self.request.head.id,
                target: &self.gateway.instance(self.claim.target),
                last_event: self.last_event.unwrap_or(0),
                silent_ms: self.silent_ms(),
            });
        }
        self.last_event = event.id.or(self.last_event);
        self.made += self.tokens_per_event;
        if self.made > self.expected {
            self.expected = grown(self.made);
            let need = StreamNeed {
                output: self.expected,
                ..self.need
            };
            self.claim.resize(need.tokens());
        }
        let now = self.gateway.now();
        if self.made > self.tokens_per_event {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.last_at = now;
        let sent = self.parts.send(Part::Event(event.bytes)).await;
        sent.map_err(|_| RelayEnd::CallerLeft)
    }

    fn count_length(&self) {
        if let Some(hint) = self.request.head.output_hint {
            self.gateway.with(|beliefs| {
                if let Some(lengths) = beliefs.lengths.get_mut(&self.request.route.name) {
                    lengths.completed(hint, self.made);
                }
            });
        }
    }

    /// Time since the last event.
    fn silent_ms(&self) -> u64 {
        millis(self.gateway.now().saturating_sub(self.last_at))
    }

    /// Goes on from a copy, or from the last event where the route allows it.
    async fn go_on(&mut self) -> bool {
        self.source = None;
        self.gateway.log.event(&LogEvent::StreamBroke {
            id: &self.request.head.id,
            target: &self.gateway.instance(self.claim.target),
            last_event: self.last_event.unwrap_or(0),
            silent_ms: self.silent_ms(),
            has_copy: self.backup.is_some() || self.secured.is_some(),
        });
        self.claim.outcome(TargetOutcome::Failed);
        health::connection_broke(&self.gateway, self.claim.target, self.request.mark);
        let secured = self.secured.take();
        let secured = secured.map(|copy| (copy.claim, copy.name));
        let backup = self.backup.take().and_then(|claim| {
            let address = address(&self.gateway, &claim)?;
            Some((claim, format!("{address}/{}", self.request.head.id)))
        });
        for (claim, name) in secured.into_iter().chain(backup) {
            if self.go_on_at(claim, Some(name)).await {
                return true;
            }
        }
        match self.place_again().await {
            Some(claim) => self.go_on_at(claim, None).await,
            None => false,
        }
    }

    /// Goes on at one engine.
    async fn go_on_at(&mut self, claim: LoadClaim, copy: Option<String>) -> bool {
        let target = claim.target;
        let need = StreamNeed {
            output: self.expected,
            ..self.need
        };
        let backup = claim_backup(&self.gateway, &self.request, target, need);
        let continuation = Continuation {
            last_event: self.last_event.unwrap_or(0),
            copy,
        };
        self.sends += 1;
        let options = SendOptions {
            attempt: self.sends,
            continuation: Some(&continuation),
            backup: backup
                .as_ref()
                .and_then(|backup| address(&self.gateway, backup)),
        };
        let request = Rc::clone(&self.request);
        let sent = exchange(&self.gateway, &request, target, options);
        match tokio::time::timeout(CONTINUE_TIMEOUT, sent).await {
            Ok(Ok(exchange)) if exchange.head.status.is_success() => {
                self.source = Some(EventSource::new(exchange));
                self.claim = claim;
                self.backup = backup;
                self.moves += 1;
                self.went_on = true;
                self.is_prepared = false;
                true
            }
            _ => false,
        }
    }

    /// A place at another engine for a stream that may be continued after its last event.
    async fn place_again(&mut self) -> Option<LoadClaim> {
        let route = &self.request.route;
        if !route.kind.is_idempotent() || self.runs >= route.max_attempts {
            return None;
        }
        let tried = [self.claim.target];
        let place = find_place(&self.gateway, &self.request, self.need, &tried).await;
        let place = place.ok()?;
        if !self.gateway.try_repeat(&self.request.service) {
            return None;
        }
        self.runs += 1;
        Some(LoadClaim::stream(
            &self.gateway,
            place.target,
            &self.need,
            self.need.prompt,
        ))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are small and positive"
)]
fn grown(made: u32) -> u32 {
    (f64::from(made) * GROWTH) as u32
}
