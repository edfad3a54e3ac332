//! HTTP/1.1 over blocking sockets: a thread for each connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Req {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| unescape(v))
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(b[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Listens and serves each connection until `handle` returns false or the peer closes.
pub fn serve<F>(addr: SocketAddr, handle: F) -> io::Result<SocketAddr>
where
    F: Fn(Req, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut io = io;
                let _ = io.set_nodelay(true);
                let mut buf = Vec::new();
                while let Ok(Some(req)) = read_request(&mut io, &mut buf) {
                    if !handle(req, &mut io) {
                        return;
                    }
                }
            });
        }
    });
    Ok(addr)
}

fn fill(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut piece = [0; 16384];
    let n = io.read(&mut piece)?;
    buf.extend_from_slice(&piece[..n]);
    Ok(n)
}

fn take_head(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect::<Vec<_>>();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if fill(io, buf)? == 0 {
            return Ok(None);
        }
    }
}

fn headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    lines
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect()
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.as_str())
}

/// Reads a body; false if the connection ended before its end.
fn take_body(
    io: &mut TcpStream,
    buf: &mut Vec<u8>,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    if find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let end = loop {
                if let Some(end) = buf.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if fill(io, buf)? == 0 {
                    return Ok(false);
                }
            };
            let size = String::from_utf8_lossy(&buf[..end]).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return Ok(false);
            };
            while buf.len() < end + 2 + size + 2 {
                if fill(io, buf)? == 0 {
                    return Ok(false);
                }
            }
            body.extend_from_slice(&buf[end + 2..end + 2 + size]);
            buf.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
    let Some(length) = find(headers, "content-length").and_then(|v| v.parse::<usize>().ok()) else {
        return Ok(true);
    };
    while buf.len() < length {
        if fill(io, buf)? == 0 {
            return Ok(false);
        }
    }
    body.extend(buf.drain(..length));
    Ok(true)
}

fn read_request(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Req>> {
    let Some(head) = take_head(io, buf)? else {
        return Ok(None);
    };
    let mut first = head.lines().next().unwrap_or_default().split(' ');
    let (method, path) = (
        first.next().unwrap_or_default(),
        first.next().unwrap_or_default(),
    );
    let headers = headers(&head);
    let mut body = Vec::new();
    if !take_body(io, buf, &headers, &mut body)? {
        return Ok(None);
    }
    Ok(Some(Req {
        method: method.to_owned(),
        path: path.to_owned(),
        headers,
        body,
    }))
}

pub fn respond(io: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> bool {
    let length = body.len();
    let mut out =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{extra}\r\n").into_bytes();
    out.extend_from_slice(body);
    io.write_all(&out).is_ok()
}

/// What a client saw of an answer.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn has(&self, name: &str) -> bool {
        find(&self.headers, name).is_some()
    }
}

/// Reads one answer; none if there was no head within `limit` or the connection ended before.
pub fn read_answer(io: &mut TcpStream, limit: Duration) -> Option<Answer> {
    let _ = io.set_read_timeout(Some(limit));
    let mut buf = Vec::new();
    let head = take_head(io, &mut buf).ok()??;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let headers = headers(&head);
    let mut body = Vec::new();
    let is_complete = take_body(io, &mut buf, &headers, &mut body).unwrap_or(false);
    Some(Answer {
        status,
        headers,
        body,
        is_complete,
    })
}
