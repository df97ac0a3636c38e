//! Readiness for the balancer, and metrics.

use crate::{
    kernel::http::{
        answer,
        Body, //
    },
    router::state::State,
};
use hyper::{
    body::Incoming,
    Request,
    Response,
    StatusCode, //
};
use metrics_exporter_prometheus::PrometheusHandle;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers a check.
pub fn handle(
    state: &State,
    request: &Request<Incoming>,
    metrics: Option<&PrometheusHandle>,
) -> Response<Body> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        let text = metrics.map(PrometheusHandle::render).unwrap_or_default();
        return answer(StatusCode::OK, "text/plain; version=0.0.4", text);
    }
    if *path != *state.settings.ready_path {
        return answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
    }
    if state.is_ready() {
        answer(StatusCode::OK, "text/plain", "ready\n")
    } else {
        answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
    }
}
