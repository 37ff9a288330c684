// The operator's file: settings that the platform's JSON does not contain. Every setting has a default; optional
// features are off by default.
#File: #Operator

#Operator: {
	log:   #Log
	trace: #TraceFiles
	figures: #Figures
	peers: #Peers
	snapshot: #Snapshot
	takeover: #Takeover
}

#Log: {
	format: *"plain" | "logfmt" | "json"
	level:  *"info" | "debug" | "warning" | "error"
}

// Recordings of the decision module's inputs and outputs on disk, if the installation has one. docs/trace-format.md
#TraceFiles: {
	dir:      *"" | string               // directory; empty: no trace
	rotate_s: *3600 | number & >=1       // seconds that one file covers
	keep:     *24 | int & >=1            // number of files retained per dispatcher
}

// Communication between dispatchers, if the installation allows it; a closed network is assumed. docs/peers.md
#Peers: {
	port:      *0 | int & >=0 & <=65534  // UDP and TCP port, or the next one if it is taken; 0: no communication
	host:      *"" | string              // listen address for peers; empty: the address on which clients are accepted
	advertise: *"" | string              // "host:port" at which peers reach it, if that differs from its listen address
	join:      *[] | [...string]         // "host:port" of some peers, contacted at the start
	cluster:   *"" | string              // cluster name; messages with another name are ignored
	endpoints: *"own" | "same"           // whether discovery gives all dispatchers the same server addresses
	learn:     *true | bool              // whether a new process requests the server observations of running ones
}

// Jobs that survive the loss of their dispatcher; requires peers. docs/takeover.md
#Takeover: {
	witnesses: *[] | [...[...string]]    // 3, 5 or 7 groups of dispatcher names, separated by zone or machine; equal in all files
	classes:   *[] | [...string]         // protected classes; empty: all
	identity:  *"Idempotency-Key" | string // the header that identifies the job of a request
	wait_ms:   *100 | number & >=1        // wait for a majority of the witnesses before a job is served unprotected
	pace:      *200 | number & >=1       // takeovers per second of one dispatcher
	room_mb:   *16 | number & >=1        // memory for the jobs of other dispatchers
	body_kb:   *16 | number & >=0        // a job with a larger body is not protected
}

// The server list, stored on disk for the next start, if the installation has one. docs/settings.md
#Snapshot: {
	dir:    *"" | string                 // directory; empty: no snapshot
	most_h: *24 | number & >0            // an older snapshot is ignored
}

// Detailed metrics that a rollout compares, served by the admin endpoint (DETAIL). docs/rollout.md
#Figures: {
	detail: *false | bool                // requires the extra `figures`
}
