//! Printed values parse back as the same value, and malformed text is rejected.
//!
//! A printed form that parsed as another value would silently change a setting that an
//! operator copies from output into a file.

#![allow(clippy::unwrap_used)]

use std::fmt::{Debug, Display};
use std::str::FromStr;

use arbtest::arbtest;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{self, Epoch, ServiceName};
use sycamorerill_core::money::Amount;
use sycamorerill_core::size::{Cpu, Memory};

fn assert_round_trip<T>(value: T)
where
    T: Copy + Debug + Display + FromStr + PartialEq,
    T::Err: Debug,
{
    let text = value.to_string();
    assert_eq!(text.parse::<T>().unwrap(), value, "printed as {text}");
}

#[test]
fn printed_values_parse_back() {
    arbtest(|u| {
        let number = u.arbitrary::<u32>()?;
        assert_round_trip(Cpu(u64::from(number)));
        assert_round_trip(Memory(u64::from(number)));
        assert_round_trip(Amount(u64::from(number)));
        assert_round_trip(Epoch(u64::from(number)));
        assert_round_trip(Span::from_ms(u64::from(number)));
        Ok(())
    });
}

#[test]
fn spans_without_a_unit_or_valid_number_are_rejected() {
    assert!("250".parse::<Span>().is_err());
    assert!("-1s".parse::<Span>().is_err());
    assert!("1e400s".parse::<Span>().is_err());
    assert_eq!("1.5ms".parse::<Span>().unwrap().as_ms_f64(), 1.5);
}

#[test]
fn names_with_invalid_characters_or_length_are_rejected() {
    assert!("quote-check".parse::<ServiceName>().is_ok());
    let error = "Quote".parse::<ServiceName>().unwrap_err();
    assert!(matches!(error, id::Error::Character { found: 'Q', .. }));
    assert!("".parse::<ServiceName>().is_err());
    assert!("a".repeat(id::MAX_NAME_BYTES + 1).parse::<ServiceName>().is_err());
}
