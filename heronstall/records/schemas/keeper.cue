// A keeper: one a machine, which runs its dispatchers. Read by `heronstall keep`. docs/rollout.md
#File: #Keeper

#Keeper: {
	name:    string & =~"^[A-Za-z0-9._-]+$"
	address: string & =~":[0-9]+$"         // where it is called
	state:   string                        // a folder of its own, on a disk that lasts
	release: string                        // the file of the release that a dispatcher starts with at first
	yes_s:   *10 | number & >0             // for a started process to say yes at its door
	end_s:   *10 | number & >0             // for one told to end, until it is killed
	pause_s: *0.5 | number & >0            // before a start after a crash; doubled with each further one
	pause_most_s: *30 | number & >0
	loop_ends: *5 | int & >=2              // so many ends within loop_s are a loop of crashes
	loop_s:  *60 | number & >0
	dispatchers: [string]: #Kept
}

#Kept: {
	config: string                         // the platform's JSON: NODE_CONFIG
	zone:   *"" | string
	tmp:    string                         // its $TMPDIR, kept across replacements
	doors:  [string & =~":[0-9]+$", string & =~":[0-9]+$"]  // operators' addresses, for a process and the next
}
