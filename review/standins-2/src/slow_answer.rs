//! Clients with small receive buffers stop reading a stream for six seconds and then go on. The
//! gateway was told before that its settings have changed.

use std::io;
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::client::{Outcome, connect_with_buffer};
use crate::config::config;
use crate::fleet::{Gateway, Place};
use crate::quotes::{DESK, QUOTES, QuoteServers, StreamShape, ask, routes};
use crate::store::Store;

const CLIENTS: usize = 6;

/// The mean of the sheet's long streams, at 20 ms for each event.
const SHAPE: StreamShape = StreamShape {
    events: 186,
    event_bytes: 340,
    interval: Duration::from_millis(20),
};

const RECEIVE_BUFFER_BYTES: i32 = 4096;
const PAUSE: Duration = Duration::from_secs(6);

/// The pause begins when this many bytes of events were read.
const PAUSE_AT_BYTES: usize = 5000;

/// Time from the signal until the requests, which are sent within `config_apply_ms` of it.
const SENT_AFTER: Duration = Duration::from_millis(300);

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let servers = QuoteServers::start(&store, 3, SHAPE)?;
    store.write("op/config", &config(3, &routes(), &[DESK, QUOTES]));
    let door = store.open(|_, _| None);
    let place = Place {
        name: "edge-z1-1",
        zone: "z1",
        region: "r1",
    };
    let gateway = Gateway::start(&record.directory, &place, door.address)?;
    // A machine is in touch `contact_ms` after its start.
    thread::sleep(Duration::from_millis(5500));
    gateway.change_settings()?;
    record.add("the settings file has changed, SIGHUP");
    thread::sleep(SENT_AFTER);
    let has_pause = record.has_trouble;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = gateway.callers;
            let attempt = format!("9c41d07be2a35f{number:02x}");
            record.add(format!("{attempt}: sent to {address}"));
            thread::spawn(move || {
                let mut is_paused = !has_pause;
                let pause = |bytes| {
                    if bytes >= PAUSE_AT_BYTES && !is_paused {
                        is_paused = true;
                        thread::sleep(PAUSE);
                    }
                };
                let stream = connect_with_buffer(address, RECEIVE_BUFFER_BYTES);
                stream
                    .and_then(|stream| ask(stream, &attempt, pause))
                    .unwrap_or_else(|error| Outcome::failed(&attempt, &error))
            })
        })
        .collect();
    let whole = SHAPE.whole();
    let mut broken = 0;
    for client in clients {
        let outcome = client.join().unwrap_or_default();
        let run = servers.run(&outcome.attempt);
        record.add(outcome.line());
        record.add(
            run.as_ref()
                .map_or_else(|| format!("{}: not run", outcome.attempt), |run| run.line()),
        );
        let is_whole = outcome.is_whole && outcome.body == whole.as_bytes();
        broken += usize::from(run.is_some() && !is_whole);
    }
    record.add(format!(
        "{broken} of {CLIENTS} requests were passed on and their connection ended without a \
         complete answer"
    ));
    Ok(broken > 0)
}
