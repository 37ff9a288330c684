// A change carried through the fleet: read by `heronstall rollout`. docs/rollout.md
#File: #Rollout

#Part: number & >=0 & <=1
#Tolerable: number & >=0

#Rollout: {
	name:    string & =~"^[A-Za-z0-9._-]+$"
	release: string                        // the new release's file, as the keepers' machines name it
	keepers: [string]: string & =~":[0-9]+$"  // each keeper's name and host:port
	journal: string                        // where every step is written before it is taken

	stages:    *[{dispatchers: 1}, {part: 0.25}, {part: 1}] | [...#Stage]
	before_s:  *60 | number & >=1          // the fleet's own time before, to compare with
	settle_s:  *5 | number & >=0           // after a change, until what it does counts
	watch_s:   *60 | number & >=1          // of each stage
	longest_s: *600 | number & >=1         // that a watch may wait for jobs enough; then it holds
	patience_s: *60 | number & >=0         // for a trouble to pass before all goes back
	away:      *1 | int & >=1              // of a zone, changing at once
	every_s:   *1 | number & >0            // between looks at the keepers
	least_jobs: *50 | int & >=1            // of each class, at new dispatchers, for a watch to count
	alpha:     *0.05 | number & >0 & <=0.5 // chance that a harmless change is stopped, over the whole rollout
	harm:      #Harm
}

#Stage: {dispatchers: int & >=1, watch_s?: number & >=1} | {part: #Part & >0, watch_s?: number & >=1}

// What is tolerable: a harm that is shown stops the rollout where it is larger.
#Harm: {
	worth:    *0.02 | #Tolerable           // worth served in time, as a part of what was asked for
	refused:  *0.02 | #Tolerable           // jobs of a class, as a part of it
	failed:   *0.01 | #Tolerable
	late:     *0.04 | #Tolerable
	latency:  *0.15 | #Tolerable           // median of a class, as a part of the old one's
	tail:     *0.30 | #Tolerable           // its 95th percentile
	attempts: *0.10 | #Tolerable           // a job
	connects: *0.50 | #Tolerable
	probes:   *0.50 | #Tolerable
	cpu:      *0.30 | #Tolerable
	memory:   *0.50 | #Tolerable
	leak_kb_s: *100 | #Tolerable
	loop:     *2 | #Tolerable              // the loop's delay, 99th percentile
	traffic:  *0.70 | #Part                // of its jobs that a changed dispatcher may lose
}
