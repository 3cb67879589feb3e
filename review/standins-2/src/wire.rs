//! HTTP/1.1, JSON and base64 as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in order, names in lowercase.
    pub headers: Vec<(String, String)>,
    /// Body after its framing was removed.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return if message.start.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Whether a message has a chunked body.
pub fn is_chunked(message: &Message) -> bool {
    message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else {
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; anything malformed is `Null`.
    pub fn parse(bytes: &[u8]) -> Self {
        let mut position = 0;
        parse_value(bytes, &mut position).unwrap_or(Self::Null)
    }

    /// A field of an object.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn parse_value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip_space(bytes, position);
    match *bytes.get(*position)? {
        b'{' => {
            let mut fields = BTreeMap::new();
            *position += 1;
            loop {
                skip_space(bytes, position);
                match bytes.get(*position)? {
                    b'}' => {
                        *position += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *position += 1,
                    _ => {
                        let name = parse_text(bytes, position)?;
                        skip_space(bytes, position);
                        *position += 1;
                        fields.insert(name, parse_value(bytes, position)?);
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *position += 1;
            loop {
                skip_space(bytes, position);
                match bytes.get(*position)? {
                    b']' => {
                        *position += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *position += 1,
                    _ => items.push(parse_value(bytes, position)?),
                }
            }
        }
        b'"' => parse_text(bytes, position).map(Json::Text),
        _ => {
            let start = *position;
            let is_end = |byte: &u8| b",]} \n\r\t".contains(byte);
            while bytes.get(*position).is_some_and(|byte| !is_end(byte)) {
                *position += 1;
            }
            match std::str::from_utf8(&bytes[start..*position]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], position: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *position += 1;
    loop {
        match *bytes.get(*position)? {
            b'"' => {
                *position += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*position + 1)?;
                text.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
                *position += 2;
            }
            byte => {
                text.push(byte);
                *position += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes standard base64.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|other| *other == digit) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

/// Decodes percent escapes of a query.
pub fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let raw = text.as_bytes();
    let mut index = 0;
    while index < raw.len() {
        let hex = raw.get(index + 1..index + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match (
            raw[index],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                index += 3;
            }
            (byte, _) => {
                bytes.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
