//! Relays a stream to its caller and resumes it at another engine when its engine leaves or fails.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::migration::{GenerationState, KvCopy, MigrationStep, next_step};
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::quarantine::PROOF_TIME;
use mimosagap_routing::retry_budget::RetryPurpose;
use mimosagap_routing::target_suspicion::{EventWait, LifeSign};
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use mimosagap_types::prelude::*;
use tokio::sync::oneshot;

use crate::crash_probe::{self, AnswerProgress};
use crate::credit_loans;
use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{preconnect, release_connection, sleep_unless_zero};
use crate::handover::{
    HandoverJob, HandoverTask, MAX_OVERLAP, ResumedStream, STOP_TIMEOUT, restart_stream,
    resume_stopped, resume_stream,
};
use crate::hang_watch::{self, HangWatch};
use crate::load_reservation::LoadReservation;
use crate::log::{LogEvent, STREAM_COMPLETE};
use crate::reach;
use crate::request::RoutedRequest;
use crate::residency;
use crate::resumption;
use crate::sse::StreamEvent;
use crate::standby::{
    CopyJob, StandbyCopy, StopOrder, create_standby, release_standby, stop_source,
};
use crate::state::{SharedGateway, millis};
use crate::stream_body::{PartSender, StreamBody, StreamPart, stream_body};
use crate::streams::StartedStream;
use crate::suspicion;

/// The reservation of a generation is resized whenever it has produced this many tokens.
const RESIZE_INTERVAL_TOKENS: u32 = 32;

/// Once a generation exceeds its expected length, the estimate becomes this multiple of its length.
const LENGTH_GROWTH: f64 = 1.25;

/// Delay before another copy is attempted after one failed or found no engine.
const COPY_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay before the retry budget is asked again after it denied a move: less than the round trip of a
/// loan, whose arrival wakes the stream.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Copy in progress. Yields `None` if no engine took it.
type CopyReceiver = oneshot::Receiver<Option<StandbyCopy>>;

/// The engine of a stream that was asked to stop, so that another one can go on.
struct SourceStop {
    ordered_at: Duration,
    /// When the next step is due if the engine has not stopped: the next engine is asked to go on,
    /// and after that the stream stays.
    due_at: Duration,
    /// The stream of the next engine, once that has begun.
    resumed: Option<ResumedStream>,
}

/// Whether the engine of a stream was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopRequest {
    NotAsked,
    /// It was asked, and may stop late.
    Asked,
    /// It did not stop in time, so that the stream stays there.
    Ignored,
}

/// Relays one stream until it ends.
pub struct StreamRelay {
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    demand: GenerationDemand,
    source: Option<EventSource>,
    first_event: Option<StreamEvent>,
    reservation: LoadReservation,
    sends: u32,
    executions: u32,
    part_sender: PartSender,
    last_event_id: Option<u64>,
    generated_tokens: u32,
    expected_tokens: u32,
    /// Tokens since the reservation was resized.
    tokens_since_resize: u32,
    tokens_per_event: u32,
    resume_count: u32,
    standby: Option<StandbyCopy>,
    copy_task: Option<CopyReceiver>,
    next_copy_at: Duration,
    /// When the retry budget may be asked again for a move.
    next_move_at: Duration,
    handover: Option<HandoverTask>,
    /// The engine that the handover goes to.
    next_target: Option<TargetKey>,
    source_stop: Option<SourceStop>,
    /// The order to stop, until what it left behind is used or released.
    stop_order: Option<StopOrder>,
    stop_request: StopRequest,
    /// Version of the engine that began the stream, which is the only one that may continue it;
    /// `None` if unknown.
    version: Option<SoftwareVersion>,
    /// Whether the stream was resumed and no event has been forwarded since.
    is_resuming: bool,
    /// Whether a connection to the engine with the copy was requested ahead of the handover.
    is_preconnected: bool,
    /// When the first event was forwarded; `None` before that.
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    longest_gap: Duration,
    /// Whether the answer went on for long enough to prove that the request crashes no target.
    is_proved: bool,
    /// Reports the engine if the stream stops; `None` if it may stop, or if that is not enabled.
    hang_watch: Option<HangWatch>,
}

