//! Steps of the order log at which faults can be injected.

/// Declares the steps together with the list of all steps, so that the list is always complete.
macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// A step of the order log, reported before it is executed.
        ///
        /// The fault matrix enumerates [`OrderStep::ALL`] and injects every fault at every step.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum OrderStep {
            $($(#[$doc])* $name,)+
        }

        impl OrderStep {
            /// All steps, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];
        }
    };
}

steps! {
    /// An order is looked up in the shard.
    Lookup,
    /// The pages of a shard are read from the key-value service.
    LoadShard,
    /// A claim is queued for the next write.
    QueueClaim,
    /// The changes of all shards are collected into one transaction.
    Gather,
    /// The transaction is sent.
    SendWrite,
    /// The response to the transaction has arrived.
    WriteAnswered,
    /// A page is read back after the response to a transaction was lost.
    ReadBack,
    /// The result of the transaction is applied to the local state.
    ApplyWrite,
    /// The gate is asked to start the order.
    StartOrder,
    /// The response of the backend server is stored.
    KeepAnswer,
    /// A call that was not sent is abandoned.
    AbandonOrder,
    /// The response to a query of another process about an order is sent.
    AnswerQuery,
}
