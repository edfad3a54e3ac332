//! An answer of an upstream, which is whole or an error.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    BoxedPayloadStream, StatusCode, Version,
    header::{self, HeaderMap},
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time::timeout;

use super::{CallError, IncompleteSnafu, StalledSnafu, TooLargeSnafu, connection::Track};

/// Head of an answer, with its body.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody,
}

/// Body of an answer, read piece by piece.
pub struct AnswerBody {
    addr: SocketAddr,
    res: ClientResponse<BoxedPayloadStream>,
    track: Rc<Track>,
    framing: Framing,
    keep_alive: bool,
    read: u64,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length(u64),
    Chunked,
    None,
}

impl Answer {
    pub(super) fn new(
        addr: SocketAddr,
        res: ClientResponse<BoxedPayloadStream>,
        track: Rc<Track>,
    ) -> Self {
        let status = res.status();
        let headers = res.headers().clone();
        let body = AnswerBody {
            addr,
            framing: framing(&headers),
            keep_alive: keeps_alive(&res),
            res,
            track,
            read: 0,
        };
        Self {
            status,
            headers,
            body,
        }
    }
}

impl AnswerBody {
    /// Reads the next piece; `None` means that the body has ended and is whole. A pause longer
    /// than `stall` is an error.
    pub async fn next(&mut self, stall: Duration) -> Result<Option<Bytes>, CallError> {
        let addr = self.addr;
        let Ok(piece) = timeout(stall, self.res.next()).await else {
            return StalledSnafu { addr, after: stall }.fail();
        };
        match piece {
            Some(Ok(bytes)) => {
                self.read += bytes.len() as u64;
                Ok(Some(bytes))
            }
            Some(Err(e)) => IncompleteSnafu {
                addr,
                reason: e.to_string(),
            }
            .fail(),
            None => self.check_end(),
        }
    }

    /// Reads the whole body, up to `limit` bytes.
    pub async fn read_all(&mut self, limit: usize, stall: Duration) -> Result<Bytes, CallError> {
        let mut buf = BytesMut::new();
        while let Some(piece) = self.next(stall).await? {
            if buf.len() + piece.len() > limit {
                let addr = self.addr;
                return TooLargeSnafu { addr, limit }.fail();
            }
            buf.extend_from_slice(&piece);
        }
        Ok(buf.freeze())
    }

    /// The HTTP client takes the end of the connection for the end of any body, so that the end
    /// has to be checked here.
    fn check_end(&self) -> Result<Option<Bytes>, CallError> {
        let whole = match self.framing {
            Framing::Length(length) => self.read == length,
            Framing::Chunked => !self.track.has_ended(),
            // Only the end of the connection tells that the body is whole; a reset does not.
            Framing::None => !self.track.has_failed(),
        };
        if !whole {
            return IncompleteSnafu {
                addr: self.addr,
                reason: "the connection was closed",
            }
            .fail();
        }
        if self.keep_alive && self.framing != Framing::None {
            self.track.set_reusable();
        }
        Ok(None)
    }
}

fn framing(headers: &HeaderMap) -> Framing {
    let chunked = headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    if chunked {
        return Framing::Chunked;
    }
    headers
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim().parse().ok())
        .map_or(Framing::None, Framing::Length)
}

fn keeps_alive(res: &ClientResponse<BoxedPayloadStream>) -> bool {
    let closes = res
        .headers()
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    res.version() == Version::HTTP_11 && !closes
}