enum RelayEnd {
    Complete,
    CallerLeft,
    Deadline,
    Aborted,
    OutOfOrder,
}

impl RelayEnd {
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => STREAM_COMPLETE,
            Self::CallerLeft => "caller_left",
            Self::Deadline => "deadline",
            Self::Aborted => "broken",
            Self::OutOfOrder => "out_of_order",
        }
    }
}

impl StreamRelay {
    /// Creates a relay and the response body that it feeds.
    pub fn new(
        gateway: SharedGateway,
        request: Rc<RoutedRequest>,
        demand: GenerationDemand,
        stream: Box<StartedStream>,
    ) -> (Self, StreamBody) {
        let (part_sender, body) = stream_body();
        let tokens_per_event = gateway.with_state(|state| {
            let engine = state.targets.engine_spec(&request.service);
            engine.map_or(1, |engine| engine.tokens_per_event)
        });
        let stream = *stream;
        let target = stream.reservation.target;
        let wait = EventWait::Next {
            since: gateway.now(),
        };
        let hang_watch = HangWatch::start(&gateway, target, &request.service, wait);
        let relay = Self {
            first_event_at: None,
            last_event_at: gateway.now(),
            gateway,
            last_event_id: request.head.last_event_id,
            request,
            expected_tokens: demand.expected_tokens,
            demand,
            source: Some(stream.source),
            first_event: Some(stream.first_event),
            reservation: stream.reservation,
            sends: stream.sends,
            executions: stream.executions,
            part_sender,
            generated_tokens: 0,
            tokens_since_resize: 0,
            tokens_per_event,
            resume_count: 0,
            standby: None,
            copy_task: None,
            next_copy_at: Duration::ZERO,
            next_move_at: Duration::ZERO,
            handover: None,
            next_target: None,
            source_stop: None,
            stop_order: None,
            stop_request: StopRequest::NotAsked,
            version: stream.version,
            is_resuming: false,
            is_preconnected: false,
            longest_gap: Duration::ZERO,
            is_proved: false,
            hang_watch,
        };
        (relay, body)
    }

    /// Relays the stream until it ends, then records and logs its outcome.
    pub async fn run(mut self) {
        let end = self.relay_events().await;
        // The caller may take the rest slowly, which says nothing about the engine.
        self.hang_watch = None;
        // A handover in progress is no longer needed.
        self.handover = None;
        if matches!(end, RelayEnd::Complete) {
            self.reservation.record_outcome(TargetOutcome::Completed);
            self.record_proof();
            self.record_length();
            resumption::note_complete(&self.gateway, &self.request);
            // This fails only if the caller has left, and then no end is needed.
            let _ = self.part_sender.send(StreamPart::End).await;
            if let Some(source) = self.source.take() {
                release_connection(
                    &self.gateway,
                    self.reservation.target,
                    &source.head,
                    source.connection,
                );
            }
        }
        if let Some(copy) = self.standby.take() {
            release_standby(&self.gateway, copy);
        }
        if let Some(order) = self.stop_order.take() {
            order.release(&self.gateway);
        }
        self.record_token_time();
        let route = self.request.route.name.as_str();
        self.gateway
            .metrics
            .observe_longest_gap(route, self.longest_gap);
        self.gateway.log.event(&LogEvent::StreamEnded {
            id: &self.request.head.attempt_id,
            target: &self.gateway.instance(self.reservation.target),
            how: end.name(),
            last_event: self.last_event_id.unwrap_or(0),
            hinted_tokens: self.request.head.output_tokens_hint.unwrap_or(0),
            most_tokens: self.request.head.max_output_tokens,
            made_tokens: self.generated_tokens,
            moves: self.resume_count,
            longest_gap_ms: millis(self.longest_gap),
            after_ms: millis(self.gateway.now().saturating_sub(self.request.arrived_at)),
        });
    }

