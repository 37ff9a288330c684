// A supervisor: one per machine, runs its dispatchers. Read by `heronstall keep`. docs/rollout.md
#File: #Keeper

#Keeper: {
	name:    string & =~"^[A-Za-z0-9._-]+$"
	address: string & =~":[0-9]+$"         // its listen address
	state:   string                        // its own directory, on a persistent disk
	release: string                        // file of the release that dispatchers initially run
	yes_s:   *10 | number & >0             // limit for a started process to report at its admin endpoint that it is ready
	end_s:   *10 | number & >0             // limit for a process to exit after a stop request, before it is killed
	pause_s: *0.5 | number & >0            // delay before a restart after a crash; doubled with each further crash
	pause_most_s: *30 | number & >0
	loop_ends: *5 | int & >=2              // this number of exits within loop_s is a crash loop
	loop_s:  *60 | number & >0
	dispatchers: [string]: #Kept
}

#Kept: {
	config: string                         // the platform's JSON: NODE_CONFIG
	zone:   *"" | string
	tmp:    string                         // its $TMPDIR, preserved across replacements
	doors:  [string & =~":[0-9]+$", string & =~":[0-9]+$"]  // admin endpoint addresses of a process and of its successor
}
