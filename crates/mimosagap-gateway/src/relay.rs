//! Passes a stream on to its caller, and goes on elsewhere when its engine ends.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use mimosagap_routing::moves::{can_take_over, is_worth_moving};
use mimosagap_routing::placement::StreamNeed;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use tokio::sync::mpsc;

use crate::answer::BrokenStream;
use crate::claim::LoadClaim;
use crate::copies::{CopyOrder, SecuredCopy, free, secure_copy};
use crate::events::StreamEvent;
use crate::exchange::{keep, pause, prepare};
use crate::handover::{HandoverOrder, HandoverTask, OVERLAP, Successor, hand_over, start_again};
use crate::health;
use crate::log::{COMPLETE, LogEvent};
use crate::request::RoutedRequest;
use crate::source::{EventSource, SourceItem};
use crate::state::{SharedGateway, millis};
use crate::streams::{BegunStream, address};

/// Events between the relay and a caller that reads slowly; bounds the memory of a stream.
const QUEUED_EVENTS: usize = 16;

/// How much longer than expected an answer is taken to be once it is as long as expected.
const GROWTH: f64 = 1.25;

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
pub struct RelayBody {
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

type Copying = Pin<Box<dyn Future<Output = Option<SecuredCopy>>>>;

/// What a generation needs whose engine leaves.
enum CopyNeed {
    /// The engine that has had a copy from the start is there.
    InPlace(TargetKey),
    /// A copy has to be made, if possible at the engine named.
    Another(Option<TargetKey>),
}

/// Passes a stream on until it ends.
pub struct StreamRelay {
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
    handover: Option<HandoverTask>,
    /// When the engine that leaves is let go although its successor has sent nothing yet.
    overlap_ends: Duration,
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
            Self::Complete => COMPLETE,
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
        need: StreamNeed,
        stream: Box<BegunStream>,
    ) -> (Self, RelayBody) {
        let (parts, receiver) = mpsc::channel(QUEUED_EVENTS);
        let body = RelayBody {
            parts: receiver,
            is_done: false,
        };
        let tokens_per_event = gateway.with(|beliefs| {
            let engine = beliefs.targets.engine(&request.service);
            engine.map_or(1, |engine| engine.tokens_per_event)
        });
        let stream = *stream;
        let relay = Self {
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
        let route = self.request.route.name.as_str();
        self.gateway.metrics.paused(route, self.longest_gap);
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
            if !self.begin_handover() {
                return RelayEnd::Broken;
            }
            let overlap_end = self.overlap_ends.saturating_sub(gateway.now());
            let (source, handover) = (&mut self.source, &mut self.handover);
            let is_overlap = source.is_some() && handover.is_some();
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
                    copying = None;
                    if let Some(copy) = copy {
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
                () = leaving, if copying.is_none() => continue,
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
                    copying = None;
                    self.source_broke();
                }
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
            need: self.current_need(),
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
            self.claim.resize(self.current_need().tokens());
        }
        let now = self.gateway.now();
        if self.made > self.tokens_per_event {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.last_at = now;
        let sent = self.parts.send(Part::Event(event.bytes)).await;
        sent.map_err(|_| RelayEnd::CallerLeft)
    }

    /// What it needs by what is expected of it now.
    fn current_need(&self) -> StreamNeed {
        StreamNeed {
            output: self.expected,
            ..self.need
        }
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

    /// The engine ended, or its connection did.
    fn source_broke(&mut self) {
        self.source = None;
        self.gateway.log.event(&LogEvent::StreamBroke {
            id: &self.request.head.id,
            target: &self.gateway.instance(self.claim.target),
            last_event: self.last_event.unwrap_or(0),
            silent_ms: self.silent_ms(),
            has_copy: self.backup.is_some() || self.secured.is_some() || self.handover.is_some(),
        });
        self.claim.outcome(TargetOutcome::Failed);
        health::connection_broke(&self.gateway, self.claim.target, self.request.mark);
    }

    /// Begins to hand the run over if its engine has ended, or if it leaves and the engine with the
    /// copy can go on without delay. Returns whether the run has an engine or gets one.
    fn begin_handover(&mut self) -> bool {
        if self.handover.is_some() {
            return true;
        }
        if self.source.is_some() {
            if let Some(task) = self.early_handover() {
                self.overlap_ends = self.gateway.now() + OVERLAP;
                self.handover = Some(task);
            }
            return true;
        }
        self.handover = self.late_handover();
        self.handover.is_some()
    }

    /// Hands over while the engine still runs the generation.
    fn early_handover(&mut self) -> Option<HandoverTask> {
        let now = self.gateway.now();
        let source = self.claim.target;
        let is_worth_it = is_worth_moving(self.made, self.expected);
        let can_go_on = self.gateway.with(|beliefs| {
            let targets = &beliefs.targets;
            let is_leaving = targets.get(source).is_none_or(|it| it.is_leaving(now));
            let can = |key| targets.get(key).is_some_and(|it| can_take_over(it, now));
            let secured = self.secured.as_ref().map(|copy| copy.target);
            let backup = self.backup.as_ref().map(|claim| claim.target);
            is_leaving && is_worth_it && secured.or(backup).is_some_and(can)
        });
        if can_go_on {
            self.copy_handover()
        } else {
            None
        }
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
        let (claim, name) = match (self.secured.take(), self.backup.take()) {
            (Some(copy), backup) => {
                self.backup = backup;
                (copy.claim, copy.name)
            }
            (None, Some(claim)) => {
                let address = address(&self.gateway, &claim)?;
                (claim, format!("{address}/{}", self.request.head.id))
            }
            (None, None) => return None,
        };
        self.gateway.log.event(&LogEvent::Handover {
            id: &self.request.head.id,
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
        self.backup = successor.backup;
        self.moves += 1;
        self.went_on = true;
        self.is_prepared = false;
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
