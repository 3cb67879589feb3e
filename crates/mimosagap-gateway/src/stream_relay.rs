//! Passes a stream on to its caller, and goes on elsewhere when its engine ends.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::migration::{GenerationState, KvCopy, MigrationStep, next_step};
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use tokio::sync::{mpsc, oneshot};

use crate::crash_probe;
use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{keep, pause, prepare};
use crate::handover::{HandoverOrder, HandoverTask, OVERLAP, Successor, hand_over, start_again};
use crate::load_reservation::LoadClaim;
use crate::log::{LogEvent, STREAM_COMPLETE};
use crate::request::RoutedRequest;
use crate::sse::StreamEvent;
use crate::standby::{CopyOrder, SecuredCopy, free, secure_copy};
use crate::state::{SharedGateway, millis};
use crate::stream_body::{Part, RelayBody, relay_body};
use crate::streams::BegunStream;

/// The memory that a generation is expected to need is counted anew after this many tokens.
const RESIZE_STEP: u32 = 32;

/// How much longer than expected an answer is taken to be once it is as long as expected.
const GROWTH: f64 = 1.25;

/// Pause before a generation that found no engine for a copy looks for one again.
const COPY_AGAIN: Duration = Duration::from_millis(150);

/// A copy that is being made.
type CopyTask = oneshot::Receiver<Option<SecuredCopy>>;

/// Passes a stream on until it ends.
pub struct StreamRelay {
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    need: GenerationDemand,
    source: Option<EventSource>,
    first: Option<StreamEvent>,
    claim: LoadClaim,
    sends: u32,
    runs: u32,
    parts: mpsc::Sender<Part>,
    last_event: Option<u64>,
    made: u32,
    expected: u32,
    /// Tokens since its memory was counted.
    since_resize: u32,
    tokens_per_event: u32,
    moves: u32,
    secured: Option<SecuredCopy>,
    copying: Option<CopyTask>,
    copy_again_at: Duration,
    handover: Option<HandoverTask>,
    /// When the engine that leaves is let go although its successor has sent nothing yet.
    overlap_ends: Duration,
    went_on: bool,
    /// Whether a connection to the engine with the copy was opened.
    is_prepared: bool,
    /// When the first event came.
    begun_at: Option<Duration>,
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
            Self::Complete => STREAM_COMPLETE,
            Self::CallerLeft => "caller_left",
            Self::Deadline => "deadline",
            Self::Broken => "broken",
            Self::OutOfOrder => "out_of_order",
        }
    }
}

impl StreamRelay {
    /// A relay and the body that it fills.
    pub fn new(
        gateway: SharedGateway,
        request: Rc<RoutedRequest>,
        need: GenerationDemand,
        stream: Box<BegunStream>,
    ) -> (Self, RelayBody) {
        let (parts, body) = relay_body();
        let tokens_per_event = gateway.with_state(|state| {
            let engine = state.targets.engine_spec(&request.service);
            engine.map_or(1, |engine| engine.tokens_per_event)
        });
        let stream = *stream;
        let relay = Self {
            begun_at: None,
            last_at: gateway.now(),
            gateway,
            last_event: request.head.last_event_id,
            request,
            expected: need.expected_tokens,
            need,
            source: Some(stream.source),
            first: Some(stream.first),
            claim: stream.claim,
            sends: stream.sends,
            runs: stream.runs,
            parts,
            made: 0,
            since_resize: 0,
            tokens_per_event,
            moves: 0,
            secured: None,
            copying: None,
            copy_again_at: Duration::ZERO,
            handover: None,
            overlap_ends: Duration::ZERO,
            went_on: false,
            is_prepared: false,
            longest_gap: Duration::ZERO,
        };
        (relay, body)
    }

