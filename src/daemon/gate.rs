//! Defers sending a streamed body until the endpoint asks for it.
//!
//! A streamed body can be sent only once. Its request head is therefore sent
//! first, with `Expect: 100-continue`. If the endpoint refuses the request, for
//! example because the shard has moved, none of the body has been sent, and it
//! can still be sent to the new owner.

use crate::kernel::http::{
    Body,
    BodyError, //
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{
    Body as _,
    Frame,
    SizeHint, //
};
use std::{
    pin::Pin,
    sync::{
        Arc,
        Mutex, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
};

struct Shared {
    body: Option<Body>,
    is_open: bool,
    is_started: bool,
    waker: Option<Waker>,
}

/// Controls when a deferred body is sent.
#[derive(Clone)]
pub struct Gate {
    shared: Arc<Mutex<Shared>>,
}

struct Deferred {
    shared: Arc<Mutex<Shared>>,
    hint: SizeHint,
}

/// Returns a body that sends nothing until its gate is opened, and then sends `body`.
pub fn close(body: Body) -> (Gate, Body) {
    let hint = body.size_hint();
    let shared = Arc::new(Mutex::new(Shared {
        body: Some(body),
        is_open: false,
        is_started: false,
        waker: None,
    }));
    let gate = Gate {
        shared: Arc::clone(&shared),
    };
    (gate, Deferred { shared, hint }.boxed_unsync())
}

impl Gate {
    /// Lets the body be sent.
    pub fn open(&self) {
        let mut shared = self.shared.lock().unwrap();
        shared.is_open = true;
        if let Some(waker) = shared.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether none of the body was sent.
    pub fn is_unsent(&self) -> bool {
        !self.shared.lock().unwrap().is_started
    }

    /// Returns the original body if none of it was sent.
    pub fn reclaim(&self) -> Option<Body> {
        let mut shared = self.shared.lock().unwrap();
        if shared.is_started {
            return None;
        }
        shared.body.take()
    }
}

impl hyper::body::Body for Deferred {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut shared = self.shared.lock().unwrap();
        if !shared.is_open {
            shared.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        shared.is_started = true;
        match &mut shared.body {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(Some(Err(
                "the body was reclaimed before it was sent; send the request again".into(),
            ))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
    }
}
