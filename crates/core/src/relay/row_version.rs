//! Versions of the rows of the platform's store.

key_type! {
    /// State of the store. Within an era, later states have higher numbers. When the store comes back
    /// from a copy, an era begins in which numbers of the one before are given out again; so versions
    /// are compared by their eras first.
    #[derive(Default)]
    pub struct RowVersion {
        /// Number of times that the store came back from a copy, as it states itself.
        pub era: u64,
        /// Number that the store gives to the state.
        pub number: u64,
    }
}
