//! Messages between instances need the peers' key.

use nutmeggrade_core::peer::{BadEnvelope, MAX_MESSAGE, open, seal};

const KEY: [u8; 32] = [9; 32];

fn refuses(frame: &[u8], reason: BadEnvelope) {
    assert_eq!(open::<String>(frame, &KEY), Err(reason));
}

fn sealed(key: [u8; 32]) -> Vec<u8> {
    seal(&"hello".to_owned(), &key).expect("seal")
}

fn changed(at: usize) -> Vec<u8> {
    let mut frame = sealed(KEY);
    frame[at] ^= 1;
    frame
}

cases!(refuses {
    empty: &[], BadEnvelope::Size;
    head_only: &[1; 20], BadEnvelope::Size;
    too_large: &vec![1; MAX_MESSAGE + 1], BadEnvelope::Size;
    other_version: &changed(0), BadEnvelope::Version;
    other_key: &sealed([8; 32]), BadEnvelope::Tag;
    changed_body: &changed(35), BadEnvelope::Tag;
    other_type: &seal(&7_u8, &KEY).expect("seal"), BadEnvelope::Body;
});

#[rstest::rstest]
fn comes_back_as_it_was() {
    assert_eq!(open::<String>(&sealed(KEY), &KEY), Ok("hello".to_owned()));
}
