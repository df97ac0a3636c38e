//! Answers of the system's own.
//!
//! A 503 is a promise: the request has not run and will not. 502 and 504
//! promise nothing.

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

/// Why the system answers in place of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request breaks a rule of HTTP.
    Malformed,
    /// No route leads to the path.
    NoRoute,
    /// The body is longer than the configuration allows.
    TooLarge,
    /// No configuration is known yet.
    NotConfigured,
    /// The request was not run; there may be room after the span.
    NotRun(&'static str, Duration),
    /// The request may have run.
    Unknown(&'static str),
    /// Time ran out while an endpoint was at it.
    Late,
}

/// Time after which a caller may return when no configuration is known yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(300);

impl Reply {
    /// Name in logs and metrics.
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

    /// Status that callers see.
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

    /// Writes the answer.
    pub fn response(self) -> Response<Body> {
        let text = format!("{}\n", self.name());
        let mut response = answer(self.status(), "text/plain", text);
        let retry = match self {
            Self::NotConfigured => Some(UNCONFIGURED_RETRY),
            Self::NotRun(_, after) => Some(after),
            _ => None,
        };
        if let Some(after) = retry {
            let seconds = format!("{:.3}", after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("a number is a header value");
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}
