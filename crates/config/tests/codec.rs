//! What is encoded decodes as the same configuration, anything else is an error.

#![allow(clippy::unwrap_used)]

mod common;

use arbtest::arbtest;
use bytes::Bytes;
use sycamorerill_config::{
    CodecError, MAX_ENCODED_BYTES, decode, decode_text, difference, encode, encode_text,
};
use sycamorerill_core::id::Version;
use sycamorerill_core::model::Config;

#[test]
fn a_configuration_survives_encoding() {
    arbtest(|u| {
        let config = common::config(u)?;
        let read = decode(&encode(&config)).unwrap();
        assert_eq!(read, config);
        assert_eq!(decode_text(&encode_text(&config)).unwrap(), config);
        assert_eq!(encode(&read), encode(&config));
        Ok(())
    });
}

#[test]
fn bytes_decode_wherever_they_lie_in_a_buffer() {
    let config = Config::default();
    for offset in 0..8 {
        let mut buffer = vec![0; offset];
        buffer.extend_from_slice(&encode(&config));
        assert_eq!(decode(&Bytes::from(buffer).slice(offset..)).as_ref(), Ok(&config));
    }
}

#[test]
fn a_changed_or_cut_message_is_an_error() {
    arbtest(|u| {
        let bytes = encode(&common::config(u)?);
        let cut = u.choose_index(bytes.len())?;
        assert!(decode(&bytes.slice(..cut)).is_err());
        let mut changed = bytes.to_vec();
        changed[cut] ^= u.int_in_range(1..=u8::MAX)?;
        assert!(decode(&changed.into()).is_err());
        let mut longer = bytes.to_vec();
        longer.push(u.arbitrary()?);
        assert!(decode(&longer.into()).is_err());
        Ok(())
    });
}

#[test]
fn foreign_bytes_are_told_from_damaged_ones() {
    assert_eq!(decode(&Bytes::new()), Err(CodecError::Foreign));
    assert_eq!(decode(&Bytes::from_static(b"{\"a\": 1}")), Err(CodecError::Foreign));
    assert_eq!(decode(&Bytes::from_static(b"SYC1")), Err(CodecError::Damaged));
    let large = Bytes::from(vec![0; MAX_ENCODED_BYTES + 1]);
    assert_eq!(decode(&large), Err(CodecError::TooLarge(MAX_ENCODED_BYTES + 1)));
    assert_eq!(decode_text("?"), Err(CodecError::Base64));
}

#[test]
fn any_words_behind_a_right_header_never_panic() {
    arbtest(|u| {
        let words: Vec<u8> = u.arbitrary()?;
        let mut bytes = b"SYC1".to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&words).to_le_bytes());
        bytes.extend_from_slice(&words);
        let _ = decode(&bytes.into());
        Ok(())
    });
}

#[test]
fn a_difference_is_empty_only_for_equal_configurations() {
    arbtest(|u| {
        let left = common::config(u)?;
        let mut right = if u.arbitrary()? { left.clone() } else { common::config(u)? };
        right.version = Version(left.version.0.wrapping_add(1));
        let keys = difference(&left, &right);
        assert_eq!(keys, difference(&right, &left));
        right.version = left.version;
        assert_eq!(keys.is_empty(), left == right, "{keys:?}");
        Ok(())
    });
}
