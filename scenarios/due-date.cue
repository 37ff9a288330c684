package scenario

// The surge of a due date: for ten seconds nearly twice the usual traffic, more than the fleet can carry.
name:    "due-date"
about:   "the last evening before late fees: households pay at once"
seconds: 30

zones: {
	"daejeon-1": {dispatchers: 1, servers: 4, traffic: 0.40}
	"seoul-2":   {dispatchers: 1, servers: 3, traffic: 0.35}
	"busan-1":   {dispatchers: 1, servers: 2, traffic: 0.25}
}
kinds: {
	"full-speed": {share: 0.46, cores: 5, slots: 6, speed: [0.85, 1.1]}
	"slow-node":  {share: 0.54, cores: 5, slots: 6, speed: [0.51, 0.69]}
}
classes: {
	"bill-sync": {
		share: 0.5, effect: "keyed", aim_ms: 250, deadline_s: 6, worth: 2
		work: {kind: "lognormal", mean_ms: [370, 720], sigma: 0.6}
	}
	"pay-post": {
		share: 0.5, effect: "unsafe", group: "all", aim_ms: 250, deadline_s: 5, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: [190, 360], sigma: 0.5}
	}
}
tenants: {
	"daehan-power":  share: 0.54
	"hangang-water": share: 0.31
	"seorin-gas":    share: 0.15
}
arrivals: rate_per_s: 50
arrivals: shape: [{kind: "surge", at_s: 10, for_s: 10, times: 1.8, ramp_s: 2}]
