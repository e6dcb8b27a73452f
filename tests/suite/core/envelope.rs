//! Messages between instances are authenticated by the peers' key.

use nutmeggrade_core::peer::{EnvelopeError, MAX_FRAME_BYTES, open, seal};

const KEY: [u8; 32] = [9; 32];

fn refuses(frame: &[u8], reason: EnvelopeError) {
    assert_eq!(open::<String>(frame, &KEY), Err(reason));
}

fn sealed(key: [u8; 32]) -> Vec<u8> {
    seal(&"hello".to_owned(), &key).expect("seal")
}

fn changed_frame(at: usize) -> Vec<u8> {
    let mut frame = sealed(KEY);
    frame[at] ^= 1;
    frame
}

cases!(refuses {
    empty: &[], EnvelopeError::Size;
    head_only: &[1; 20], EnvelopeError::Size;
    too_large: &vec![1; MAX_FRAME_BYTES + 1], EnvelopeError::Size;
    other_version: &changed_frame(0), EnvelopeError::Version;
    other_key: &sealed([8; 32]), EnvelopeError::Tag;
    changed_body: &changed_frame(35), EnvelopeError::Tag;
    other_type: &seal(&7_u8, &KEY).expect("seal"), EnvelopeError::Body;
});

#[rstest::rstest]
fn comes_back_as_it_was() {
    assert_eq!(open::<String>(&sealed(KEY), &KEY), Ok("hello".to_owned()));
}
