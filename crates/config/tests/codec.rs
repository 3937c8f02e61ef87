//! Encoded configurations decode to equal ones; damaged or unrelated bytes are an error.
//!
//! A damaged message that decoded without an error would put a wrong configuration in force.

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
fn decoding_an_encoded_configuration_gives_an_equal_one() {
    arbtest(|u| {
        let config = common::config(u)?;
        let decoded = decode(&encode(&config)).unwrap();
        assert_eq!(decoded, config);
        assert_eq!(decode_text(&encode_text(&config)).unwrap(), config);
        assert_eq!(encode(&decoded), encode(&config));
        Ok(())
    });
}

#[test]
fn decoding_does_not_depend_on_the_alignment_of_the_bytes() {
    let config = Config::default();
    for offset in 0..8 {
        let mut buffer = vec![0; offset];
        buffer.extend_from_slice(&encode(&config));
        assert_eq!(decode(&Bytes::from(buffer).slice(offset..)).as_ref(), Ok(&config));
    }
}

#[test]
fn truncated_changed_and_extended_messages_are_errors() {
    arbtest(|u| {
        let bytes = encode(&common::config(u)?);
        let index = u.choose_index(bytes.len())?;
        assert!(decode(&bytes.slice(..index)).is_err());
        let mut changed = bytes.to_vec();
        changed[index] ^= u.int_in_range(1..=u8::MAX)?;
        assert!(decode(&changed.into()).is_err());
        let mut longer = bytes.to_vec();
        longer.push(u.arbitrary()?);
        assert!(decode(&longer.into()).is_err());
        Ok(())
    });
}

#[test]
fn unrelated_bytes_and_damaged_configurations_give_different_errors() {
    assert_eq!(decode(&Bytes::new()), Err(CodecError::NotConfiguration));
    assert_eq!(decode(&Bytes::from_static(b"{\"a\": 1}")), Err(CodecError::NotConfiguration));
    assert_eq!(decode(&Bytes::from_static(b"SYC1")), Err(CodecError::Damaged));
    let large = Bytes::from(vec![0; MAX_ENCODED_BYTES + 1]);
    assert_eq!(decode(&large), Err(CodecError::TooLarge(MAX_ENCODED_BYTES + 1)));
    assert_eq!(decode_text("?"), Err(CodecError::Base64));
}

#[test]
fn arbitrary_messages_with_a_valid_header_do_not_panic() {
    arbtest(|u| {
        let message: Vec<u8> = u.arbitrary()?;
        let mut bytes = b"SYC1".to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&message).to_le_bytes());
        bytes.extend_from_slice(&message);
        let _ = decode(&bytes.into());
        Ok(())
    });
}

#[test]
fn a_difference_is_empty_exactly_for_equal_configurations() {
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