    /// Passes the stream on until it ends.
    pub async fn run(mut self) {
        let end = self.relay().await;
        // A handover that was begun has no use any more.
        self.handover = None;
        if matches!(end, RelayEnd::Complete) {
            self.claim.outcome(TargetOutcome::Completed);
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
        self.count_pace();
        let route = self.request.route.name.as_str();
        self.gateway
            .metrics
            .observe_longest_pause(route, self.longest_gap);
        self.gateway.log.event(&LogEvent::StreamEnded {
            id: &self.request.head.attempt_id,
            target: &self.gateway.instance(self.claim.target),
            how: end.name(),
            last_event: self.last_event.unwrap_or(0),
            hinted_tokens: self.request.head.output_tokens_hint.unwrap_or(0),
            most_tokens: self.request.head.max_output_tokens,
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
        loop {
            let leaving = gateway.target_leaving.notified();
            self.leave_in_time();
            if self.source.is_none() && self.handover.is_none() {
                self.handover = self.late_handover();
                if self.handover.is_none() {
                    return RelayEnd::Broken;
                }
            }
            let overlap_end = self.overlap_ends.saturating_sub(gateway.now());
            let is_overlap = self.source.is_some() && self.handover.is_some();
            let Self {
                source,
                handover,
                copying,
                ..
            } = self;
            let item = tokio::select! {
                biased;
                () = parts.closed() => return RelayEnd::CallerLeft,
                item = async { source.as_mut().expect("checked").next().await }, if source.is_some() => item,
                successor = async { handover.as_mut().expect("checked").await }, if handover.is_some() => {
                    self.handover = None;
                    match successor {
                        Some(successor) => self.adopt(successor),
                        None => continue,
                    }
                }
                copy = async { copying.as_mut().expect("checked").await }, if copying.is_some() => {
                    self.copying = None;
                    if let Some(copy) = copy.ok().flatten() {
                        prepare(&gateway, copy.target);
                        self.secured = Some(copy);
                    } else {
                        self.copy_again_at = gateway.now() + COPY_AGAIN;
                    }
                    continue;
                }
                () = tokio::time::sleep(overlap_end), if is_overlap => {
                    self.source = None;
                    continue;
                }
                () = leaving => continue,
                () = &mut deadline => return RelayEnd::Deadline,
            };
            match item {
                SourceItem::Event(event) => {
                    if let Err(end) = self.pass(event).await {
                        return end;
                    }
                }
                SourceItem::End => return RelayEnd::Complete,
                SourceItem::Broken => {
                    self.source_broke(TargetOutcome::Failed);
                    crash_probe::connection_broke(&gateway, self.claim.target, self.request.mark);
                }
                SourceItem::Endless => self.source_broke(TargetOutcome::EndlessResponse),
            }
        }
    }

    /// Copies the run or hands it over if its engine leaves before it can end.
    fn leave_in_time(&mut self) {
        let now = self.gateway.now();
        if self.source.is_none() {
            return;
        }
        let holder = self.secured.as_ref().map(|copy| copy.target);
        let leaves = |key| {
            self.gateway
                .with_state(|state| state.targets.is_leaving(key, now))
        };
        if holder.is_some_and(leaves) {
            self.secured = None;
        }
        let run = self.run_state();
        let step = self
            .gateway
            .with_state(|state| next_step(&state.targets, &self.request.service, &run, now));
        match step {
            MigrationStep::Stay => {}
            MigrationStep::Copy(_) if now < self.copy_again_at => {}
            MigrationStep::Copy(preferred) => self.begin_copy(preferred),
            MigrationStep::Await(target) => {
                if !std::mem::replace(&mut self.is_prepared, true) {
                    prepare(&self.gateway, target);
                }
            }
            MigrationStep::HandOver(_) => {
                self.overlap_ends = now + OVERLAP;
                self.handover = self.copy_handover();
            }
        }
    }

    fn run_state(&self) -> GenerationState {
        let kv_copy = self.secured.as_ref().map(|copy| KvCopy {
            target: copy.target,
            completed_at: copy.made_at,
        });
        GenerationState {
            source: self.claim.target,
            generated_tokens: self.made,
            expected_tokens: self.expected,
            time_per_token: self.gateway.token_time(&self.request.service),
            kv_copy,
            is_copying: self.copying.is_some(),
            is_handed_over: self.handover.is_some(),
        }
    }

    fn begin_copy(&mut self, preferred: Option<TargetKey>) {
        let order = CopyOrder {
            source: self.claim.target,
            preferred,
            id: self.request.head.attempt_id.clone(),
            need: self.current_need(),
        };
        let copy = secure_copy(Rc::clone(&self.gateway), Rc::clone(&self.request), order);
        let (sender, receiver) = oneshot::channel();
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move {
            // The run may end before its copy is complete, which then has no use.
            if let Err(Some(copy)) = sender.send(copy.await) {
                free(&gateway, copy);
            }
        });
        self.copying = Some(receiver);
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
                id: &self.request.head.attempt_id,
                target: &self.gateway.instance(self.claim.target),
                last_event: self.last_event.unwrap_or(0),
                silent_ms: self.silent_ms(),
            });
        }
        self.last_event = event.id.or(self.last_event);
        self.made += self.tokens_per_event;
        if self.made > self.expected {
            self.expected = grown(self.made);
        }
        self.since_resize += self.tokens_per_event;
        if self.since_resize >= RESIZE_STEP {
            self.since_resize = 0;
            self.claim.resize(self.current_need().mean_kv_tokens());
        }
        let now = self.gateway.now();
        if self.made > self.tokens_per_event {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.begun_at.get_or_insert(now);
        self.last_at = now;
        self.deliver(Part::Event(event.bytes)).await
    }

