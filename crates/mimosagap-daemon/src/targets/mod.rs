//! Watches the host list and each target on it, and sends their state to the reducer.

pub mod client;
pub mod host_list;
pub mod report;
pub mod watcher;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::{Event, ListedTarget};
use mimosagap_types::prelude::*;
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

use self::client::TargetClient;
use crate::shared::SharedState;

/// The interval of host list fetches.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches the host list periodically and runs one watcher for each target on it. Never returns.
pub async fn watch(shared: Arc<SharedState>) {
    let mut client = TargetClient::new(shared.settings.host_list);
    let mut watchers = Watchers::default();
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_host_list_available = true;
    loop {
        ticks.tick().await;
        let list = match client.get("/").await {
            Ok(response) if response.status.is_success() => {
                host_list::parse(&response.body, &shared.settings).ok()
            }
            _ => None,
        };
        if list.is_some() != is_host_list_available {
            is_host_list_available = list.is_some();
            log::warn!("event=host_list reachable={is_host_list_available}");
        }
        if let Some(list) = list {
            shared.events.send(Event::TargetsListed(list.clone()));
            watchers.update(&shared, &list);
        }
    }
}

/// The tasks of the running watchers.
#[derive(Default)]
struct Watchers {
    tasks: HashMap<TargetAddress, AbortHandle>,
}

impl Watchers {
    /// Stops the watchers of unlisted targets and starts those of new ones.
    fn update(&mut self, shared: &Arc<SharedState>, list: &[ListedTarget]) {
        self.tasks.retain(|address, task| {
            let is_listed = list.iter().any(|target| target.address == *address);
            if !is_listed {
                task.abort();
            }
            is_listed
        });
        for target in list {
            self.tasks.entry(target.address).or_insert_with(|| {
                let task = watcher::watch(Arc::clone(shared), target.clone());
                tokio::spawn(task).abort_handle()
            });
        }
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.tasks.values().for_each(AbortHandle::abort);
    }
}
