//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// A field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        let (_, query) = target.split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.into_iter().find(|(n, _)| *n == name)?;
        Some(percent_decode(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves connections until the program ends. `handle` writes the answer itself; false closes the
/// connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || serve_connection(io, &*handle));
        }
    });
}

fn serve_connection<F>(mut io: TcpStream, handle: &F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool>,
{
    let _ = io.set_nodelay(true);
    let mut buf = Vec::new();
    while let Ok(Some(req)) = read_message(&mut io, &mut buf) {
        if !handle(&req, &mut io).unwrap_or(false) {
            return;
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    io: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    io.write_all(&bytes)?;
    Ok(true)
}

/// Reads one message; none at the end of the connection. An answer without a length ends with it.
pub fn read_message(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if fill(io, buf)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok());
    if is_chunked {
        message.body = read_chunks(io, buf)?;
    } else if let Some(length) = length {
        while buf.len() < length {
            if fill(io, buf)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = buf.drain(..length).collect();
    }
    Ok(Some(message))
}

fn read_chunks(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            if let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            if fill(io, buf)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = String::from_utf8_lossy(&buf[..line_end]).into_owned();
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        while buf.len() < line_end + 2 + size + 2 {
            if fill(io, buf)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend_from_slice(&buf[line_end + 2..line_end + 2 + size]);
        buf.drain(..line_end + 2 + size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

fn fill(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; 16 << 10];
    let n = io.read(&mut part)?;
    buf.extend_from_slice(&part[..n]);
    Ok(n)
}

/// Sends a request over a new connection and reads the whole answer.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + limit;
    let mut io = TcpStream::connect_timeout(&addr, limit)?;
    call_on(&mut io, request, deadline)
}

/// Sends a request over a connection and reads the whole answer.
pub fn call_on(io: &mut TcpStream, request: &[u8], deadline: Instant) -> io::Result<Message> {
    let _ = io.set_nodelay(true);
    let left = deadline.saturating_duration_since(Instant::now());
    io.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    io.write_all(request)?;
    let answer = read_message(io, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
