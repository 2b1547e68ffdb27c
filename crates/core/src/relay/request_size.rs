//! Sizes of requests, as callers state them and as they are expected.

value_type! {
    /// Numbers of output tokens that a request states.
    #[derive(Copy, Default)]
    pub struct StatedOutput {
        /// The caller's estimate.
        pub hint: Option<u32>,
        /// Maximum after which the engine ends the answer.
        pub limit: Option<u32>,
    }

    /// Expected output of requests in flight.
    #[derive(Copy, Default)]
    pub struct OutputLoad {
        /// Number of requests.
        pub requests: u32,
        /// Sum of their expected output tokens.
        pub tokens: u64,
    }
}

impl StatedOutput {
    /// The caller's estimate within the limit; 0 without an estimate. The limit alone says little: most
    /// answers are far shorter.
    #[must_use]
    pub fn estimated(self) -> u32 {
        let limit = self.limit.unwrap_or(u32::MAX);
        self.hint.map_or(0, |hint| hint.min(limit))
    }

    /// Expected number of output tokens at a service whose mean answer has `mean` tokens, 0 if that is
    /// not known: the hint within the limit; without a hint, the mean within the limit. 0 if nothing is
    /// known.
    #[must_use]
    pub fn expected(self, mean: u32) -> u32 {
        let likely = self.hint.or((mean > 0).then_some(mean));
        let limit = self.limit.unwrap_or(u32::MAX);
        match likely {
            Some(tokens) => tokens.min(limit),
            None => self.limit.unwrap_or(0),
        }
    }
}

impl OutputLoad {
    /// Adds a request with this number of expected output tokens.
    pub fn add(&mut self, tokens: u32) {
        self.requests = self.requests.saturating_add(1);
        self.tokens = self.tokens.saturating_add(u64::from(tokens));
    }

    /// Removes a request that was added with this number of tokens.
    pub fn remove(&mut self, tokens: u32) {
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(tokens));
    }

    /// Mean length of the answers of `load` requests, which include those counted here, as a multiple
    /// of `mean` tokens. The requests not counted here have the mean. None if the length is the mean or
    /// that is not known.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn relative_length(self, load: u32, mean: u32) -> Option<f64> {
        let usual = u64::from(self.requests) * u64::from(mean);
        if mean == 0 || self.tokens == usual {
            return None;
        }
        let others = u64::from(load.saturating_sub(self.requests)) * u64::from(mean);
        let all = others.saturating_add(self.tokens) as f64;
        Some(all / (others + usual) as f64)
    }
}
