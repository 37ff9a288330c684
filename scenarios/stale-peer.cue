package scenario

// For dispatchers that talk (`lab run --talk`): one stands still for ten seconds, wakes with an old list, and is told better.
name:    "stale-peer"
about:   "a dispatcher stands still for ten seconds while servers drain; wants --talk"
seconds: 28

zones: {
	"a": {dispatchers: 3, servers: 4}
	"b": {dispatchers: 3, servers: 4}
}
kinds: m: {cores: 5, slots: 6, speed: [0.8, 1.1]}
discovery: {delay_s: [0.2, 1], lists_per_s: 7, places: 8}
classes: {
	"keyed": {effect: "keyed", share: 0.5, aim_ms: 300, deadline_s: 4, worth: 2
		work: {kind: "lognormal", mean_ms: 180, sigma: 0.6}}
	"unsafe": {effect: "unsafe", share: 0.5, group: "all", aim_ms: 300, deadline_s: 4, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: 120, sigma: 0.5}}
}
arrivals: rate_per_s: 60
troubles: [{kind: "release", at_s: 10, for_s: 6, part: 0.3}]
faults: [{process: "n1", do: "stop", at_s: 8, for_s: 10}]
