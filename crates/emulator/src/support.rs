//! Query parsing and the runtime that the emulators share.

use hyper::{
    body::Incoming,
    Request, //
};
use rhubarbpick::kernel::runtime::Context;

/// Returns the first value of a query parameter, without percent-decoding.
pub fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(found, _)| *found == name);
    named.next().map(|(_, value)| value)
}

/// Returns a query parameter as a number; zero if it is missing or not a number.
pub fn numeric_parameter(request: &Request<Incoming>, name: &str) -> u64 {
    let text = query_parameter(request, name);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Starts the worker threads of an emulator process.
pub fn worker_context() -> Context {
    Context::spawn(2)
}
