//! From a request's id to its cause, by the log lines of several VMs.
//!
//! The lines are from a run; each walk must reach the injected cause.

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

fn events(told: &[Line]) -> Vec<&str> {
    told.iter().filter_map(|line| line.field("event")).collect()
}

#[test]
fn a_refused_request_leads_to_the_endpoint_that_fell_silent() {
    let lines = lines(&[
        ("vm-1", "time_ms=10000 level=info event=grant_failed endpoint=i-7 from=0 to=99 fence=4 answer=\"Silent\""),
        ("vm-2", "time_ms=10900 level=info event=request id=ab route=r service=s kind=idempotent key=9 status=503 reason=no_owner last=no_owner tries=1 endpoint=i-7 took_ms=40"),
        ("vm-2", "time_ms=10901 level=info event=request id=cd route=r service=s status=200 took_ms=4"),
        ("vm-1", "time_ms=90000 level=info event=grant_failed endpoint=i-7 from=0 to=99 fence=5 answer=\"Silent\""),
    ]);
    let told = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&told), ["grant_failed", "request"]);
}

#[test]
fn an_unknown_request_leads_to_the_release_of_its_service() {
    let lines = lines(&[
        ("vm-1", "time_ms=9800 level=info event=released service=s endpoint=i-3 from=0 to=9 fence=8"),
        ("vm-2", "time_ms=10200 level=info event=request id=ab route=r service=s kind=once status=502 reason=broken last=broken tries=1 endpoint=i-3 took_ms=300"),
        ("vm-1", "time_ms=10100 level=info event=released service=other endpoint=i-9 from=0 to=9 fence=8"),
    ]);
    let told = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&told), ["released", "request"]);
}

#[test]
fn a_late_request_leads_to_the_lost_store() {
    let lines = lines(&[
        ("vm-3", "time_ms=9000 level=warn event=store_lost kind=Endpoint why=\"silent\""),
        ("vm-2", "time_ms=10400 level=info event=request id=ab route=r service=s kind=once status=504 reason=late last=late tries=1 endpoint=i-3 took_ms=1200"),
        ("vm-3", "time_ms=10450 level=info event=summary requests=1"),
    ]);
    let told = log_trace::related_lines("ab", &lines);
    assert_eq!(events(&told), ["store_lost", "request"]);
}

#[test]
fn an_id_that_no_line_has_tells_nothing() {
    assert!(
        log_trace::related_lines("zz", &lines(&[("vm", "time_ms=1 event=started")])).is_empty()
    );
}
