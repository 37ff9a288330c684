package scenario

// The list service says nothing for a minute; all dispatchers begin anew meanwhile, and servers begin to drain after it is back.
name:    "list-service-dead"
about:   "a cold start while the list service says nothing for a minute"
seconds: 80

zones: {
	"a": {dispatchers: 6, servers: 6}
	"b": {dispatchers: 6, servers: 6}
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
troubles: [
	{kind: "discovery-silent", at_s: 4, for_s: 60},
	{kind: "dispatcher-crash", at_s: 5, for_s: 1, part: 1},
	{kind: "release", at_s: 68, for_s: 6, part: 0.3},
]