    /// Hands a part to the caller. One that reads slowly must not keep two engines at work.
    async fn deliver(&mut self, part: Part) -> Result<(), RelayEnd> {
        let parts = self.parts.clone();
        let send = parts.send(part);
        tokio::pin!(send);
        if self.source.is_some() && self.handover.is_some() {
            let left = self.overlap_ends.saturating_sub(self.gateway.now());
            if let Ok(sent) = tokio::time::timeout(left, &mut send).await {
                return sent.map_err(|_| RelayEnd::CallerLeft);
            }
            self.source = None;
        }
        send.await.map_err(|_| RelayEnd::CallerLeft)
    }

    /// What it needs by what is expected of it now.
    fn current_need(&self) -> GenerationDemand {
        GenerationDemand {
            expected_tokens: self.expected,
            generated_tokens: self.made,
            ..self.need
        }
    }

    fn count_length(&self) {
        if let Some(hint) = self.request.head.output_tokens_hint {
            self.gateway.with_state(|state| {
                if let Some(lengths) = state.length_estimators.get_mut(&self.request.route.name) {
                    lengths.record_completion(hint, self.made);
                }
            });
        }
    }

    fn count_pace(&self) {
        let Some(begun_at) = self.begun_at else {
            return;
        };
        let tokens = self.made.saturating_sub(self.tokens_per_event);
        let took = self.last_at.saturating_sub(begun_at);
        self.gateway.with_state(|state| {
            let service = self.request.service.clone();
            state
                .token_paces
                .entry(service)
                .or_default()
                .record(tokens, took);
        });
    }

    /// Time since the last event.
    fn silent_ms(&self) -> u64 {
        millis(self.gateway.now().saturating_sub(self.last_at))
    }

    /// The engine ended, or its connection did.
    fn source_broke(&mut self, outcome: TargetOutcome) {
        self.source = None;
        self.copying = None;
        self.gateway.log.event(&LogEvent::StreamBroke {
            id: &self.request.head.attempt_id,
            target: &self.gateway.instance(self.claim.target),
            last_event: self.last_event.unwrap_or(0),
            silent_ms: self.silent_ms(),
            has_copy: self.secured.is_some() || self.handover.is_some(),
        });
        self.claim.outcome(outcome);
    }

    /// Hands over after the engine ended.
    fn late_handover(&mut self) -> Option<HandoverTask> {
        if let Some(task) = self.copy_handover() {
            return Some(task);
        }
        let route = &self.request.route;
        if !route.kind.is_idempotent() || self.runs >= route.max_attempts {
            return None;
        }
        self.runs += 1;
        let order = HandoverOrder {
            need: self.need,
            ..self.handover_order()
        };
        Some(Box::pin(start_again(order, self.claim.target)))
    }

    /// Goes on from the copy made last.
    fn copy_handover(&mut self) -> Option<HandoverTask> {
        let SecuredCopy { claim, name, .. } = self.secured.take()?;
        self.gateway.log.event(&LogEvent::Handover {
            id: &self.request.head.attempt_id,
            from: &self.gateway.instance(self.claim.target),
            to: &self.gateway.instance(claim.target),
            last_event: self.last_event.unwrap_or(0),
            silent_ms: self.silent_ms(),
            is_running: self.source.is_some(),
        });
        Some(Box::pin(hand_over(
            self.handover_order(),
            claim,
            Some(name),
        )))
    }

    fn handover_order(&mut self) -> HandoverOrder {
        self.sends += 1;
        HandoverOrder {
            gateway: Rc::clone(&self.gateway),
            request: Rc::clone(&self.request),
            need: self.current_need(),
            attempt: self.sends,
            last_event: self.last_event.unwrap_or(0),
        }
    }

    /// Goes on with the successor. Its predecessor's connection is closed, which ends the run there.
    fn adopt(&mut self, successor: Successor) -> SourceItem {
        self.source = Some(successor.source);
        self.claim = successor.claim;
        self.moves += 1;
        self.went_on = true;
        self.is_prepared = false;
        self.copying = None;
        successor.first
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
