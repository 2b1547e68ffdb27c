//! Causes for which a request gets no place at an upstream.

key_type! {
    /// Why a request gets no place although some upstreams are eligible.
    pub enum FullCause {
        /// The service is overloaded, and a share of its requests is refused at once.
        Level,
        /// Requests that are ahead of it wait at this entry.
        Line,
        /// Requests that wait at other entries take all free places.
        PeerLines,
        /// Most upstreams have as many requests as this entry allows there.
        Capacity,
        /// Most upstreams are cold, and this entry has used its share of their rates.
        ColdRate,
        /// Most upstreams lack memory for the request.
        Memory,
        /// Some upstreams have capacity, but the caller would leave before their first event.
        Late,
    }
}

impl FullCause {
    /// Code of the cause in logs and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Level => "level",
            Self::Line => "line",
            Self::PeerLines => "peer_lines",
            Self::Capacity => "capacity",
            Self::ColdRate => "cold_rate",
            Self::Memory => "memory",
            Self::Late => "late",
        }
    }
}
