//! Steps of the order log at which a fault may strike.

/// Declares the steps together with the list of all of them, so that no step can be missing from the list.
macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// A step that the order log passes, reported before the step is taken.
        ///
        /// The fault matrix enumerates [`OrderStep::ALL`] and injects every fault at every step.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum OrderStep {
            $($(#[$doc])* $name,)+
        }

        impl OrderStep {
            /// Every step.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];
        }
    };
}

steps! {
    /// An order is looked up in the shard.
    Lookup,
    /// The pages of a shard are read.
    LoadShard,
    /// A claim waits for the next write.
    QueueClaim,
    /// The changes of all shards are gathered into one transaction.
    Gather,
    /// The transaction is sent.
    SendWrite,
    /// The answer to the transaction has arrived.
    WriteAnswered,
    /// A page is read back after a lost answer.
    ReadBack,
    /// The result of the transaction is taken over.
    ApplyWrite,
    /// The gate is asked to start the order.
    StartOrder,
    /// The answer of the backend server is kept.
    KeepAnswer,
    /// A call that was not sent is given up.
    AbandonOrder,
    /// Another process asks about an order.
    AnswerQuery,
}
