package operator

// What the platform's JSON does not say. Everything here is a default; docs/settings.md explains each key.
// To use it: HERONSTALL_SETTINGS=deploy/operator.cue, or the JSON that `heronstall settings show --json` makes of it.
log: {
	format: "plain"
	level:  "info"
}
trace: dir: ""
figures: detail: false
peers: port:     0
snapshot: dir:   ""
