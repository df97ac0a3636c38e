//! The table of a service: who plans, and who owns which keys.

record! {
    /// A life of an endpoint.
    pub struct Owner {
        /// Endpoint.
        pub endpoint: Box<str>,
        /// Start of its process.
        pub born: u64,
    }

    /// The VM that plans.
    #[derive(PartialOrd, Ord)]
    pub struct Claim {
        /// Name.
        pub node: Box<str>,
        /// Run of its process.
        pub run: u64,
    }

    /// Neighbouring keys with one owner.
    pub struct Range {
        /// First key.
        pub from: u16,
        /// Last key.
        pub to: u16,
        /// Owner, if there is one.
        pub owner: Option<Owner>,
        /// Owner before, as long as it may hold the keys.
        pub previous: Option<Owner>,
        /// Fencing token.
        pub fence: u64,
    }

    /// Owners of all keys of a service.
    pub struct Table {
        /// Service.
        pub service: Box<str>,
        /// Who plans.
        pub claim: Claim,
        /// Planners before that may still grant keys to endpoints that only they reach.
        #[serde(default)]
        pub earlier: Vec<Claim>,
        /// Highest fencing token given out.
        pub last_fence: u64,
        /// Ranges, sorted; they cover all keys.
        pub ranges: Vec<Range>,
    }
}

impl Table {
    /// Returns the table with which `claim` becomes the planner.
    ///
    /// Every owner keeps its keys under a higher fencing token. `is_gone` tells
    /// whether the run of a claim has ended for certain.
    pub fn claimed(
        old: Option<&Self>,
        service: &str,
        claim: Claim,
        is_gone: &dyn Fn(&Claim) -> bool,
    ) -> Self {
        let Some(old) = old else {
            return Self {
                service: service.into(),
                claim,
                earlier: Vec::new(),
                last_fence: 0,
                ranges: vec![Range {
                    from: 0,
                    to: u16::MAX,
                    owner: None,
                    previous: None,
                    fence: 0,
                }],
            };
        };
        let mut table = old.clone();
        table.earlier.push(old.claim.clone());
        table
            .earlier
            .retain(|earlier| *earlier != claim && !is_gone(earlier));
        table.earlier.sort();
        table.earlier.dedup();
        table.claim = claim;
        table.last_fence += 1;
        for range in &mut table.ranges {
            range.fence = table.last_fence;
        }
        table
    }

    /// Returns the range of a key.
    pub fn range(&self, key: u16) -> Option<&Range> {
        let place = self.ranges.partition_point(|range| range.to < key);
        self.ranges.get(place).filter(|range| range.from <= key)
    }
}
