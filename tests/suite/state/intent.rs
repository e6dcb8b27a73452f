//! Decisions of an attempt about an existing intent record.

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::intent::{Claim, Intent, Owner, Progress};
use nutmeggrade_state::recorded_response::RecordedResponse;
use rstest::rstest;

fn intent(nonce: u8, request: &str) -> Intent {
    let instance = InstanceId::new("node-0").expect("id");
    Intent::new(GenerationId::new([nonce; 16]), &instance, 7, request)
}

fn done() -> Progress {
    Progress::Done { answer: RecordedResponse::new(200, b"{}") }
}

fn judges(existing: &Intent, owner: &Owner, claim: &Claim) {
    assert_eq!(intent(1, "a").judge(existing, owner), *claim);
}

cases!(judges {
    own_record: &intent(1, "a"), &Owner::Busy, &Claim::Send;
    running_elsewhere: &intent(2, "a"), &Owner::Busy, &Claim::Refuse(Code::InProgress);
    owner_gone: &intent(2, "a"), &Owner::Gone, &Claim::Refuse(Code::OutcomeUnknown);
    never_sent: &intent(2, "a"), &Owner::NeverSent, &Claim::TakeOver;
    ended_unrecorded: &intent(2, "a"), &Owner::Ended(done()),
        &Claim::Answer(RecordedResponse::new(200, b"{}"));
    released: &intent(2, "b").with_progress(Progress::Released), &Owner::Gone, &Claim::TakeOver;
    other_request: &intent(2, "b").with_progress(done()), &Owner::Gone,
        &Claim::Refuse(Code::KeyReused);
    lost: &intent(2, "a").with_progress(Progress::Unknown), &Owner::NeverSent,
        &Claim::Refuse(Code::OutcomeUnknown);
});

fn keeps(body: &[u8], kept: bool) {
    let recorded = RecordedResponse::new(200, body).with_content(Some("text/plain"));
    let text = serde_json::to_string(&recorded).expect("encode");
    assert!(text.len() < 1 << 20, "{} bytes don't fit a platform value", text.len());
    let back: RecordedResponse = serde_json::from_str(&text).expect("decode");
    assert_eq!(back.body(), kept.then_some(body));
}

// Guards against a retry that gets different bytes: a response may be binary, or exceed a platform
// value once encoded, and then the record states that the body was not kept.
cases!(keeps {
    text: b"{\"number\":1}", true;
    empty: b"", true;
    not_text: &[0xff, 0x00, 0xfe], true;
    large_text: &vec![b'a'; 512 << 10], true;
    large_bytes: &vec![0xff; 500 << 10], false;
    control_characters: &vec![1; 300 << 10], false;
});

#[rstest]
fn large_bytes_that_fit_are_kept() {
    let body = vec![0xff; 480 << 10];
    assert_eq!(RecordedResponse::new(200, &body).body(), Some(body.as_slice()));
}
