//! Admission settings, derived from the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::capacity::CapacitySettings;
use crate::config::{Class, Configuration, LatencyTarget};
use crate::ids::ClassId;

/// Inter-token latency target when no class has one.
const DEFAULT_TOKEN_GAP: Duration = Duration::from_millis(50);

/// First-token target of classes that have none.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_secs(2);

/// Latency targets and priority of a request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassSettings {
    /// Target for the time from the offer to the first token, or to the complete response of a call without tokens.
    /// Defaults to 2 s.
    pub first_token: Duration,
    /// Maximum time from the offer to the start. Defaults to 10 s.
    pub longest_wait: Duration,
    /// Priority inside a tier; 0 is the highest. Defaults to the lowest.
    pub priority: u8,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            first_token: DEFAULT_FIRST_TOKEN,
            longest_wait: Duration::from_secs(10),
            priority: u8::MAX,
        }
    }
}

/// Settings of [`Admission`](super::Admission).
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Share of the batch that is reserved for each tier, in thousandths, highest tier first. Its length is the number
    /// of tiers. Defaults to a single tier without a reserved share.
    pub reserved_permille: Vec<u32>,
    /// Classes by name; a class that is missing here has the default settings.
    pub classes: BTreeMap<ClassId, ClassSettings>,
    /// Inter-token latency target that bounds the batch size. Defaults to 50 ms.
    pub token_gap: Duration,
    /// Batch size assumed until the engine has been observed. Defaults to 16.
    pub prior_batch: u32,
    /// Maximum batch size of the engine. Defaults to 256.
    pub max_batch: u32,
    /// Maximum queue length of each tier. Defaults to 256.
    pub max_waiting: usize,
    /// Output length, in tokens, assumed until responses have been observed. Defaults to 200.
    pub prior_tokens: u32,
    /// Maximum number of output-length estimates per tier. Defaults to 512.
    pub estimate_keys: usize,
    /// Quantum of the deficit round robin: tokens by which one workspace may get ahead of another in the same tier.
    /// Defaults to 200.
    pub quantum_tokens: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            reserved_permille: vec![0],
            classes: BTreeMap::new(),
            token_gap: DEFAULT_TOKEN_GAP,
            prior_batch: 16,
            max_batch: 256,
            max_waiting: 256,
            prior_tokens: 200,
            estimate_keys: 512,
            quantum_tokens: 200,
        }
    }
}

impl AdmissionSettings {
    /// Derives the settings from a configuration. The inter-token latency target is the smallest of all classes.
    ///
    /// ```
    /// use tanagerford_core::admission::AdmissionSettings;
    /// use tanagerford_core::config::{Configuration, Tier};
    ///
    /// let tier = |name: &str, reserved_permille| Tier { name: name.to_owned(), weight: 1, reserved_permille };
    /// let configuration = Configuration {
    ///     generation: 1,
    ///     tiers: vec![tier("prompt", 0), tier("late", 50)],
    ///     classes: vec![],
    ///     workspaces: vec![],
    ///     models: vec![],
    ///     services: vec![],
    /// };
    /// let settings = AdmissionSettings::from_configuration(&configuration);
    /// assert_eq!(settings.reserved_permille, [0, 50]);
    /// ```
    #[must_use]
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let shares: Vec<u32> = configuration
            .tiers
            .iter()
            .map(|tier| tier.reserved_permille)
            .collect();
        let classes = configuration
            .classes
            .iter()
            .map(|class| (class.name.clone(), class_settings(class)))
            .collect();
        let tightest = configuration
            .classes
            .iter()
            .filter_map(class_token_gap)
            .min();
        Self {
            reserved_permille: if shares.is_empty() { vec![0] } else { shares },
            classes,
            token_gap: tightest.unwrap_or(DEFAULT_TOKEN_GAP),
            ..Self::default()
        }
    }

    /// Returns the number of tiers, which is at least 1.
    #[must_use]
    pub fn tiers(&self) -> usize {
        self.reserved_permille.len().max(1)
    }

    /// Returns the slots of a batch of `limit` that are reserved for a tier, whether or not it has requests.
    ///
    /// Every tier below the highest has at least one slot, so no tier starves. The highest tier needs no reservation,
    /// because lower tiers are preempted for it.
    pub(crate) fn reserved_slots(&self, tier: usize, limit: u32) -> u32 {
        let permille = self.reserved_permille.get(tier).copied().unwrap_or(0);
        let share = (u64::from(limit) * u64::from(permille)).div_ceil(1_000);
        let slots = u32::try_from(share).unwrap_or(u32::MAX).min(limit);
        if tier == 0 { slots } else { slots.max(1) }
    }

    /// Returns the slots of a batch of `limit` that are reserved for all tiers below `tier`.
    pub(crate) fn reserved_below(&self, tier: usize, limit: u32) -> u32 {
        (tier + 1..self.tiers())
            .map(|lower| self.reserved_slots(lower, limit))
            .sum()
    }

    pub(crate) fn class(&self, name: &str) -> ClassSettings {
        self.classes.get(name).copied().unwrap_or_default()
    }

    /// Returns the settings of the capacity estimate, which are the same for each tier.
    #[must_use]
    pub fn capacity(&self) -> CapacitySettings {
        let tiers = u32::try_from(self.tiers()).unwrap_or(u32::MAX);
        CapacitySettings {
            token_gap: self.token_gap,
            prior_batch: self.prior_batch,
            // Each tier has at least one slot.
            min_batch: tiers.min(self.max_batch),
            max_batch: self.max_batch,
        }
    }
}

fn class_settings(class: &Class) -> ClassSettings {
    let longest_wait = Duration::from_millis(class.longest_wait_ms);
    let first_token = match class.target {
        LatencyTarget::Tokens { first_token_ms, .. } => Duration::from_millis(first_token_ms),
        LatencyTarget::Call { total_ms } => Duration::from_millis(total_ms),
    };
    ClassSettings {
        first_token,
        longest_wait,
        priority: class.priority,
    }
}

fn class_token_gap(class: &Class) -> Option<Duration> {
    match class.target {
        LatencyTarget::Tokens { token_gap_ms, .. } => Some(Duration::from_millis(token_gap_ms)),
        LatencyTarget::Call { .. } => None,
    }
}
