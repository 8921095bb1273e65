//! Duties that one entry performs for all.
//!
//! The platform wants some calls from one entry at a time, for example the report of the usage of each window of true time.
//! [`Holding`] decides who that is: a record in the key-value service names the holder and its fencing number, and a lease
//! ends its right when it falls silent. [`UsageBook`] and [`UsageSender`] count the calls that servers began, and
//! [`TrueTime`] assigns them to windows although clocks jump.

mod holding;
mod record;
mod true_time;
mod usage;
pub mod wire;

pub use holding::{
    CommitResult, Holding, HoldingCall, HoldingEvent, HoldingSettings, LeaseId, RecordRead,
    RecordState, RecordWrite, Revision,
};
pub use record::{DutyRecord, UsageReport, fencing_number};
pub use true_time::TrueTime;
pub use usage::{Counts, UsageBook, UsageItem, UsageSender, WorkspaceHash, workspace_hash};

use std::time::Duration;

/// Number that increases whenever the holder of a duty changes; the platform refuses calls with a lower one.
pub type FencingNumber = u64;
/// Number of a window of true time, counted from the Unix epoch.
pub type WindowId = u64;
/// Random number of a start of a process.
pub type BootId = u64;

/// Windows of true time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// Length of a window.
    pub length: Duration,
    /// Time after the end of a window at which its report is due.
    pub late_after: Duration,
}

impl Windows {
    /// Returns the window of a time since the Unix epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::duty::Windows;
    ///
    /// let windows = Windows { length: Duration::from_secs(5), late_after: Duration::from_secs(10) };
    /// assert_eq!(windows.at(Duration::from_millis(14_999)), 2);
    /// assert_eq!(windows.end(2), Duration::from_secs(15));
    /// ```
    #[must_use]
    pub fn at(&self, time: Duration) -> WindowId {
        let window = time.as_millis() / self.length.as_millis().max(1);
        WindowId::try_from(window).unwrap_or(WindowId::MAX)
    }

    /// Returns the end of a window as time since the Unix epoch.
    #[must_use]
    pub fn end(&self, window: WindowId) -> Duration {
        let length_ms = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(window.saturating_add(1).saturating_mul(length_ms))
    }

    /// Returns whether a report of this window would be late.
    #[must_use]
    pub fn is_late(&self, window: WindowId, time: Duration) -> bool {
        time > self.end(window) + self.late_after
    }
}
