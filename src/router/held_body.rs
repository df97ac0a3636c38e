//! Bodies that are held in memory for a caller.
//!
//! Their memory is reserved from the account of the caller's connection before it is used, and
//! returned when the last copy of the bytes is dropped, wherever that is.

use crate::{
    core::memory_budget::Purpose,
    kernel::{
        http::{
            Body,
            BodyError, //
        },
        memory::{
            Account,
            Reservation, //
        },
        runtime::timeout,
    },
    router::attempt::remaining,
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::{
    Body as HttpBody,
    Frame,
    SizeHint, //
};
use std::{
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Length up to which a body counts as small: it need not wait for the memory of larger ones.
const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Largest part in which a body is handed to the HTTP library, so that what it has not taken yet
/// bounds what it holds.
const MAX_PART_BYTES: usize = 16 * 1024;

/// Most bytes by which the last part read may exceed the limit of a body.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The deadline passed.
    Late,
    /// The sender broke it off.
    CutShort,
    /// There is no memory for it.
    NoMemory,
}

/// What is held, and for how long the holder waits.
pub struct Terms {
    /// Whether it is the body of a request or of a response.
    pub purpose: Purpose,
    /// Length up to which a body is read completely.
    pub limit: usize,
    /// Deadline for reading it.
    pub deadline: Instant,
    /// Longest time to wait for memory.
    pub max_wait: Duration,
}

/// The beginning of a body, or all of it.
pub struct Held {
    bytes: BytesMut,
    reservation: Option<Reservation>,
    /// Whether the body has ended.
    pub is_complete: bool,
}

impl Held {
    /// Returns the bytes, which keep their memory reserved.
    ///
    /// `is_held_by_client` tells whether the caller has to send or read more before they can be
    /// dropped.
    pub fn into_bytes(self, is_held_by_client: bool) -> Bytes {
        let Some(mut reservation) = self.reservation else {
            return self.bytes.freeze();
        };
        reservation.set_held_by_client(is_held_by_client);
        Bytes::from_owner(Owner {
            bytes: self.bytes,
            _reservation: reservation,
        })
    }
}

struct Owner {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body until its end or until it is longer than the limit.
///
/// Nothing is read while there is no memory. The memory of a body that announces its length is
/// reserved before its first byte is read, so that bodies do not wait for each other half read.
pub async fn read<B>(account: &Arc<Account>, body: &mut B, terms: &Terms) -> Result<Held, Error>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut held = Held {
        bytes: BytesMut::new(),
        reservation: None,
        is_complete: body.is_end_stream(),
    };
    if held.is_complete {
        return Ok(held);
    }
    let longest = terms.limit + MAX_FRAME_BYTES;
    let announced = body.size_hint().exact();
    let first = match announced {
        Some(length) if length <= terms.limit as u64 => length as usize,
        Some(_) => longest,
        None => SMALL_BODY_BYTES,
    };
    grow(account, &mut held, terms, first).await?;
    loop {
        let frame = match timeout(remaining(terms.deadline), body.frame()).await {
            None => return Err(Error::Late),
            Some(None) => {
                held.is_complete = true;
                return Ok(held);
            }
            Some(Some(Err(_))) => return Err(Error::CutShort),
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = held.bytes.len() + data.len();
        if length > held.bytes.capacity() {
            // As bytes that are appended would be, by doubling.
            let capacity = (held.bytes.capacity() * 2).min(longest).max(length);
            grow(account, &mut held, terms, capacity).await?;
        }
        held.bytes.extend_from_slice(&data);
        if held.bytes.len() > terms.limit {
            return Ok(held);
        }
    }
}

/// Makes room for `capacity` bytes in all.
async fn grow(
    account: &Arc<Account>,
    held: &mut Held,
    terms: &Terms,
    capacity: usize,
) -> Result<(), Error> {
    let span = terms.max_wait.min(remaining(terms.deadline));
    let purpose = match capacity <= SMALL_BODY_BYTES {
        true => Purpose::Small,
        false => terms.purpose,
    };
    match &mut held.reservation {
        Some(reservation) => {
            let more = capacity.saturating_sub(reservation.bytes());
            if !reservation.grow(purpose, more, span).await {
                return Err(Error::NoMemory);
            }
        }
        None => {
            let reserved = account.reserve(purpose, capacity, span).await;
            let mut reserved = reserved.ok_or(Error::NoMemory)?;
            // The endpoint, not the caller, determines when a response is complete.
            reserved.set_held_by_client(terms.purpose == Purpose::Body);
            held.reservation = Some(reserved);
        }
    }
    held.bytes.reserve(capacity - held.bytes.len());
    Ok(())
}

/// A body whose memory is reserved until it is dropped. Its first part is handed on in pieces.
pub struct Reserved<B> {
    /// Part of the body that was already read.
    prefix: Bytes,
    rest: Option<B>,
    _reservation: Option<Reservation>,
}

/// Makes a body of what was read of it and of its rest.
pub fn reserved<B>(prefix: Bytes, rest: Option<B>, reservation: Option<Reservation>) -> Body
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin + 'static,
{
    let body = Reserved {
        prefix,
        rest,
        _reservation: reservation,
    };
    body.boxed_unsync()
}

/// Makes a body of bytes that are all there.
pub fn whole(bytes: Bytes) -> Body {
    reserved(bytes, None::<Body>, None)
}

impl<B> HttpBody for Reserved<B>
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            let length = self.prefix.len().min(MAX_PART_BYTES);
            let part = self.prefix.split_to(length);
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.prefix.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(length);
        };
        let rest = rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + length);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + length);
        }
        hint
    }
}
