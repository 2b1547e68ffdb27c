//! Macros for the sets of derives that most types of this workspace share.

/// Derives the traits common to plain value types: `Clone`, `Debug`, `PartialEq` and `Eq`.
///
/// The item may carry further `#[derive]` attributes.
///
/// ```
/// agatepin_core::value_type! {
///     /// A cell of a grid.
///     #[derive(Default)]
///     pub struct GridPoint {
///         /// Column.
///         pub x: u32,
///     }
/// }
/// assert_eq!(GridPoint::default(), GridPoint { x: 0 });
/// ```
#[macro_export]
macro_rules! value_type {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )+
    };
}

/// Derives the traits of small types that serve as map keys: those of [`value_type`], `Copy`,
/// `Hash`, `PartialOrd` and `Ord`.
#[macro_export]
macro_rules! key_type {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )+
    };
}
