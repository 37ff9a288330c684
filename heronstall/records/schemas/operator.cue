// The operator's own file: what the platform's JSON does not say. Everything has a default; all that is new is off.
#File: #Operator

#Operator: {
	log:   #Log
	trace: #TraceFiles
	figures: #Figures
}

#Log: {
	format: *"plain" | "logfmt" | "json"
	level:  *"info" | "debug" | "warning" | "error"
}

// What the decisions were told and said, on disk; for installations with one. docs/trace-format.md
#TraceFiles: {
	dir:      *"" | string               // a folder; empty: no trace
	rotate_s: *3600 | number & >=1       // seconds that one file covers
	keep:     *24 | int & >=1            // files kept of one dispatcher
}

// What a change of the program is judged by, told at the door (DETAIL). docs/rollout.md
#Figures: {
	detail: *false | bool                // wants the extra `figures`
}
