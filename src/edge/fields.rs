//! Names of the header fields that callers and endpoints of a platform use.
//!
//! A dialect supplies the names; the router handles requests without knowing
//! the platform's protocol.

use hyper::header::HeaderName;

/// Header field names of one dialect.
#[derive(Clone, Debug)]
pub struct Fields {
    /// Identity of a caller's request; endpoints return it in the response.
    pub request_id: HeaderName,
    /// Time left until the request's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Endpoint for which a request is meant; any other endpoint refuses it.
    pub target: HeaderName,
    /// Signature of the endpoint that sent the response.
    pub signature: HeaderName,
    /// Set when the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Most requests per second that the endpoint that sent the response takes from all VMs.
    pub rate_limit: HeaderName,
    /// Load of the endpoint that sent the response.
    pub load: HeaderName,
    /// Time for which the endpoint that sent the response stays cold, in milliseconds.
    pub cold_left: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
}
