//! Health, readiness and metrics.

use crate::{
    daemon::state::State,
    kernel::http::{
        answer,
        Body, //
    },
};
use hyper::{
    body::Incoming,
    Request,
    Response,
    StatusCode, //
};
use metrics_exporter_prometheus::PrometheusHandle;

/// Responds to the load balancer and the metrics collector.
pub fn handle(
    state: &State,
    request: &Request<Incoming>,
    metrics: Option<&PrometheusHandle>,
) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => answer(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" => ready(state),
        "/metrics" => {
            let text = metrics.map(PrometheusHandle::render).unwrap_or_default();
            answer(StatusCode::OK, "text/plain; version=0.0.4", text)
        }
        _ => answer(
            StatusCode::NOT_FOUND,
            "text/plain",
            "no such path; use /healthz, /readyz or /metrics\n",
        ),
    }
}

fn ready(state: &State) -> Response<Body> {
    if state.is_leaving() {
        return answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving\n");
    }
    if state.tables.current().intents.is_empty() {
        return answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "not ready: no intent has arrived from a peer or the store yet\n",
        );
    }
    answer(StatusCode::OK, "text/plain", "ready\n")
}
