//! A scripted upstream: each request consumes one step of the script.

use std::{
    cell::RefCell, collections::VecDeque, fmt::Write as _, net::SocketAddr, rc::Rc, time::Duration,
};

use actix_rt::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What a scripted upstream does with a request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Answers with a status and a body of declared length.
    Answer(u16, &'static str),
    /// Answers with a status, further header lines and a body of declared length.
    AnswerWith(u16, &'static str, &'static str),
    /// Answers without a length, and closes or resets the connection after the body.
    Unframed { body: &'static str, reset: bool },
    /// Answers with this status and the header that says that the request did not run.
    NotRun(u16),
    /// Closes the connection after it has read the request.
    Close,
    /// Never answers.
    Silent,
    /// Takes the step after a time.
    After(Duration, Box<ScriptStep>),
    /// Answers with the id of another request.
    WrongRequestId,
    /// Like `Answer` with 200, and writes `extra`, an answer that belongs to no request, `after` its
    /// own one, which takes a moment if `takes` is not zero.
    AnswerThenExtra {
        takes: Duration,
        extra: &'static str,
        after: Duration,
    },
    /// Answers like `Answer` with 200 after a moment. On a connection that has carried another answer,
    /// it first writes `extra`, an answer that belongs to no request, `after` the request has arrived.
    /// In it, `ID` stands for the identifier of the request.
    ExtraThenAnswer {
        extra: &'static str,
        after: Duration,
    },
    /// Like `Events`, with neither a length nor chunks, and closes the connection in order. A stream
    /// that begins with event 1 is broken off inside the event after `breaks_off_after`, if any.
    UnframedEvents {
        last: u64,
        breaks_off_after: Option<u64>,
        /// Header line with the media type, or empty.
        content_type: &'static str,
    },
    /// Sends events 1 to `last`, then nothing, and keeps the connection open.
    EventsThenSilence { last: u64 },
    /// Sends events 1 to `last`, then a byte of the next one every `interval`, without end.
    EventsThenBytes { last: u64, interval: Duration },
    /// Writes `text`, in which `ID` stands for the identifier of the request, and closes or resets the
    /// connection.
    Raw { text: &'static str, resets: bool },
    /// Breaks off a stream that begins after `last` events. One that is to go on is answered like
    /// `Raw`.
    EventsThenRaw { last: u64, text: &'static str },
    /// Sends the events after the one that the request names as last received, up to `last`, then
    /// ends the stream, or with `disconnects` closes the connection in the middle of an event.
    Events {
        last: u64,
        disconnects: bool,
        interval: Duration,
    },
}

/// Time that a request runs at an upstream that writes an answer too many meanwhile.
const RUN_TIME: Duration = Duration::from_millis(50);

#[derive(Default)]
pub struct Observed {
    pub requests: Vec<String>,
    /// When each of them arrived.
    pub times: Vec<Instant>,
    pub connections: usize,
    pub closed_connections: usize,
    /// Header lines of all answers with a body or a stream.
    pub lines: &'static str,
}

pub struct FakeUpstream {
    pub id: String,
    pub addr: SocketAddr,
    pub observed: Rc<RefCell<Observed>>,
    script: Rc<RefCell<VecDeque<ScriptStep>>>,
    accept: JoinHandle<()>,
}

impl FakeUpstream {
    /// Starts an upstream. The last step of the script is repeated.
    pub async fn start(id: &str, script: &[ScriptStep]) -> Self {
        Self::start_at(id, "127.0.0.1:0".parse().unwrap(), script).await
    }

    /// Like [`Self::start`], at an address.
    pub async fn start_at(id: &str, addr: SocketAddr, script: &[ScriptStep]) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let observed = Rc::new(RefCell::new(Observed::default()));
        let script: VecDeque<_> = script.iter().cloned().collect();
        let script = Rc::new(RefCell::new(script));
        let (own_id, own_observed, own_script) =
            (id.to_owned(), Rc::clone(&observed), Rc::clone(&script));
        let accept = actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let (id, observed) = (own_id.clone(), Rc::clone(&own_observed));
                let script = Rc::clone(&own_script);
                actix_rt::spawn(serve_connection(io, id, observed, script));
            }
        });
        Self {
            id: id.to_owned(),
            addr,
            observed,
            script,
            accept,
        }
    }

    /// Replaces what is left of the script.
    pub fn set_script(&self, script: &[ScriptStep]) {
        *self.script.borrow_mut() = script.iter().cloned().collect();
    }

    pub fn arrivals(&self) -> usize {
        self.observed.borrow().requests.len()
    }

    pub fn request(&self, index: usize) -> String {
        self.observed.borrow().requests[index].clone()
    }
}

