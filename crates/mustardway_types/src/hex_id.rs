//! The macro that defines ids with a hexadecimal text form.

/// Defines an id type that wraps a `u64`.
macro_rules! define {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::parse::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                const WANTED: &str = "id of up to 16 hexadecimal digits";
                let error = |_| $crate::parse::Error::value(text, WANTED);
                u64::from_str_radix(text, 16).map($name).map_err(error)
            }
        }
    };
}

pub(crate) use define;
