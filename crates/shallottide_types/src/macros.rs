//! Macros for common derives, id newtypes and named test cases.

/// Adds the derives that all plain data types share.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Expands to one `#[test]` per named case; each calls the check function with its arguments.
#[macro_export]
macro_rules! cases {
    ($check:path; $($(#[$meta:meta])* $name:ident: $($arg:expr),+;)+) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                $check($($arg),+);
            }
        )+
    };
}

/// Defines text newtypes with `Display` and `FromStr`, validated by [`check`](crate::id::check).
macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(try_from = "compact_str::CompactString", into = "compact_str::CompactString")]
            pub struct $name(compact_str::CompactString);

            impl $name {
                /// Returns the id as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::id::IdError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    $crate::id::check(stringify!($name), text)?;
                    Ok(Self(text.into()))
                }
            }

            impl TryFrom<compact_str::CompactString> for $name {
                type Error = $crate::id::IdError;

                fn try_from(text: compact_str::CompactString) -> Result<Self, Self::Error> {
                    text.parse()
                }
            }

            impl From<$name> for compact_str::CompactString {
                fn from(id: $name) -> Self {
                    id.0
                }
            }
        )+
    };
}

/// Defines ordered `u64` newtypes with `Display` and `FromStr`.
macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// Returns the number that follows this one.
                #[must_use]
                pub fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(f)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    text.parse().map(Self)
                }
            }
        )+
    };
}

pub(crate) use {number_ids, text_ids};