impl Drop for FakeUpstream {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn serve_connection(
    mut io: TcpStream,
    id: String,
    observed: Rc<RefCell<Observed>>,
    script: Rc<RefCell<VecDeque<ScriptStep>>>,
) {
    observed.borrow_mut().connections += 1;
    let mut is_first = true;
    while let Some(request) = read_request(&mut io).await {
        observed.borrow_mut().requests.push(request.clone());
        observed.borrow_mut().times.push(Instant::now());
        let step = {
            let mut script = script.borrow_mut();
            if script.len() > 1 {
                script.pop_front().unwrap()
            } else {
                script.front().cloned().unwrap()
            }
        };
        let step = match step {
            ScriptStep::ExtraThenAnswer { .. } if is_first => ScriptStep::Answer(200, "served"),
            step => step,
        };
        is_first = false;
        let lines = observed.borrow().lines;
        if !run_step(&mut io, (&id, lines), &request, step).await {
            observed.borrow_mut().closed_connections += 1;
            return;
        }
    }
    observed.borrow_mut().closed_connections += 1;
}

async fn run_step(
    io: &mut TcpStream,
    (id, lines): (&str, &str),
    request: &str,
    step: ScriptStep,
) -> bool {
    let request_id = header(request, "x-id").unwrap_or_default();
    let head = |status: u16, rest: &str| {
        format!(
            "HTTP/1.1 {status} Status\r\nx-id: {request_id}\r\nx-seal: {id}\r\n{lines}{rest}\r\n"
        )
    };
    match step {
        ScriptStep::After(time, step) => {
            sleep(time).await;
            Box::pin(run_step(io, (id, lines), request, *step)).await
        }
        ScriptStep::Answer(status, body) => {
            let rest = format!(
                "x-own: kept\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n",
                body.len()
            );
            let text = head(status, &rest) + body;
            io.write_all(text.as_bytes()).await.is_ok()
        }
        ScriptStep::AnswerWith(status, lines, body) => {
            let rest = format!("{lines}content-length: {}\r\n", body.len());
            let text = head(status, &rest) + body;
            io.write_all(text.as_bytes()).await.is_ok()
        }
        ScriptStep::Unframed { body, reset } => write_raw(io, &(head(200, "") + body), reset).await,
        ScriptStep::NotRun(status) => write_not_run(io, &request_id, status).await,
        ScriptStep::AnswerThenExtra { .. } | ScriptStep::ExtraThenAnswer { .. } => {
            let own = head(200, "content-length: 6\r\n") + "served";
            answer_with_extra(io, &request_id, &own, step).await
        }
        ScriptStep::Close => false,
        ScriptStep::Silent => {
            let mut byte = [0];
            let _ = io.read(&mut byte).await;
            false
        }
        ScriptStep::WrongRequestId => {
            let text = format!(
                "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: {id}\r\ncontent-length: 5\r\n\r\nwrong"
            );
            io.write_all(text.as_bytes()).await.is_ok()
        }
        ScriptStep::UnframedEvents {
            last,
            breaks_off_after,
            content_type,
        } => {
            let events = unframed_events(request, last, breaks_off_after);
            write_raw(io, &(head(200, content_type) + &events), false).await
        }
        ScriptStep::EventsThenSilence { last } => {
            send_events(io, &head, last).await;
            let mut byte = [0];
            let _ = io.read(&mut byte).await;
            false
        }
        ScriptStep::Raw { text, resets } => {
            write_raw(io, &text.replace("ID", &request_id), resets).await
        }
        ScriptStep::EventsThenRaw { text, .. } if header(request, "x-last").is_some() => {
            write_raw(io, &text.replace("ID", &request_id), false).await
        }
        ScriptStep::EventsThenRaw { last, .. } => {
            send_events(io, &head, last).await;
            false
        }
        ScriptStep::EventsThenBytes { last, interval } => {
            send_events(io, &head, last).await;
            while io.write_all(b"1\r\n:\r\n").await.is_ok() {
                sleep(interval).await;
            }
            false
        }
        ScriptStep::Events {
            last,
            disconnects,
            interval,
        } => {
            let last_received = header(request, "x-last").and_then(|n| n.parse::<u64>().ok());
            let rest = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
            let _ = io.write_all(head(200, rest).as_bytes()).await;
            for event in last_received.map_or(1, |n| n + 1)..=last {
                sleep(interval).await;
                let text = format!("id: {event}\ndata: e{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if io.write_all(chunk.as_bytes()).await.is_err() {
                    return false;
                }
            }
            if disconnects {
                let _ = io.write_all(b"8\r\nid: 99\nd").await;
                return false;
            }
            io.write_all(b"0\r\n\r\n").await.is_ok()
        }
    }
}

/// Writes text, and closes or resets the connection.
async fn write_raw(io: &mut TcpStream, text: &str, resets: bool) -> bool {
    let _ = io.write_all(text.as_bytes()).await;
    if resets {
        sleep(Duration::from_millis(30)).await;
        #[allow(deprecated)]
        io.set_linger(Some(Duration::ZERO)).unwrap();
    }
    false
}

async fn write_not_run(io: &mut TcpStream, request_id: &str, status: u16) -> bool {
    let text = format!(
        "HTTP/1.1 {status} No\r\nx-id: {request_id}\r\nx-not-run: 1\r\n\
         content-length: 0\r\n\r\n"
    );
    io.write_all(text.as_bytes()).await.is_ok()
}

async fn answer_with_extra(io: &mut TcpStream, id: &str, own: &str, step: ScriptStep) -> bool {
    match step {
        ScriptStep::AnswerThenExtra {
            takes,
            extra,
            after,
        } => {
            sleep(takes).await;
            write_both(io, own, after, extra).await
        }
        ScriptStep::ExtraThenAnswer { extra, after } => {
            sleep(after).await;
            write_both(io, &extra.replace("ID", id), RUN_TIME, own).await
        }
        _ => unreachable!("the other steps write no answer too many"),
    }
}

/// Writes two answers, together if there is no pause between them.
async fn write_both(io: &mut TcpStream, first: &str, pause: Duration, second: &str) -> bool {
    if pause.is_zero() {
        let both = format!("{first}{second}");
        return io.write_all(both.as_bytes()).await.is_ok();
    }
    let _ = io.write_all(first.as_bytes()).await;
    sleep(pause).await;
    io.write_all(second.as_bytes()).await.is_ok()
}

/// Sends the head of a stream and its events from 1 to `last`.
async fn send_events<F>(io: &mut TcpStream, head: F, last: u64)
where
    F: Fn(u16, &str) -> String,
{
    let rest = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let _ = io.write_all(head(200, rest).as_bytes()).await;
    for event in 1..=last {
        let text = format!("id: {event}\ndata: e{event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        let _ = io.write_all(chunk.as_bytes()).await;
    }
}

/// Events for [`ScriptStep::UnframedEvents`].
fn unframed_events(request: &str, last: u64, breaks_off_after: Option<u64>) -> String {
    let last_received = header(request, "x-last").and_then(|n| n.parse::<u64>().ok());
    let breaks_off_after = breaks_off_after.filter(|_| last_received.is_none());
    let mut text = String::new();
    for event in last_received.map_or(1, |n| n + 1)..=breaks_off_after.unwrap_or(last) {
        let _ = write!(text, "id: {event}\ndata: e{event}\n\n");
    }
    if let Some(last) = breaks_off_after {
        let _ = write!(text, "id: {}\nda", last + 1);
    }
    text
}

pub async fn read_request(io: &mut TcpStream) -> Option<String> {
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