    async fn relay_events(&mut self) -> RelayEnd {
        if let Some(first_event) = self.first_event.take()
            && let Err(end) = self.forward_event(first_event).await
        {
            return end;
        }
        let deadline = sleep_unless_zero(self.request.response_time_left(self.gateway.now()));
        tokio::pin!(deadline);
        let gateway = Rc::clone(&self.gateway);
        let part_sender = self.part_sender.clone();
        loop {
            let target_leaving = gateway.target_leaving.notified();
            self.migrate_if_leaving();
            if self.source.is_none()
                && let Some(first_item) = self.take_resumed()
            {
                if let Err(end) = self.handle_item(first_item).await {
                    return end;
                }
                continue;
            }
            if self.source.is_none() && self.handover.is_none() {
                self.handover = self.recover();
                if self.handover.is_none() {
                    return RelayEnd::Aborted;
                }
            }
            let now = gateway.now();
            let stop_due_in = self
                .source_stop
                .as_ref()
                .map(|stop| stop.due_at.saturating_sub(now));
            let Self {
                source,
                handover,
                copy_task,
                ..
            } = self;
            let item = tokio::select! {
                biased;
                () = part_sender.closed() => return RelayEnd::CallerLeft,
                item = async { source.as_mut().expect("guarded by is_some").next().await },
                    if source.is_some() => item,
                resumed = async { handover.as_mut().expect("guarded by is_some").await },
                    if handover.is_some() =>
                {
                    self.handover = None;
                    let Some(resumed) = resumed else {
                        self.source_stop = None;
                        continue;
                    };
                    match &mut self.source_stop {
                        Some(stop) if self.source.is_some() => {
                            stop.resumed = Some(resumed);
                            continue;
                        }
                        _ => self.switch_to(resumed),
                    }
                }
                copy = async { copy_task.as_mut().expect("guarded by is_some").await },
                    if copy_task.is_some() =>
                {
                    self.copy_task = None;
                    if let Some(copy) = copy.ok().flatten() {
                        preconnect(&gateway, copy.target);
                        self.standby = Some(copy);
                    } else {
                        self.next_copy_at = gateway.now() + COPY_RETRY_DELAY;
                    }
                    continue;
                }
                () = tokio::time::sleep(stop_due_in.unwrap_or_default()),
                    if stop_due_in.is_some() && source.is_some() =>
                {
                    self.advance_stop();
                    continue;
                }
                () = target_leaving => continue,
                () = &mut deadline => return RelayEnd::Deadline,
            };
            if let Err(end) = self.handle_item(item).await {
                return end;
            }
        }
    }

    /// Forwards an event, or prepares to go on at another engine. An error is the end of the relay.
    async fn handle_item(&mut self, item: SourceItem) -> Result<(), RelayEnd> {
        match item {
            SourceItem::Event(event) => return self.forward_event(event).await,
            SourceItem::End if !self.may_be_cut() => return Err(RelayEnd::Complete),
            SourceItem::End | SourceItem::Aborted if self.was_asked_to_stop() => {
                self.log_move("stopped");
                self.source = None;
                if self.handover.is_none() {
                    self.handover = self.hand_over_to_standby();
                }
            }
            SourceItem::End | SourceItem::Aborted => {
                self.record_failure(TargetOutcome::Failed);
                crash_probe::probe_after_failure(
                    &self.gateway,
                    self.reservation.target,
                    &self.request,
                    AnswerProgress {
                        events: self.generated_tokens / self.tokens_per_event.max(1),
                        is_proved: self.is_proved,
                    },
                );
            }
            SourceItem::LimitExceeded => self.record_failure(TargetOutcome::LimitExceeded),
        }
        Ok(())
    }

