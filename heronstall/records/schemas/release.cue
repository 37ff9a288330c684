// A release: what a dispatcher is started from. Its digest is of all that is named here. docs/rollout.md
#File: #Release

#Release: {
	name:     string & =~"^[A-Za-z0-9._-]+$"
	tree:     string                       // a checked-out tree
	python:   *".venv/bin/python" | string // within the tree, or a whole path
	run:      *["-B", "-m", "heronstall"] | [...string]
	parts:    *["heronstall", "requirements.txt"] | [...string]  // of the tree, that count
	settings: *"" | string                 // JSON: its keys replace those of each dispatcher's configuration
	operator: *"" | string                 // the operator's file, as .json or .cue
}
