package scenario

// A hundred dispatchers and a thousand servers in three zones; jobs twice as long as elsewhere.
name:    "large"
about:   "a hundred dispatchers, a thousand servers"
seconds: 60

zones: {
	"daejeon-1": {dispatchers: 40, servers: 440, traffic: 0.40}
	"seoul-2":   {dispatchers: 35, servers: 340, traffic: 0.35}
	"busan-1":   {dispatchers: 25, servers: 220, traffic: 0.25}
}
kinds: {
	"full-speed": {share: 0.46, cores: 5, slots: 6, speed: [0.85, 1.1]}
	"slow-node":  {share: 0.54, cores: 5, slots: 6, speed: [0.51, 0.69]}
}
classes: {
	"bill-sync": {
		share: 0.5, effect: "keyed", aim_ms: 250, deadline_s: 6, worth: 2
		work: {kind: "lognormal", mean_ms: [740, 1440], sigma: 0.6}
	}
	"pay-post": {
		share: 0.5, effect: "unsafe", group: "all", aim_ms: 250, deadline_s: 5, worth: 6, priority: 1
		work: {kind: "lognormal", mean_ms: [380, 720], sigma: 0.5}
	}
}
tenants: {
	"daehan-power":  share: 0.54
	"hangang-water": share: 0.31
	"seorin-gas":    share: 0.15
}
arrivals: rate_per_s: 2500
