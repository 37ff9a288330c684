package scenario

// A fleet that a change is carried through: 24 dispatchers in three zones, four fifths of what its servers can do.
name:    "rollout"
about:   "24 dispatchers, an ordinary evening; for changes in stages"
seconds: 330

zones: {
	"daejeon-1": {dispatchers: 8, servers: 14, traffic: 0.40}
	"seoul-2":   {dispatchers: 8, servers: 12, traffic: 0.35}
	"busan-1":   {dispatchers: 8, servers: 9, traffic: 0.25}
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
arrivals: rate_per_s: 200
