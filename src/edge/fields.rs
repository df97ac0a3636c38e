//! Names of the header fields that callers and endpoints use.
//!
//! A dialect fills them in; the request path uses them without knowing them.

use hyper::header::HeaderName;

/// Names of header fields.
#[derive(Clone, Debug)]
pub struct Fields {
    /// Identity of a caller's request; endpoints repeat it.
    pub request_id: HeaderName,
    /// Time left to the caller, in milliseconds.
    pub deadline: HeaderName,
    /// Endpoint that a request is meant for; any other refuses it.
    pub target: HeaderName,
    /// Proof that an endpoint made the answer.
    pub signature: HeaderName,
    /// Says that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
}
