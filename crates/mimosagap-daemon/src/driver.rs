//! The task which owns the reducer.

use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::{AttemptEnd, Effect, Event, StateChange};
use mimosagap_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::control::ControlHandle;
use crate::metrics::DaemonMetrics;
use crate::requests::{Command, RequestTable};
use crate::snapshot::{EventReducer, ReducerSnapshot};
use crate::view::ServingView;

const TICK: Duration = Duration::from_millis(50);

/// How often the peers' digests get new placements.
const PLACEMENTS_INTERVAL: Duration = Duration::from_millis(250);

/// Sends events to the reducer. Cheap to clone; never blocks.
#[derive(Debug, Clone)]
pub struct EventSender {
    sender: mpsc::UnboundedSender<Event>,
}

impl EventSender {
    /// A sender and the receiver which the driver reads.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Queues an event. During shutdown, when nobody reads any more, it is dropped.
    pub fn send(&self, event: Event) {
        let _ = self.sender.send(event);
    }
}

/// Owns the reducer, stamps events with the time and carries out effects.
pub struct Driver {
    /// The reducer.
    pub core: Box<dyn EventReducer>,
    /// Questions of operators.
    pub questions: mpsc::Receiver<oneshot::Sender<ReducerSnapshot>>,
    /// Where follow-up events go.
    pub events: EventSender,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Store and peers.
    pub control: ControlHandle,
    /// The open requests.
    pub requests: Arc<RequestTable>,
    /// What is known.
    pub view: Arc<ServingView>,
    /// Counters and histograms.
    pub metrics: Arc<DaemonMetrics>,
    /// Set once the reducer says when to stop accepting connections.
    pub stop: watch::Sender<Option<Duration>>,
}

impl Driver {
    /// Runs until the runtime ends.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shared_at = self.clock.now();
        let mut effects = Vec::new();
        loop {
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                Some(question) = self.questions.recv() => {
                    // An operator who left does not take the answer.
                    let _ = question.send(self.core.snapshot(self.clock.now()));
                    continue;
                }
                _ = tick.tick() => Event::Tick,
            };
            self.step(event, &mut effects);
            let now = self.clock.now();
            if now - shared_at >= PLACEMENTS_INTERVAL {
                shared_at = now;
                self.control.set_placements(self.core.placements());
            }
        }
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        self.view.note_event(&event);
        let is_rules = matches!(event, Event::RulesReceived(_));
        let ended = match &event {
            Event::AttemptEnded { ticket, .. } => Some(*ticket),
            _ => None,
        };
        self.core.reduce(self.clock.now(), event, effects);
        if is_rules {
            self.view.adopt(&self.core.rules());
        }
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        if let Some(ticket) = ended {
            // An answer that the reducer did not ask to record is not needed any more.
            let _ = self.requests.take_answer(ticket);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                ticket,
                attempt,
                target,
                priority,
            } => {
                let command = Command::Dispatch {
                    attempt,
                    target,
                    priority,
                };
                if !self.requests.command(ticket, command) {
                    // The caller left meanwhile, so nothing was sent.
                    self.events.send(Event::AttemptEnded {
                        ticket,
                        attempt,
                        end: AttemptEnd::NotSent,
                    });
                }
            }
            Effect::Refuse { ticket, refusal } => {
                self.requests.command(ticket, Command::Refuse(refusal));
            }
            Effect::AnswerFromRecord { ticket } => {
                let answer = self.control.take_recorded_response(ticket);
                self.requests
                    .command(ticket, Command::AnswerFromRecord(answer));
            }
            Effect::CancelAttempt { ticket, attempt } => {
                self.requests.command(ticket, Command::Cancel { attempt });
            }
            Effect::RecordResult { ticket, key } => {
                if let Some(answer) = self.requests.take_answer(ticket) {
                    self.control.record_result(key, answer);
                }
            }
            Effect::StopAccepting { after } => {
                self.control.set_leaving();
                self.stop.send_replace(Some(after));
            }
            Effect::Log(change) => log_change(&change),
            Effect::ObserveQueueWait { team, class, wait } => {
                self.metrics
                    .observe_queueing(team.as_str(), class.as_str(), wait);
            }
            Effect::Claim { .. }
            | Effect::RecordNotRun { .. }
            | Effect::RecordSuspicions { .. }
            | Effect::AcquireTrial { .. }
            | Effect::EndTrial { .. }
            | Effect::Broadcast(_)
            | Effect::RequestCredit { .. }
            | Effect::AnswerCredit { .. } => self.control.execute_effect(effect),
        }
    }
}

fn level(is_good: bool) -> log::Level {
    if is_good {
        log::Level::Info
    } else {
        log::Level::Warn
    }
}

fn log_change(change: &StateChange) {
    match change {
        StateChange::RulesInForce { revision } => {
            log::info!("event=rules_in_force revision={revision}");
        }
        StateChange::TargetUp { address } => log::info!("event=target_up target={address}"),
        StateChange::TargetLeaving { address, rule } => match rule {
            Some(rule) => log::info!(
                "event=target_leaving target={address} revision={} line={} asked_by={:?}",
                rule.revision,
                rule.line,
                rule.asked_by
            ),
            None => log::info!("event=target_leaving target={address}"),
        },
        StateChange::TargetDown { address } => log::warn!("event=target_down target={address}"),
        StateChange::Quarantine { digest, state } => {
            log::warn!("event=quarantine digest={digest} state={state:?}");
        }
        StateChange::Isolated { isolated } => {
            log::log!(level(!isolated), "event=isolated isolated={isolated}");
        }
        StateChange::Store { reachable } => {
            log::log!(level(*reachable), "event=store reachable={reachable}");
        }
        StateChange::Draining => log::info!("event=draining"),
    }
}
