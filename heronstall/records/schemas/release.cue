// A release: what a dispatcher is started from. Its digest covers everything named here. docs/rollout.md
#File: #Release

#Release: {
	name:     string & =~"^[A-Za-z0-9._-]+$"
	tree:     string                       // a checked-out tree
	python:   *".venv/bin/python" | string // relative to the tree, or an absolute path
	run:      *["-B", "-m", "heronstall"] | [...string]
	parts:    *["heronstall", "requirements.txt"] | [...string]  // parts of the tree that the digest covers
	settings: *"" | string                 // JSON file; its keys override those of each dispatcher's configuration
	operator: *"" | string                 // the operator's file, as .json or .cue
}
