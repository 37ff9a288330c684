package scenario

// All dispatchers are killed at one moment and come back a second later; half of the servers went meanwhile, so half of the list
// that each comes back with is stale, and the list service gives seven lists a second.
name:    "mass-crash"
about:   "100 dispatchers killed at once, back with half-stale lists before a list service of 7 lists a second"
seconds: 40

zones: {
	"east": {dispatchers: 50, servers: 20}
	"west": {dispatchers: 50, servers: 20}
}
kinds: m: {cores: 5, slots: 6, speed: [0.8, 1.1], queue: 20}
discovery: {delay_s: [0.2, 1], lists_per_s: 7, places: 8}
classes: {
	"keyed": {effect: "keyed", share: 0.5, aim_ms: 300, deadline_s: 4, worth: 2
		work: {kind: "lognormal", mean_ms: 180, sigma: 0.6}}
	"unsafe": {effect: "unsafe", share: 0.5, group: "all", aim_ms: 300, deadline_s: 4, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: 120, sigma: 0.5}}
}
arrivals: rate_per_s: 200
troubles: [
	{kind: "dispatcher-crash", at_s: 6, for_s: 1, part: 1},
	{kind: "kill", at_s: 6.2, for_s: 60, part: 0.5},
]
