//! The configuration that controllers are started with, in the format of the deployment.

use rand::Rng;
use serde_json::json;

use super::{seconds_to_nanos, Endpoint, World};

impl World {
    /// Returns the content of the configuration file for a controller that starts now.
    pub(super) fn configuration(&mut self, controller: usize) -> String {
        let initial_entries = self.initial_entries(controller);
        let listen = (self.addresses)(controller, Endpoint::Callers);
        let journal = (self.addresses)(controller, Endpoint::Journal);
        let seed: u64 = self.rng.random();
        let script = &self.script;
        let grades = script.classes.iter().map(|c| {
            json!({"name": c.name, "aim": seconds_to_nanos(c.aim.0), "deadline": seconds_to_nanos(c.deadline.0),
                   "worth": c.worth.0, "late-worth": c.late_worth.0, "idempotency": "safe",
                   "dedup-scope": "all", "key-ttl": 5_000_000_000u64, "streaming": true})
        });
        let grades: Vec<_> = grades.collect();
        let (processor, tick) = (&script.processor, seconds_to_nanos(script.controllers.tick.0));
        let holds: Vec<_> = script.classes.iter().map(|c| seconds_to_nanos(c.hold.0)).collect();
        let widths: Vec<_> = script.classes.iter().map(|c| c.width).collect();
        json!({
            "name": format!("n{controller}"), "listen": listen, "seed": format!("{seed:016x}"),
            "journal": journal, "known": initial_entries,
            "limits": {"cores": 1.0, "memory_mb": script.controllers.memory_mb,
                "sockets": script.controllers.sockets},
            "settings": {
                "az": script.regions[script.region(controller)], "dcs": script.regions, "tick": tick,
                "instances": script.nodes, "my-number": controller, "family": "trunks", "counted-by": "request",
                "clients": {"marks-retry": false}, "registry-mode": "pushed", "kinds": ["std-1"],
                "family-info": {"shape": "meshed", "home-no": controller, "release": 300_000_000,
                    "resend": seconds_to_nanos(processor.repeat_after.0), "circuits-by-class": widths,
                    "mean-hold": holds,
                    "class-cells": [], "far-reports": "none", "route-advice": script.advice.given,
                    "tells-wait": false},
                "grades": grades,
                "permissions": {"attempts-cap": script.controllers.attempts, "cancel": true, "may-probe": false,
                    "may-duplicate": false, "peer-messages": false, "connect-timeout": 500_000_000,
                    "idle-close": 4_000_000_000u64, "max-open": 20_000, "multiplex": 1000,
                    "retry-after": script.controllers.longest_advice.0 > 0.0,
                    "max-retry-after": seconds_to_nanos(script.controllers.longest_advice.0), "cpu-us-per-s": 300_000},
                "charges": {"late-fail": 0.08, "waste": 0.02, "probe": 0.0},
                "goal": {"whole": 0.6, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.1},
                "report": {"fields": ["spare", "total"], "how": "none"},
                "rules": {"answer-slack": 20_000_000, "ask-within": 0, "cold": seconds_to_nanos(processor.cold_for.0),
                    "cold-from": processor.cold_from.0, "drain-grace": 500_000_000, "overload-factor": processor.falls_past.0,
                    "overload-for": seconds_to_nanos(processor.falls_within.0)},
                "weights": "none", "tier": 0, "tiers": ["results-exchange"], "realms": []
            }
        })
        .to_string()
    }
}
