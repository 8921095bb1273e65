//! Load of streams that the tests of several disturbances share.

use serde_json::{Value, json};

/// Positions of the classes in the load.
pub const DRAFT: usize = 0;
pub const CHAT: usize = 2;

/// Returns a load like that of dalisay-advent: 12 engines and 12 entries in 3 zones, 74 streams a second.
pub fn stream_load(disturbances: &Value) -> Value {
    let mut load: Value = serde_json::from_str(include_str!("../../loads/small.json")).unwrap();
    load["length_s"] = json!(24);
    load["zones"] = json!(3);
    load["entries_per_zone"] = json!(4);
    load["engines"]["per_zone"] = json!(4);
    let chat = json!({
        "name": "chat", "rate_per_s": 37, "objective_ms": 300, "deadline_ms": 12000, "worth": 3.5, "late_worth": 0.5,
        "rank": 0, "retries": 1, "max_attempts": 2, "body_bytes": 2000,
        "stream": {
            "pause_ms": 200, "may_resume": true,
            "parts": [{ "variants": 10, "tokens": { "mean": 200, "spread": 0.4, "max": 600 } }],
            "own_tokens": { "mean": 630, "spread": 0.8, "max": 4000 },
            "events": { "mean": 49, "spread": 0.8, "max": 200 }
        }
    });
    load["classes"][0]["rate_per_s"] = json!(37);
    load["classes"].as_array_mut().unwrap().push(chat);
    load["disturbances"] = disturbances.clone();
    load
}
