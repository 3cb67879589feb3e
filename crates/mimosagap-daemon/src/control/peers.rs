//! Accepts messages from peers and dispatches them.

use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::Event;
use mimosagap_peer::{IncomingRequest, Reply, Request, ServerOptions, StateDigest, serve};
use mimosagap_types::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::context::ControlContext;
use super::{credit, notices, rules};

const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) fn start(context: &Arc<ControlContext>) {
    tokio::spawn(run(Arc::clone(context)));
}

async fn run(context: Arc<ControlContext>) {
    let Some(mut incoming) = listen(&context).await else {
        return;
    };
    loop {
        tokio::select! {
            message = incoming.recv() => match message {
                Some(message) => handle_message(&context, message),
                None => return,
            },
            () = context.stopping() => return,
        }
    }
}

/// Binds the peer address, and retries while it is in use: after a restart the previous process may
/// still hold it. `None` if the daemon stops first.
async fn listen(context: &Arc<ControlContext>) -> Option<mpsc::Receiver<IncomingRequest>> {
    let address = context.options.settings.listen.peers;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                let options = ServerOptions {
                    daemon: context.options.daemon_id.clone(),
                    keys: context.options.settings.decode_fleet_keys(),
                    clock: Arc::clone(&context.options.clock),
                    counters: Arc::clone(&context.peer_counters),
                };
                return Some(serve(listener, options));
            }
            Err(error) => {
                log::error!(
                    "event=peers_not_listening address={address} cause=\"{error}\"; retrying, \
                     set listen.peers to a free address of this host"
                );
            }
        }
        if !context.sleep(BIND_RETRY_DELAY).await {
            return None;
        }
    }
}

fn handle_message(context: &Arc<ControlContext>, incoming: IncomingRequest) {
    let sender = incoming.sender.clone();
    if sender == context.options.daemon_id {
        return;
    }
    context.send(Event::PeerReached {
        daemon: sender.clone(),
    });
    match incoming.request.clone() {
        Request::Hello => incoming.answer(Reply::Hello),
        Request::Digest(digest) => {
            let revision = context.rules().revision();
            incoming.answer(Reply::Digest { revision });
            handle_digest(context, sender, digest);
        }
        Request::Notice(message) => {
            notices::handle_notice(context, message);
            incoming.answer(Reply::Acknowledged);
        }
        Request::PullRules { known_revision } => {
            let answer = context.rules().answer_pull(known_revision);
            incoming.answer(Reply::Rules(answer));
        }
        Request::RequestCredit { team, wanted } => credit::handle(context, incoming, team, wanted),
    }
}

fn handle_digest(context: &Arc<ControlContext>, sender: DaemonId, digest: StateDigest) {
    let peer_address = digest.member.peer_address;
    let member = digest.member.into_member(sender.clone());
    context.fleet().record_gossip(member, context.now());
    context.report_member_changes();
    context.send(Event::PeerPlacements {
        daemon: sender,
        placements: digest.placements,
    });
    if digest.revision > context.rules().revision() {
        rules::start_pull(context, vec![(digest.revision, peer_address)]);
    }
}
