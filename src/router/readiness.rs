//! HTTP server for the load balancer's readiness check and for metrics.

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

const METRICS_PATH: &str = "/metrics";

/// Handles a request for the readiness check or for the metrics.
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
