package scenario

// As cold-start, before a list service that gives one list a second.
name:    "list-service-slow"
about:   "a cold start before a list service of one list a second"
seconds: 30

zones: {
	"a": {dispatchers: 6, servers: 6}
	"b": {dispatchers: 6, servers: 6}
}
kinds: m: {cores: 5, slots: 6, speed: [0.8, 1.1]}
discovery: {delay_s: [0.2, 1], lists_per_s: 1, places: 8}
classes: {
	"keyed": {effect: "keyed", share: 0.5, aim_ms: 300, deadline_s: 4, worth: 2
		work: {kind: "lognormal", mean_ms: 180, sigma: 0.6}}
	"unsafe": {effect: "unsafe", share: 0.5, group: "all", aim_ms: 300, deadline_s: 4, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: 120, sigma: 0.5}}
}
arrivals: rate_per_s: 80
troubles: [{kind: "dispatcher-crash", at_s: 5, for_s: 1, part: 1}]
