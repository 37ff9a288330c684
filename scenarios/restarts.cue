package scenario

// Dispatchers come and go: one is killed outright, later one is restarted as planned.
name:    "restarts"
about:   "dispatchers crash and are restarted as planned"
seconds: 30

zones: {
	"daejeon-1": {dispatchers: 2, servers: 4, traffic: 0.40}
	"seoul-2":   {dispatchers: 2, servers: 3, traffic: 0.35}
	"busan-1":   {dispatchers: 2, servers: 2, traffic: 0.25}
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
troubles: [
	{kind: "dispatcher-crash", at_s: 6, for_s: 4, part: 0.34},
	{kind: "dispatcher-restart", at_s: 16, for_s: 3, part: 0.34},
]
