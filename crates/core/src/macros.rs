//! Macros that declare types with the common derives.

/// Declares a small value type that is copied, compared, ordered, hashed and printed.
#[macro_export]
macro_rules! value {
    ($(#[$meta:meta])* $vis:vis struct $name:ident($(#[$imeta:meta])* $ivis:vis $inner:ty);) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $name($(#[$imeta])* $ivis $inner);
    };
    ($(#[$meta:meta])* $vis:vis struct $name:ident { $($body:tt)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $name { $($body)* }
    };
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($body:tt)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis enum $name { $($body)* }
    };
}

/// Declares a data type that is cloned, compared and printed, but neither copied nor ordered.
#[macro_export]
macro_rules! data {
    ($(#[$meta:meta])* $vis:vis struct $name:ident { $($body:tt)* }) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        $vis struct $name { $($body)* }
    };
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($body:tt)* }) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        $vis enum $name { $($body)* }
    };
}

/// Declares a numeric identifier, printed and parsed as `$prefix` and a decimal number.
macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident, $prefix:literal) => {
        $crate::value! {
            $(#[$meta])*
            pub struct $name(pub u64);
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let malformed = || $crate::id::Error::Malformed {
                    kind: stringify!($name),
                    text: text.to_owned(),
                };
                let digits = text.strip_prefix($prefix).ok_or_else(malformed)?;
                digits.parse().map(Self).map_err(|_| malformed())
            }
        }
    };
}

/// Declares a name: a short lower-case identifier, stored as reference-counted bytes.
macro_rules! name_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(bytes::Bytes);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.0).unwrap_or_default()
            }

            /// Returns the reference-counted bytes of the name.
            pub fn bytes(&self) -> &bytes::Bytes {
                &self.0
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:?}", self.as_str())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::id::check_name(stringify!($name), text)?;
                Ok(Self(bytes::Bytes::copy_from_slice(text.as_bytes())))
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.serialize_str(self.as_str())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use {name_id, number_id};
