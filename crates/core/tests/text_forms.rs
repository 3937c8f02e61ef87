//! Every value that is printed reads back as the same value.

#![allow(clippy::unwrap_used)]

use std::fmt::{Debug, Display};
use std::str::FromStr;

use arbtest::arbtest;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{self, Epoch, ServiceName};
use sycamorerill_core::money::Amount;
use sycamorerill_core::size::{Cpu, Memory};

fn reads_back<T>(value: T)
where
    T: Copy + Debug + Display + FromStr + PartialEq,
    T::Err: Debug,
{
    let text = value.to_string();
    assert_eq!(text.parse::<T>().unwrap(), value, "printed as {text}");
}

#[test]
fn printed_values_read_back() {
    arbtest(|u| {
        let number = u.arbitrary::<u32>()?;
        reads_back(Cpu(u64::from(number)));
        reads_back(Memory(u64::from(number)));
        reads_back(Amount(u64::from(number)));
        reads_back(Epoch(u64::from(number)));
        reads_back(Span::from_ms(u64::from(number)));
        Ok(())
    });
}

#[test]
fn spans_without_a_unit_are_refused() {
    assert!("250".parse::<Span>().is_err());
    assert!("-1s".parse::<Span>().is_err());
    assert!("1e400s".parse::<Span>().is_err());
    assert_eq!("1.5ms".parse::<Span>().unwrap().as_ms_f64(), 1.5);
}

#[test]
fn names_keep_to_their_alphabet() {
    assert!("quote-check".parse::<ServiceName>().is_ok());
    let refused = "Quote".parse::<ServiceName>().unwrap_err();
    assert!(matches!(refused, id::Error::Character { found: 'Q', .. }));
    assert!("".parse::<ServiceName>().is_err());
    assert!("a".repeat(id::MAX_NAME_BYTES + 1).parse::<ServiceName>().is_err());
}
