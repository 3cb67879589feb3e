//! A plain service as a process of its own, so that it can crash: it answers each request after 60 ms
//! and prints its address first. It ends when its standard input does.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use review_stand::http;

fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().unwrap());
    http::serve(listener, |head, _, stream| {
        std::thread::sleep(Duration::from_millis(60));
        let attempt = head.get("x-attempt-id").unwrap_or("").to_owned();
        let headers = [
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Server-Signature", "s.1"),
        ];
        http::respond(stream, "200 OK", &headers, b"{\"visits\":[]}").is_ok()
    });
    let _ = std::io::stdin().read(&mut [0]);
}