    /// Copies the generation or hands it over if its engine leaves before the expected end.
    fn migrate_if_leaving(&mut self) {
        let now = self.gateway.now();
        if self.source.is_none() || self.stop_request == StopRequest::Ignored {
            return;
        }
        let standby_target = self.standby.as_ref().map(|copy| copy.target);
        let is_leaving = |key| {
            self.gateway
                .with_state(|state| state.targets.is_leaving(key, now))
        };
        let is_evacuated = |key| {
            self.gateway
                .with_state(|state| state.targets.is_evacuated(key))
        };
        if standby_target.is_some_and(is_leaving) {
            self.standby = None;
        } else if standby_target.is_some_and(is_evacuated)
            && let Some(copy) = self.standby.take()
        {
            // Its engine runs on and would keep the memory of the copy.
            release_standby(&self.gateway, copy);
        }
        self.release_denied_standby();
        let generation = self.generation_state();
        let step = self
            .gateway
            .with_state(|state| next_step(&state.targets, &self.request.service, &generation, now));
        match step {
            MigrationStep::Stay => {}
            MigrationStep::Copy(_) if now < self.next_copy_at => {}
            MigrationStep::Copy(preferred) => self.start_copy(preferred),
            MigrationStep::Await(target) => {
                if !std::mem::replace(&mut self.is_preconnected, true) {
                    preconnect(&self.gateway, target);
                }
            }
            MigrationStep::HandOver(_) if now < self.next_move_at => {}
            MigrationStep::HandOver(target) => self.stop_source(target),
        }
    }

    /// Releases the copy if its engine is in a region that is not allowed any longer.
    fn release_denied_standby(&mut self) {
        let Some(target) = self.standby.as_ref().map(|copy| copy.target) else {
            return;
        };
        if residency::permit_target(&self.gateway, &self.request, target).is_none() {
            let policy = residency::policy(&self.gateway, &self.request);
            residency::log_target(&self.gateway, &self.request, &policy, "denied", target);
            if let Some(copy) = self.standby.take() {
                release_standby(&self.gateway, copy);
            }
        }
    }

    fn generation_state(&self) -> GenerationState {
        let kv_copy = self.standby.as_ref().map(|copy| KvCopy {
            target: copy.target,
            completed_at: copy.completed_at,
        });
        GenerationState {
            source: self.reservation.target,
            generated_tokens: self.generated_tokens,
            expected_tokens: self.expected_tokens,
            time_per_token: self.gateway.token_time(&self.request.service),
            kv_copy,
            is_copying: self.copy_task.is_some(),
            is_handed_over: self.handover.is_some() || self.source_stop.is_some(),
        }
    }

