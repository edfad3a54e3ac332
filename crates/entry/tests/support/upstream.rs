//! An upstream that plays a script, one scene a request.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub enum Play {
    /// Answers with a status and a body of declared length.
    Answer(u16, &'static str),
    /// Answers without a length, and closes or resets the connection after the body.
    Unframed { body: &'static str, reset: bool },
    /// Says that it did not run the request.
    NotRun(u16),
    /// Closes the connection after it has read the request.
    Close,
    /// Never answers.
    Silent,
    /// Answers another request.
    OtherId,
    /// Sends events up to one, and then nothing.
    EventsThenSilence { to: u64 },
    /// Sends events after the last that the caller has, up to one, and breaks off there if told.
    Events {
        to: u64,
        breaks: bool,
        gap: Duration,
    },
}

#[derive(Default)]
pub struct Record {
    pub requests: Vec<String>,
    pub closed: usize,
}

pub struct FakeUpstream {
    pub id: String,
    pub addr: SocketAddr,
    pub record: Rc<RefCell<Record>>,
    script: Rc<RefCell<VecDeque<Play>>>,
    accept: JoinHandle<()>,
}

impl FakeUpstream {
    /// Starts an upstream. The last scene is played for ever.
    pub async fn start(id: &str, script: &[Play]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let record = Rc::new(RefCell::new(Record::default()));
        let script: VecDeque<_> = script.iter().cloned().collect();
        let script = Rc::new(RefCell::new(script));
        let (own_id, own_record, own_script) =
            (id.to_owned(), Rc::clone(&record), Rc::clone(&script));
        let accept = actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let (id, record) = (own_id.clone(), Rc::clone(&own_record));
                let script = Rc::clone(&own_script);
                actix_rt::spawn(serve(io, id, record, script));
            }
        });
        Self {
            id: id.to_owned(),
            addr,
            record,
            script,
            accept,
        }
    }

    pub fn arrivals(&self) -> usize {
        self.record.borrow().requests.len()
    }

    pub fn request(&self, at: usize) -> String {
        self.record.borrow().requests[at].clone()
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn serve(
    mut io: TcpStream,
    id: String,
    record: Rc<RefCell<Record>>,
    script: Rc<RefCell<VecDeque<Play>>>,
) {
    while let Some(request) = read_request(&mut io).await {
        record.borrow_mut().requests.push(request.clone());
        let play = {
            let mut script = script.borrow_mut();
            if script.len() > 1 {
                script.pop_front().unwrap()
            } else {
                script.front().cloned().unwrap()
            }
        };
        if !perform(&mut io, &id, &request, play).await {
            record.borrow_mut().closed += 1;
            return;
        }
    }
    record.borrow_mut().closed += 1;
}

async fn perform(io: &mut TcpStream, id: &str, request: &str, play: Play) -> bool {
    let asked = header(request, "x-id").unwrap_or_default();
    let head = |status: u16, rest: &str| {
        format!("HTTP/1.1 {status} Status\r\nx-id: {asked}\r\nx-seal: {id}\r\n{rest}\r\n")
    };
    match play {
        Play::Answer(status, body) => {
            let rest = format!("x-own: kept\r\ncontent-length: {}\r\n", body.len());
            let text = head(status, &rest) + body;
            io.write_all(text.as_bytes()).await.is_ok()
        }
        Play::Unframed { body, reset } => {
            let text = head(200, "") + body;
            let _ = io.write_all(text.as_bytes()).await;
            if reset {
                sleep(Duration::from_millis(30)).await;
                #[allow(deprecated)]
                io.set_linger(Some(Duration::ZERO)).unwrap();
            }
            false
        }
        Play::NotRun(status) => {
            let text = format!(
                "HTTP/1.1 {status} No\r\nx-id: {asked}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            io.write_all(text.as_bytes()).await.is_ok()
        }
        Play::Close => false,
        Play::Silent => {
            let mut byte = [0];
            let _ = io.read(&mut byte).await;
            false
        }
        Play::OtherId => {
            let text = format!(
                "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: {id}\r\ncontent-length: 5\r\n\r\nwrong"
            );
            io.write_all(text.as_bytes()).await.is_ok()
        }
        Play::EventsThenSilence { to } => {
            let rest = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
            let _ = io.write_all(head(200, rest).as_bytes()).await;
            for event in 1..=to {
                let text = format!("id: {event}\ndata: e{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                let _ = io.write_all(chunk.as_bytes()).await;
            }
            let mut byte = [0];
            let _ = io.read(&mut byte).await;
            false
        }
        Play::Events { to, breaks, gap } => {
            let from = header(request, "x-last").and_then(|n| n.parse::<u64>().ok());
            let rest = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
            let _ = io.write_all(head(200, rest).as_bytes()).await;
            for event in from.map_or(1, |n| n + 1)..=to {
                sleep(gap).await;
                let text = format!("id: {event}\ndata: e{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if io.write_all(chunk.as_bytes()).await.is_err() {
                    return false;
                }
            }
            if breaks {
                let _ = io.write_all(b"8\r\nid: 99\nd").await;
                return false;
            }
            io.write_all(b"0\r\n\r\n").await.is_ok()
        }
    }
}

async fn read_request(io: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").map_or(0, |l| l.parse().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut piece = [0; 4096];
        match io.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&piece[..n]),
        }
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines();
    lines.find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
