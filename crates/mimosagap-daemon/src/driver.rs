//! The task that owns the reducer: it feeds events to it and executes the effects.

use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::{AttemptEnd, Effect, Event, StateChange};
use mimosagap_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::control::ControlHandle;
use crate::metrics::DaemonMetrics;
use crate::requests::{RequestCommand, RequestTable};
use crate::snapshot::{EventReducer, ReducerSnapshot};
use crate::view::ServingView;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the placements in the digests to peers are updated.
const PLACEMENTS_INTERVAL: Duration = Duration::from_millis(250);

/// Sends events to the reducer. Cheap to clone; never blocks.
#[derive(Debug, Clone)]
pub struct EventSender {
    sender: mpsc::UnboundedSender<Event>,
}

impl EventSender {
    /// Creates a sender, and the receiver that the driver reads.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Queues an event. It is dropped during shutdown, when the driver has ended.
    pub fn send(&self, event: Event) {
        let _ = self.sender.send(event);
    }
}

/// Owns the reducer, passes it events with the current time, and executes its effects.
pub struct ReducerDriver {
    /// Turns each event into effects; only the driver accesses it.
    pub reducer: Box<dyn EventReducer>,
    /// Snapshot requests of the administration API.
    pub snapshot_requests: mpsc::Receiver<oneshot::Sender<ReducerSnapshot>>,
    /// Queues events that follow from effects.
    pub events: EventSender,
    /// Source of the monotonic time.
    pub clock: Arc<dyn Clock>,
    /// The tasks that talk to the store and the peers.
    pub control: ControlHandle,
    /// The open requests, through which the driver sends commands to their tasks.
    pub requests: Arc<RequestTable>,
    /// The facts that request tasks read; only the driver updates them.
    pub view: Arc<ServingView>,
    /// Counters and histograms.
    pub metrics: Arc<DaemonMetrics>,
    /// Tells the caller server to stop accepting connections after a delay; `None` until the drain.
    pub stop: watch::Sender<Option<Duration>>,
}

impl ReducerDriver {
    /// Runs until the task is aborted or the runtime shuts down.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut placements_sent_at = self.clock.now();
        let mut effects = Vec::new();
        loop {
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                Some(response_sender) = self.snapshot_requests.recv() => {
                    // The receiver is gone if the operator's request ended early.
                    let _ = response_sender.send(self.reducer.snapshot(self.clock.now()));
                    continue;
                }
                _ = ticks.tick() => Event::Tick,
            };
            self.process_event(event, &mut effects);
            let now = self.clock.now();
            if now - placements_sent_at >= PLACEMENTS_INTERVAL {
                placements_sent_at = now;
                self.control.set_placements(self.reducer.placements());
            }
        }
    }

    fn process_event(&mut self, event: Event, effects: &mut Vec<Effect>) {
        self.view.apply_event(&event);
        let has_new_rules = matches!(event, Event::RulesReceived(_));
        let ended_ticket = match &event {
            Event::AttemptEnded { ticket, .. } => Some(*ticket),
            _ => None,
        };
        self.reducer.reduce(self.clock.now(), event, effects);
        if has_new_rules {
            self.view.activate_rules(&self.reducer.rules());
        }
        for effect in effects.drain(..) {
            self.execute_effect(effect);
        }
        if let Some(ticket) = ended_ticket {
            // Discards a response that the reducer did not ask to record.
            let _ = self.requests.take_response(ticket);
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                ticket,
                attempt,
                target,
                priority,
            } => {
                let command = RequestCommand::Dispatch {
                    attempt,
                    target,
                    priority,
                };
                if !self.requests.send_command(ticket, command) {
                    // The caller has disconnected, so nothing is sent.
                    self.events.send(Event::AttemptEnded {
                        ticket,
                        attempt,
                        end: AttemptEnd::NotSent,
                    });
                }
            }
            Effect::Refuse { ticket, refusal } => {
                self.requests
                    .send_command(ticket, RequestCommand::Refuse(refusal));
            }
            Effect::RespondFromRecord { ticket } => {
                let response = self.control.take_recorded_response(ticket);
                self.requests
                    .send_command(ticket, RequestCommand::RespondFromRecord(response));
            }
            Effect::CancelAttempt { ticket, attempt } => {
                self.requests
                    .send_command(ticket, RequestCommand::Cancel { attempt });
            }
            Effect::RecordResult { ticket, key } => {
                if let Some(response) = self.requests.take_response(ticket) {
                    self.control.record_result(key, response);
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

fn log_level(is_healthy: bool) -> log::Level {
    if is_healthy {
        log::Level::Info
    } else {
        log::Level::Warn
    }
}

fn log_change(change: &StateChange) {
    match change {
        StateChange::RulesActivated { revision } => {
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
            log::log!(log_level(!isolated), "event=isolated isolated={isolated}");
        }
        StateChange::Store { reachable } => {
            log::log!(log_level(*reachable), "event=store reachable={reachable}");
        }
        StateChange::Draining => log::info!("event=draining"),
    }
}
