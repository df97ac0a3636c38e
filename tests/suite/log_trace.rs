//! Tracing the cause of a failed request in the log lines of several VMs.
//!
//! The log lines were taken from a run with injected failures. Each trace must
//! include the event that caused the failure.

use rhubarbpick::core::log_trace::{
    self,
    Line, //
};

fn lines(texts: &[(&str, &str)]) -> Vec<Line> {
    let line = |&(source, text): &(&str, &str)| Line {
        source: source.into(),
        text: text.into(),
    };
    texts.iter().map(line).collect()
}

fn events(related: &[Line]) -> Vec<&str> {
    related
        .iter()
        .filter_map(|line| line.field("event"))
        .collect()
}

#[test]
fn refused_request_leads_to_silent_endpoint() {
    let lines = lines(&[
        ("vm-1", "time_ms=10000 level=info event=grant_failed endpoint=i-7 from=0 to=99 fence=4 answer=\"Silent\""),
        ("vm-2", "time_ms=10900 level=info event=request id=ab route=r service=s kind=idempotent key=9 status=503 reason=no_owner last=no_owner tries=1 endpoint=i-7 took_ms=40"),
        ("vm-2", "time_ms=10901 level=info event=request id=cd route=r service=s status=200 took_ms=4"),
        ("vm-1", "time_ms=90000 level=info event=grant_failed endpoint=i-7 from=0 to=99 fence=5 answer=\"Silent\""),
    ]);
    let related = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&related), ["grant_failed", "request"]);
}

#[test]
fn broken_request_leads_to_release_of_its_service() {
    let lines = lines(&[
        ("vm-1", "time_ms=9800 level=info event=released service=s endpoint=i-3 from=0 to=9 fence=8"),
        ("vm-2", "time_ms=10200 level=info event=request id=ab route=r service=s kind=once status=502 reason=broken last=broken tries=1 endpoint=i-3 took_ms=300"),
        ("vm-1", "time_ms=10100 level=info event=released service=other endpoint=i-9 from=0 to=9 fence=8"),
    ]);
    let related = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&related), ["released", "request"]);
}

#[test]
fn late_request_leads_to_lost_store() {
    let lines = lines(&[
        ("vm-3", "time_ms=9000 level=warn event=store_lost kind=Endpoint why=\"silent\""),
        ("vm-2", "time_ms=10400 level=info event=request id=ab route=r service=s kind=once status=504 reason=late last=late tries=1 endpoint=i-3 took_ms=1200"),
        ("vm-3", "time_ms=10450 level=info event=summary requests=1"),
    ]);
    let related = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&related), ["store_lost", "request"]);
}

#[test]
fn unknown_id_has_no_related_lines() {
    assert!(
        log_trace::related_lines("zz", &lines(&[("vm", "time_ms=1 event=started")])).is_empty()
    );
}
