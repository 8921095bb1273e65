//! Tests of the values that the routing table derives from its routes.

use std::time::Duration;

use tanagerford_gateway::call::RetryPolicy;
use tanagerford_gateway::table::{CallerLimits, Route, RoutingTable, WeightedPool};

fn stream(name: &str, pool: &str, priority: u8, latency_ms: u64) -> Route {
    Route {
        name: name.to_owned(),
        host: "app.example".to_owned(),
        path_prefix: format!("/{name}/"),
        pools: vec![WeightedPool {
            pool: pool.to_owned(),
            weight: 1,
        }],
        retry_policy: RetryPolicy::AtMostOnce,
        is_stream: true,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(latency_ms),
        lower_ranks_latency: Duration::ZERO,
        priority,
        rank_count: 1,
        pause_limit: None,
        max_attempts: 1,
        is_public: true,
    }
}

/// Guards against a delay that refuses calls of a higher rank while it admits a lower one, and against limits that come
/// from higher ranks, other pools or plain services.
#[test]
fn latency_limit_of_a_route_covers_lower_ranks_of_its_pools() {
    let mut plain = stream("orders", "engines", 3, 9_000);
    plain.is_stream = false;
    let routes = [
        stream("answers", "engines", 0, 300),
        stream("drafts", "engines", 1, 600),
        stream("summaries", "engines", 2, 1_500),
        stream("elsewhere", "others", 2, 7_000),
        plain,
    ];
    let table = RoutingTable::new(1, routes, [], None, CallerLimits::default());
    let limit_ms = |name: &str| {
        let route = table.route("app.example", &format!("/{name}/x")).unwrap();
        route.lower_ranks_latency.as_millis()
    };
    let limits = ["answers", "drafts", "summaries", "elsewhere"].map(limit_ms);
    assert_eq!(limits, [1_500, 1_500, 1_500, 7_000]);
}
