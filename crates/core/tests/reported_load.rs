//! Tests of the load that servers report.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_core::dispatch::{CostSettings, Demand, Pool, ReportedLoad, ServerSpec};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(57), ..ProptestConfig::default() })]

    /// Guards against a sum of reported figures that overflows, and against a cost that is no number.
    #[test]
    fn any_report_leaves_a_finite_cost(running in any::<u32>(), waiting in any::<u32>(), slots in any::<u32>(), pace in any::<u32>()) {
        let now = Duration::from_secs(1);
        let mut pool = Pool::new("zone-a", CostSettings::default());
        pool.set_servers(&[ServerSpec { id: "a".into(), zone: "zone-a".into(), slots: 4, memory_tokens: 0 }]);
        let load = ReportedLoad { running, waiting, slots: Some(slots), pace_percent: Some(pace) };
        pool.on_load(now, "a", load);
        let choice = pool.choose(now, &Demand::default(), &[]).unwrap();
        prop_assert!(choice.cost_ms.is_finite());
    }
}
