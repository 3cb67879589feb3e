//! Targets that send bytes without end, to callers who read and to callers who do not.

mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use support::{Scene, read_head};
use targets::{attempt_id, start_target};

/// Limit on the peak resident memory of the gateway, the `memory_mb` of its settings.
const MAX_MEMORY_BYTES: u64 = 64 << 20;

/// Callers at the same time.
const CALLERS: usize = 150;

/// How long the callers stay.
const FLOOD_TIME: Duration = Duration::from_millis(2500);

/// What a target sends after the beginning of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flood {
    /// Nothing: the target is sound.
    None,
    /// A header that does not end.
    Head,
    /// Interim responses.
    InterimResponses,
    /// A body that ends with its connection.
    Body,
    /// A chunk extension that does not end.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// An event that does not end.
    Event,
    /// Whole events.
    Events,
    /// The body of a failure.
    ErrorBody,
}

impl Flood {
    fn beginning(self, id: &str) -> String {
        let status = if self == Self::ErrorBody {
            "500 Failed"
        } else {
            "200 OK"
        };
        let head =
            format!("HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n");
        match self {
            Self::Head => format!("{head}x-endless: "),
            Self::None | Self::InterimResponses => String::new(),
            Self::Body | Self::Event | Self::Events | Self::ErrorBody => format!("{head}\r\n"),
            Self::ChunkExtension => format!("{head}transfer-encoding: chunked\r\n\r\n5;x="),
            Self::Trailers => format!("{head}transfer-encoding: chunked\r\n\r\n0\r\nx: "),
        }
    }

    fn piece(self, number: u64) -> String {
        match self {
            Self::InterimResponses => "HTTP/1.1 100 Continue\r\n\r\n".repeat(40),
            Self::Events => format!("id: {number}\ndata: {}\n\n", "x".repeat(15_000)),
            _ => "x".repeat(8 << 10),
        }
    }
}

fn start_flooding_target(flood: Flood) -> SocketAddr {
    start_target(move |stream| {
        // The gateway closes the connection.
        let _ = answer(stream, flood);
    })
}

fn answer(stream: &mut TcpStream, flood: Flood) -> std::io::Result<()> {
    let request = read_head(stream);
    let id = attempt_id(&request);
    if flood == Flood::None {
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\nconnection: close\r\n\
             content-length: 4\r\n\r\ndone"
        );
    }
    stream.write_all(flood.beginning(id).as_bytes())?;
    for number in 1.. {
        stream.write_all(flood.piece(number).as_bytes())?;
    }
    Ok(())
}

/// A gateway kept all bytes of faulty targets until its memory ran out, and the requests of other
/// callers ended with it.
#[rstest]
#[case::head("/once/x", Flood::Head, 24_800)]
#[case::interim_responses("/once/x", Flood::InterimResponses, 24_810)]
#[case::body("/once/x", Flood::Body, 24_820)]
#[case::chunk_extension("/once/x", Flood::ChunkExtension, 24_830)]
#[case::trailers("/once/x", Flood::Trailers, 24_840)]
#[case::event("/stream/x", Flood::Event, 24_850)]
#[case::events("/stream/x", Flood::Events, 24_860)]
#[case::error_body("/stream/x", Flood::ErrorBody, 24_870)]
#[case::trailers_of_streams("/stream/x", Flood::Trailers, 24_880)]
fn bytes_without_end_fill_the_memory(
    #[case] path: &'static str,
    #[case] flood: Flood,
    #[case] base_port: u16,
) {
    support::run(async {
        let sound_address = start_flooding_target(Flood::None);
        let scene = Scene::start(start_flooding_target(flood), base_port, |store| {
            let entry = json!({
                "service": "plain", "address": sound_address.to_string(), "zone": "z1",
                "version": "v1", "slots": 200, "cold_remaining_ms": 0, "state": "ready",
                "sequence": 1, "born": 1,
            });
            let instance = if path.starts_with("/stream/") {
                "servers/i-plain"
            } else {
                "servers/i-sound"
            };
            store.put(instance, &entry);
        });
        let scene = scene.await;
        let address = scene.gateway.client_address;
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let mut stream = TcpStream::connect(address).expect("the gateway listens");
                support::send_request(&mut stream, path, &format!("a{number}"));
                stream
            })
            .collect();
        tokio::time::sleep(FLOOD_TIME).await;
        let response = scene.exchange("/once/sound", "b1").await;
        let usage = scene.gateway.resource_usage();
        drop(callers);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        let peak = usage.expect("the gateway runs").peak_memory_bytes;
        assert!(peak <= MAX_MEMORY_BYTES, "{peak} bytes");
    });
}
