//! What is known of a request after attempts that did not end with its response.
//!
//! It decides what the caller is told: that the request did not run only holds
//! if no endpoint can have run it.

use crate::{
    kernel::http::Body,
    router::error_response::Error, //
};
use hyper::Response;
use std::time::Duration;

/// What endpoints may already have done with a request.
#[derive(Default)]
pub struct History {
    /// Number of endpoints that may have run the request.
    pub possible_runs: u32,
    /// How the last of them failed.
    pub last_failure: &'static str,
    /// Last server error that one of them responded with.
    pub last_response: Option<Response<Body>>,
    /// Whether the request is being sent to an endpoint.
    pub is_sending: bool,
}

impl History {
    /// Returns the result of a request that is not sent again.
    ///
    /// An endpoint's response takes precedence. The request is reported as not run only if no
    /// endpoint can have run it.
    pub fn finish(
        &mut self,
        reason: &'static str,
        retry_after: Duration,
    ) -> Result<Response<Body>, Error> {
        match self.last_response.take() {
            Some(response) => Ok(response),
            None if self.possible_runs > 0 && self.last_failure.is_empty() => {
                Err(Error::Unknown(reason))
            }
            None if self.possible_runs > 0 => Err(Error::Unknown(self.last_failure)),
            None => Err(Error::NotRun(reason, retry_after)),
        }
    }

    /// Returns the result of a request that is broken off.
    pub fn interrupt(
        &mut self,
        reason: &'static str,
        retry_after: Duration,
    ) -> Result<Response<Body>, Error> {
        if self.is_sending {
            self.possible_runs += 1;
            self.last_failure = reason;
        }
        self.finish(reason, retry_after)
    }
}
