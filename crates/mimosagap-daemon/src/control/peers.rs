//! Listens for peers and handles what they send.

use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::Event;
use mimosagap_peer::{IncomingRequest, Reply, Request, ServerOptions, StateDigest, serve};
use mimosagap_types::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::shared::Control;
use super::{credit, notices, rules};

const BIND_PAUSE: Duration = Duration::from_secs(1);

pub(super) fn start(control: &Arc<Control>) {
    tokio::spawn(run(Arc::clone(control)));
}

async fn run(control: Arc<Control>) {
    let Some(mut incoming) = listen(&control).await else {
        return;
    };
    loop {
        tokio::select! {
            message = incoming.recv() => match message {
                Some(message) => handle(&control, message),
                None => return,
            },
            () = control.stopping() => return,
        }
    }
}

/// Tries until the address is free: the last process of a restarted daemon may still hold it.
async fn listen(control: &Arc<Control>) -> Option<mpsc::Receiver<IncomingRequest>> {
    let address = control.options.settings.listen.peers;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                let options = ServerOptions {
                    daemon: control.options.daemon.clone(),
                    keys: control.options.settings.decoded_keys(),
                    clock: Arc::clone(&control.options.clock),
                    counters: Arc::clone(&control.peer_counters),
                };
                return Some(serve(listener, options));
            }
            Err(error) => {
                log::error!(
                    "event=peers_not_listening address={address} cause=\"{error}\"; check \
                     listen.peers"
                );
            }
        }
        if !control.sleep(BIND_PAUSE).await {
            return None;
        }
    }
}

fn handle(control: &Arc<Control>, incoming: IncomingRequest) {
    let from = incoming.sender.clone();
    if from == control.options.daemon {
        return;
    }
    control.send(Event::PeerReached {
        daemon: from.clone(),
    });
    match incoming.request.clone() {
        Request::Hello => incoming.answer(Reply::Hello),
        Request::Digest(digest) => {
            let revision = control.rules().revision();
            incoming.answer(Reply::Digest { revision });
            hear_digest(control, from, digest);
        }
        Request::Notice(message) => {
            notices::hear(control, message);
            incoming.answer(Reply::Acknowledged);
        }
        Request::PullRules { known_revision } => {
            let answer = control.rules().answer(known_revision);
            incoming.answer(Reply::Rules(answer));
        }
        Request::RequestCredit { team, wanted } => credit::asked(control, incoming, team, wanted),
    }
}

fn hear_digest(control: &Arc<Control>, from: DaemonId, digest: StateDigest) {
    let peer = digest.member.peer_address;
    let member = digest.member.into_member(from.clone());
    control.fleet().hear(member, control.now());
    control.members_changed();
    control.send(Event::PeerPlacements {
        daemon: from,
        placements: digest.placements,
    });
    if digest.revision > control.rules().revision() {
        rules::pull(control, vec![(digest.revision, peer)]);
    }
}