    fn start_copy(&mut self, preferred: Option<TargetKey>) {
        let job = CopyJob {
            source: self.reservation.target,
            preferred,
            id: self.request.head.attempt_id.clone(),
            demand: self.current_demand(),
        };
        let copy = create_standby(Rc::clone(&self.gateway), Rc::clone(&self.request), job);
        let (sender, receiver) = oneshot::channel();
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move {
            // If the relay has ended meanwhile, the copy is not needed.
            if let Err(Some(copy)) = sender.send(copy.await) {
                release_standby(&gateway, copy);
            }
        });
        self.copy_task = Some(receiver);
    }

    /// Forwards an event unless the caller has it already.
    async fn forward_event(&mut self, event: StreamEvent) -> Result<(), RelayEnd> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            if id <= last {
                return Ok(());
            }
            if id != last + 1 {
                return Err(RelayEnd::OutOfOrder);
            }
        }
        if std::mem::take(&mut self.is_resuming) {
            let target = self.reservation.target;
            let version = self.gateway.software_version(target);
            self.gateway.log.event(&LogEvent::StreamWentOn {
                id: &self.request.head.attempt_id,
                target: &self.gateway.instance(target),
                from_version: self.version.as_ref().map_or("", SoftwareVersion::as_str),
                version: version.as_ref().map_or("", SoftwareVersion::as_str),
                last_event: self.last_event_id.unwrap_or(0),
                silent_ms: self.gap_ms(),
            });
        }
        self.last_event_id = event.id.or(self.last_event_id);
        self.generated_tokens += self.tokens_per_event;
        if self.generated_tokens > self.expected_tokens {
            self.expected_tokens = extended_estimate(self.generated_tokens);
        }
        self.tokens_since_resize += self.tokens_per_event;
        if self.tokens_since_resize >= RESIZE_INTERVAL_TOKENS {
            self.tokens_since_resize = 0;
            self.reservation
                .resize(self.current_demand().mean_kv_tokens());
        }
        reach::record_contact(&self.gateway, &self.request.service);
        hang_watch::record_sign(&self.gateway, self.reservation.target, LifeSign::Event);
        let now = self.gateway.now();
        if self.generated_tokens > self.tokens_per_event {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_event_at));
        }
        let first_event_at = *self.first_event_at.get_or_insert(now);
        self.last_event_at = now;
        if now.saturating_sub(first_event_at) >= PROOF_TIME {
            self.record_proof();
        }
        // While the caller reads slowly, silence says nothing of the engine.
        self.set_wait(None);
        let result = self.send_part(StreamPart::Event(event.bytes)).await;
        self.set_wait(Some(EventWait::Next {
            since: self.gateway.now(),
        }));
        result
    }

    fn set_wait(&self, wait: Option<EventWait>) {
        if let Some(watch) = &self.hang_watch {
            watch.set_wait(wait);
        }
    }

    /// Sends a part to the caller. During an overlap the wait for a slow caller is bounded, so that
    /// it does not keep two engines at work.
    async fn send_part(&mut self, part: StreamPart) -> Result<(), RelayEnd> {
        let part_sender = self.part_sender.clone();
        let send = part_sender.send(part);
        tokio::pin!(send);
        if self.source.is_some()
            && self.handover.is_some()
            && let Some(stop) = &self.source_stop
        {
            let time_left = stop.due_at.saturating_sub(self.gateway.now());
            if let Ok(sent) = tokio::time::timeout(time_left, &mut send).await {
                return sent.map_err(|_| RelayEnd::CallerLeft);
            }
            self.stay_at_source();
        }
        send.await.map_err(|_| RelayEnd::CallerLeft)
    }

    /// Asks the engine to stop, because another one is to go on.
    fn stop_source(&mut self, next: TargetKey) {
        let Some(permitted) = residency::permit_target(&self.gateway, &self.request, next) else {
            return;
        };
        // The budget has to allow the handover before the engine stops.
        if !self
            .gateway
            .try_spend_retry(&self.request, RetryPurpose::Move)
        {
            if self.gateway.has_unreliable_targets() {
                self.next_move_at = self.gateway.now() + MOVE_RETRY_DELAY;
                credit_loans::start_borrowing(&self.gateway, &self.request.service);
            }
            return;
        }
        let now = self.gateway.now();
        let id = &self.request.head.attempt_id;
        let order = stop_source(&self.gateway, id, self.reservation.target, permitted);
        self.next_target = Some(next);
        self.stop_order = Some(order);
        self.hang_watch = None;
        self.stop_request = StopRequest::Asked;
        self.source_stop = Some(SourceStop {
            ordered_at: now,
            due_at: now + STOP_TIMEOUT,
            resumed: None,
        });
        self.log_move("stop");
    }

    /// Goes on with the handover from an engine that has not stopped in time.
    fn advance_stop(&mut self) {
        // Without a copy left, the handover was tried already.
        self.handover = self.hand_over_to_standby();
        if self.handover.is_none() {
            self.stay_at_source();
        } else if let Some(stop) = &mut self.source_stop {
            stop.due_at = self.gateway.now() + MAX_OVERLAP;
        }
    }

    /// Gives a handover up, because the engine has not stopped. Closing the connection to the next
    /// engine ends the generation there.
    fn stay_at_source(&mut self) {
        self.log_move("stays");
        self.handover = None;
        self.source_stop = None;
        self.stop_request = StopRequest::Ignored;
    }

    /// Whether the engine was asked to stop. It may do so late, or not at all.
    fn was_asked_to_stop(&self) -> bool {
        self.stop_request != StopRequest::NotAsked
    }

    /// Whether the end of the body may be that of a generation that was stopped.
    fn may_be_cut(&self) -> bool {
        self.was_asked_to_stop()
            && self
                .source
                .as_ref()
                .is_some_and(EventSource::is_close_delimited)
    }

    /// Goes on with the stream of the next engine, if that has begun, and returns its first item.
    fn take_resumed(&mut self) -> Option<SourceItem> {
        let resumed = self.source_stop.take()?.resumed?;
        Some(self.switch_to(resumed))
    }

    fn log_move(&self, step: &str) {
        let steps = &self.gateway.metrics.migration_steps;
        steps.with_label_values(&[step]).inc();
        let next = self.next_target.map(|key| self.gateway.instance(key));
        let now = self.gateway.now();
        let ordered_at = self
            .source_stop
            .as_ref()
            .map_or(now, |stop| stop.ordered_at);
        self.gateway.log.event(&LogEvent::Move {
            id: &self.request.head.attempt_id,
            from: &self.gateway.instance(self.reservation.target),
            to: next.as_deref().unwrap_or(""),
            step,
            after_ms: millis(now.saturating_sub(ordered_at)),
        });
    }

    /// What the generation needs by the current estimate of its length.
    fn current_demand(&self) -> GenerationDemand {
        GenerationDemand {
            expected_tokens: self.expected_tokens,
            generated_tokens: self.generated_tokens,
            ..self.demand
        }
    }

    /// Records, once, that the request crashes no target.
    fn record_proof(&mut self) {
        if !std::mem::replace(&mut self.is_proved, true) {
            suspicion::report_sound(&self.gateway, &self.request.traits);
        }
    }

    fn record_length(&self) {
        if let Some(hint) = self.request.head.output_tokens_hint {
            self.gateway.with_state(|state| {
                if let Some(lengths) = state.length_estimators.get_mut(&self.request.route.name) {
                    lengths.record_completion(hint, self.generated_tokens);
                }
            });
        }
    }

    fn record_token_time(&self) {
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        let tokens = self.generated_tokens.saturating_sub(self.tokens_per_event);
        let elapsed = self.last_event_at.saturating_sub(first_event_at);
        self.gateway.with_state(|state| {
            let service = self.request.service.clone();
            state
                .token_time_estimators
                .entry(service)
                .or_default()
                .record(tokens, elapsed);
        });
    }

    /// Milliseconds since the last event.
    fn gap_ms(&self) -> u64 {
        millis(self.gateway.now().saturating_sub(self.last_event_at))
    }

    /// Records that the engine or its connection failed.
    fn record_failure(&mut self, outcome: TargetOutcome) {
        self.source = None;
        self.hang_watch = None;
        self.copy_task = None;
        self.gateway.log.event(&LogEvent::StreamBroke {
            id: &self.request.head.attempt_id,
            target: &self.gateway.instance(self.reservation.target),
            last_event: self.last_event_id.unwrap_or(0),
            silent_ms: self.gap_ms(),
            has_copy: self.standby.is_some() || self.handover.is_some(),
        });
        self.reservation.record_outcome(outcome);
    }

    /// Resumes after the engine failed, from a copy if there is one. Without a copy the generation
    /// is restarted if the route allows another attempt.
    fn recover(&mut self) -> Option<HandoverTask> {
        if let Some(task) = self.hand_over_to_standby() {
            return Some(task);
        }
        if let Some(order) = self.stop_order.take()
            && self.was_asked_to_stop()
            && self
                .gateway
                .try_spend_retry(&self.request, RetryPurpose::Move)
        {
            return Some(Box::pin(resume_stopped(self.next_handover_job(), order)));
        }
        let version = self.version.clone()?;
        let route = &self.request.route;
        if !route.kind.is_idempotent()
            || self.executions >= route.max_attempts
            || suspicion::is_blocked(&self.gateway, &self.request)
        {
            return None;
        }
        self.executions += 1;
        let job = HandoverJob {
            demand: self.demand,
            ..self.next_handover_job()
        };
        let failed = self.reservation.target;
        Some(Box::pin(restart_stream(job, version, failed)))
    }

    /// Starts to resume from the standby copy. The retry budget was asked before the engine was asked
    /// to stop; without that it is asked now.
    fn hand_over_to_standby(&mut self) -> Option<HandoverTask> {
        self.release_denied_standby();
        let target = self.standby.as_ref()?.target;
        if self
            .gateway
            .with_state(|state| state.targets.is_evacuated(target))
        {
            release_standby(&self.gateway, self.standby.take()?);
            return None;
        }
        let permitted = residency::permit_target(&self.gateway, &self.request, target)?;
        let is_paid = self.source_stop.is_some();
        let purpose = RetryPurpose::Move;
        let is_paid = is_paid || self.gateway.try_spend_retry(&self.request, purpose);
        if !is_paid && !self.gateway.has_unreliable_targets() {
            return None;
        }
        let copy = self.standby.take()?;
        self.gateway.log.event(&LogEvent::Handover {
            id: &self.request.head.attempt_id,
            from: &self.gateway.instance(self.reservation.target),
            to: &self.gateway.instance(copy.target),
            last_event: self.last_event_id.unwrap_or(0),
            silent_ms: self.gap_ms(),
            is_running: self.source.is_some() || self.was_asked_to_stop(),
        });
        self.next_target = Some(copy.target);
        if self.source.is_none() {
            // An engine that lost the connection may still run the generation.
            let id = &self.request.head.attempt_id;
            stop_source(&self.gateway, id, self.reservation.target, permitted);
        }
        let job = self.next_handover_job();
        Some(Box::pin(async move {
            if !is_paid && !borrow_for_move(&job).await {
                release_standby(&job.gateway, copy);
                return None;
            }
            let StandbyCopy {
                reservation,
                kv_source,
                ..
            } = copy;
            resume_stream(job, reservation, Some(kv_source)).await
        }))
    }

    fn next_handover_job(&mut self) -> HandoverJob {
        self.sends += 1;
        HandoverJob {
            gateway: Rc::clone(&self.gateway),
            request: Rc::clone(&self.request),
            demand: self.current_demand(),
            attempt: self.sends,
            last_event_id: self.last_event_id.unwrap_or(0),
        }
    }

    /// Continues with the resumed stream, after the previous engine stopped or failed.
    fn switch_to(&mut self, resumed: ResumedStream) -> SourceItem {
        self.stop_request = StopRequest::NotAsked;
        self.source_stop = None;
        if let Some(order) = self.stop_order.take() {
            order.release(&self.gateway);
        }
        self.source = Some(resumed.source);
        self.reservation = resumed.reservation;
        let target = self.reservation.target;
        let wait = EventWait::Next {
            since: self.gateway.now(),
        };
        self.hang_watch = HangWatch::start(&self.gateway, target, &self.request.service, wait);
        self.resume_count += 1;
        self.is_resuming = true;
        self.is_preconnected = false;
        self.copy_task = None;
        resumed.first_item
    }
}

/// Borrows the credit for a move and spends it. Returns whether the budget allows the move.
async fn borrow_for_move(job: &HandoverJob) -> bool {
    let (gateway, request) = (&job.gateway, &job.request);
    credit_loans::borrow(gateway, &request.service).await
        && gateway.try_spend_retry(request, RetryPurpose::Move)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "lengths are small and positive"
)]
fn extended_estimate(generated_tokens: u32) -> u32 {
    (f64::from(generated_tokens) * LENGTH_GROWTH) as u32
}
