package scenario

// All dispatchers die and come back at one moment, before servers that take few new connections a second.
name:    "cold-start"
about:   "12 dispatchers begin at one moment, servers that take 20 connections a second"
seconds: 24

zones: {
	"a": {dispatchers: 6, servers: 6}
	"b": {dispatchers: 6, servers: 6}
}
kinds: m: {cores: 5, slots: 6, speed: [0.8, 1.1], connects_per_s: 20}
discovery: {delay_s: [0.2, 1], lists_per_s: 7, places: 8}
classes: {
	"keyed": {effect: "keyed", share: 0.5, aim_ms: 300, deadline_s: 4, worth: 2
		work: {kind: "lognormal", mean_ms: 180, sigma: 0.6}}
	"unsafe": {effect: "unsafe", share: 0.5, group: "all", aim_ms: 300, deadline_s: 4, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: 120, sigma: 0.5}}
}
arrivals: rate_per_s: 80
troubles: [{kind: "dispatcher-crash", at_s: 5, for_s: 1, part: 1}]
