//! Responses of a gateway to requests that are sent one after the other.

use std::net::SocketAddr;
use std::rc::Rc;

use mimosagap_soak::standins::store::StoreStandin;

use crate::support::{Scene, run};

/// Prepares the store, runs a gateway before a target, changes the store once it has started, sends
/// requests with these paths and attempt ids, and returns their responses.
pub fn responses(
    target: SocketAddr,
    requests: &[(&'static str, &'static str)],
    base_port: u16,
    prepare_store: impl FnOnce(&StoreStandin),
    change_store: impl FnOnce(&StoreStandin),
) -> Vec<String> {
    run(async {
        let mut store = None;
        let scene = Scene::start(target, base_port, |started| {
            prepare_store(started);
            store = Some(Rc::clone(started));
        });
        let scene = scene.await;
        change_store(&store.expect("the store is prepared"));
        let mut responses = Vec::new();
        for (path, id) in requests.iter().copied() {
            responses.push(scene.exchange(path, id).await);
        }
        responses
    })
}
