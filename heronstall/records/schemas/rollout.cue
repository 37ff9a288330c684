// A staged rollout of a release through the fleet, read by `heronstall rollout`. docs/rollout.md
#File: #Rollout

#Part: number & >=0 & <=1
#Tolerable: number & >=0

#Rollout: {
	name:    string & =~"^[A-Za-z0-9._-]+$"
	release: string                        // path of the new release's file on the supervisors' machines
	keepers: [string]: string & =~":[0-9]+$"  // each supervisor's name and host:port
	journal: string                        // file to which every step is written before it is carried out

	stages:    *[{dispatchers: 1}, {part: 0.25}, {part: 1}] | [...#Stage]
	before_s:  *60 | number & >=1          // baseline measurement before the rollout
	settle_s:  *5 | number & >=0           // after a change, before measurements count
	watch_s:   *60 | number & >=1          // duration of each stage's watch
	longest_s: *600 | number & >=1         // longest time a watch waits for enough jobs; then the rollout is held
	patience_s: *60 | number & >=0         // time for a problem to pass before everything is rolled back
	away:      *1 | int & >=1              // dispatchers of a zone that change at the same time
	every_s:   *1 | number & >0            // interval between polls of the supervisors
	least_jobs: *50 | int & >=1            // per class on new dispatchers, required for a valid watch
	alpha:     *0.05 | number & >0 & <=0.5 // probability over the whole rollout that a harmless change is stopped
	harm:      #Harm
}

#Stage: {dispatchers: int & >=1, watch_s?: number & >=1} | {part: #Part & >0, watch_s?: number & >=1}

// Tolerated degradation; a larger one that is statistically significant stops the rollout.
#Harm: {
	worth:    *0.02 | #Tolerable           // worth served in time, as a fraction of the worth requested
	refused:  *0.02 | #Tolerable           // jobs of a class, as a fraction of the class
	failed:   *0.01 | #Tolerable
	late:     *0.04 | #Tolerable
	latency:  *0.15 | #Tolerable           // median of a class, relative to the old release
	tail:     *0.30 | #Tolerable           // 95th percentile of the latency
	attempts: *0.10 | #Tolerable           // per job
	connects: *0.50 | #Tolerable
	probes:   *0.50 | #Tolerable
	cpu:      *0.30 | #Tolerable
	memory:   *0.50 | #Tolerable
	leak_kb_s: *100 | #Tolerable
	loop:     *2 | #Tolerable              // event loop delay, 99th percentile
	traffic:  *0.70 | #Part                // fraction of its jobs that a changed dispatcher may lose
}
