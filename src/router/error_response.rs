//! Error responses that the router itself generates.
//!
//! Status 503 guarantees that the request has not run and will not run. Status
//! 502 and 504 guarantee nothing.

use crate::kernel::http::{
    answer,
    Body, //
};
use hyper::{
    header::{
        HeaderValue,
        RETRY_AFTER, //
    },
    Response,
    StatusCode, //
};
use std::time::Duration;

/// Why the router responds in place of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The request is not valid HTTP or lacks a required header.
    Malformed,
    /// No route matches the path.
    NoRoute,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The configuration has not been read yet.
    NotConfigured,
    /// The request did not run; holds the reason and the time after which to retry.
    NotRun(&'static str, Duration),
    /// The request may have run; holds the reason.
    Unknown(&'static str),
    /// The deadline passed while an endpoint had the request.
    Late,
}

/// Retry delay while the configuration has not been read yet.
const NOT_CONFIGURED_RETRY: Duration = Duration::from_millis(300);

impl Error {
    /// Returns the name used in logs, in metrics and in the response body.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::TooLarge => "too_large",
            Self::NotConfigured => "not_configured",
            Self::NotRun(reason, _) | Self::Unknown(reason) => reason,
            Self::Late => "late",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotConfigured | Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response.
    pub fn response(self) -> Response<Body> {
        let body = format!("{}\n", self.name());
        let mut response = answer(self.status(), "text/plain", body);
        let retry_after = match self {
            Self::NotConfigured => Some(NOT_CONFIGURED_RETRY),
            Self::NotRun(_, retry_after) => Some(retry_after),
            _ => None,
        };
        if let Some(retry_after) = retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("a number is a header value");
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
