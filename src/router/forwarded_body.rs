//! Bodies of responses that are forwarded while they are received.
//!
//! A task of its own reads the endpoint's body, so that the deadline holds even while the caller
//! does not read. At the deadline the connection to the endpoint is closed and the caller's
//! response is broken off. Dropping the body cancels the task.

use crate::{
    kernel::{
        http::{
            Body,
            BodyError, //
        },
        pool,
        runtime::{
            timeout,
            Context, //
        },
    },
    router::attempt::remaining,
};
use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::Task;
use bytes::Bytes;
use displaydoc::Display;
use futures_lite::Stream;
use http_body_util::BodyExt;
use hyper::body::{
    Body as HttpBody,
    Frame, //
};
use std::{
    pin::Pin,
    task::{
        self,
        Poll, //
    },
    time::Instant,
};

/// Why a body ends early.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the endpoint broke off its response
    CutShort,
    /// the deadline passed before the end of the response
    Late,
}

impl std::error::Error for Error {}

/// A part of a body.
enum Part {
    Frame(Frame<Bytes>),
    End,
    Broken(Error),
}

struct Forwarded {
    parts: Pin<Box<Receiver<Part>>>,
    is_ended: bool,
    _reader: Task<()>,
}

/// Starts to forward the rest of a body.
///
/// `on_error` is called if the body does not reach its end by `deadline`.
pub fn spawn(
    context: &Context,
    rest: pool::Stream,
    deadline: Instant,
    on_error: impl FnOnce(Error) + Send + 'static,
) -> Body {
    let (sender, receiver) = async_channel::bounded(1);
    let reader = context.start(async move {
        if let Err(error) = read(rest, &sender, deadline).await {
            on_error(error);
            // Without room for it, the end of the channel tells the same.
            let _ = sender.try_send(Part::Broken(error));
        }
    });
    let body = Forwarded {
        parts: Box::pin(receiver),
        is_ended: false,
        _reader: reader,
    };
    body.boxed_unsync()
}

async fn read(
    mut body: pool::Stream,
    parts: &Sender<Part>,
    deadline: Instant,
) -> Result<(), Error> {
    loop {
        let frame = timeout(remaining(deadline), body.frame()).await;
        let (part, is_end) = match frame.ok_or(Error::Late)? {
            Some(Ok(frame)) => (Part::Frame(frame), false),
            Some(Err(_)) => return Err(Error::CutShort),
            None => (Part::End, true),
        };
        let sent = timeout(remaining(deadline), parts.send(part)).await;
        if sent.ok_or(Error::Late)?.is_err() || is_end {
            // The caller has disconnected, or the body is complete.
            return Ok(());
        }
    }
}

impl HttpBody for Forwarded {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let part = match self.parts.as_mut().poll_next(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(part) => part.unwrap_or(Part::Broken(Error::Late)),
        };
        let frame = match part {
            Part::Frame(frame) => return Poll::Ready(Some(Ok(frame))),
            Part::End => None,
            Part::Broken(error) => Some(Err(error.into())),
        };
        self.is_ended = true;
        Poll::Ready(frame)
    }
}
