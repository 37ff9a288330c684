// A scenario: a fleet, its traffic and its faults. Read by `heronstall model` and `heronstall lab`.
// A figure may be a range [low, high], from which each seed draws a value.
#Figure: number & >=0 | [number & >=0, number & >=0]
#Part:   number & >=0 & <=1

#File: #Scenario

#Scenario: {
	name:    string & =~"^[a-z0-9-]+$"
	about:   *"" | string
	seconds: *30 | number & >0 & <=3600     // duration of the arrivals
	warm_s:  *1 | number & >=0 & <=600      // warm-up; arrivals in it are answered but not counted

	zones: [string]: #Zone
	links: #Links
	kinds: [string]: #Kind
	discovery: #Discovery
	reports:   #Reports
	clients:   #Clients
	classes: [string]: #Class
	tenants: [string]: #Tenant
	arrivals: #Arrivals
	limits:   #Limits
	rules:    #Rules
	goal:     #Goal
	prices:   #Prices
	troubles: *[] | [...#Trouble]
	faults:   *[] | [...#Fault]      // faults of links and processes; on loopback only
}

#Zone: {
	dispatchers: int & >=0 & <=1000
	servers:     int & >=0 & <=10000
	traffic:     *1 | number & >=0       // its share of all traffic, as a weight
}

#Links: {
	within_ms:  *0.3 | #Figure           // one-way latency within a zone
	between_ms: *[10, 20] | #Figure      // one-way latency, drawn for each pair of zones
	jitter:     *0.1 | #Part             // mean of an exponential addition, as a fraction of the latency
}

#Kind: {
	share:        *1 | number & >0
	cores:        int & >=1 & <=256
	slots:        int & >=1 & <=1024
	speed:        *1 | #Figure           // speed of a core; work is given in ms at speed 1
	queue:        *20 | int & >=0 & <=100000
	crowding:     *0.03 | #Part          // efficiency lost for each job beyond the number of cores
	errors:       *0 | #Part             // fraction of jobs that end in an error
	handshake_ms: *0.5 | #Figure         // work to accept a new connection
	probe_ms:     *0.3 | #Figure         // work to answer a probe
	connections:  *512 | int & >=1
	connects_per_s: *0 | int & >=0       // new connections accepted in any second, others are closed at once; 0: unlimited
	idle_s:       *5 | number & >0       // longest time an idle connection is kept open
	cold_s:       *8.6 | number & >=0    // time from the start until the server is warm
	cold_from:    *0.31 | number & >0 & <=1
	drops:        *true | bool           // queued work of a disconnected client is dropped
	hands_back:   *true | bool           // a draining server returns jobs that have not started
}

#Discovery: {
	delay_s: *[0.5, 3] | #Figure         // from a change until it is published, drawn for each dispatcher
	blind_s: *20 | #Figure               // until it detects a machine that failed silently
	lists_per_s: *0 | number & >=0       // rate at which it serves lists, one after the other; 0: unlimited. On loopback only
	places:  *8 | int & >=1              // requests that may wait for a list; further ones are rejected
}

#Reports: {
	via:      *"answers" | "probe" | "none"
	every_ms: *[640, 1500] | #Figure
	noise:    *0.05 | #Part
	probes:   *true | bool
	notes:    *true | bool               // servers report starts and progress
	progress_s: *1 | number & >0
}

#Clients: {
	retries:    *2 | int & >=0 & <=10
	wait_s:     *[0.1, 0.4] | #Figure    // delay before the first retry; doubled for each further one
	honours:    *true | bool             // respects Retry-After
	front_s:    *2 | #Figure             // until the front end detects a dispatcher that crashed
	skew:       *0.6 | number & >=0 & <=4 // sigma of the dispatchers' shares of their zone's traffic
}

#Class: {
	share:      *1 | number & >0
	effect:     "safe" | "keyed" | "unsafe"
	group:      *"zone" | "all" | "cell"
	aim_ms:     number & >0
	stretch:    *2.5 | number & >=0      // this multiple of the job's work is added to aim_ms
	deadline_s: number & >0 & <=600
	worth:      *1 | number & >0
	priority:   *0 | int
	window_s:   *10 | number & >0        // window in which repeats of a keyed job are dropped
	work:       #Work
	hint:       *0.3 | number & >=0      // sigma of the error of the cost hints that clients send
}

#Work: {kind: "fixed", mean_ms: #Figure} |
	{kind: "lognormal", mean_ms: #Figure, sigma: *0.6 | number & >=0 & <=3} |
	{kind: "pareto", mean_ms: #Figure, alpha: *2.2 | number & >1, most: *20 | number & >1}

#Tenant: {
	share:   number & >0 & <=1           // fraction of the fleet's capacity
	traffic: *0 | number & >=0           // its share of the traffic; 0: equal to `share`
}

#Arrivals: {
	rate_per_s: number & >0
	bursts:     *1 | number & >0 & <=50  // coefficient of variation of the gaps; 1 is Poisson
	shape: *[] | [...#Shape]
}

#Shape: {kind: "wave", period_s: number & >0, size: #Part} |
	{kind: "surge", at_s: number & >=0, for_s: number & >0, times: number & >0, ramp_s: *1 | number & >=0}

#Limits: {
	attempts:          *5 | int & >=1 & <=20
	connect_ms:        *250 | number & >0
	keepalive_s:       *5 | number & >0
	retry_after_s:     *2 | number & >=0
	memory_mb:         *192 | int & >=24
	sockets:           *1024 | int & >=64
	tick_ms:           *5 | number & >0
}

#Rules: {
	drain_s:       *2 | number & >0
	fall_s:        *1 | number & >0
	fall_multiple: *3 | number & >0
	grace_ms:      *20 | number & >=0
	overshare:     *0.2 | #Part
}

#Goal: {
	whole:        *0.45 | #Part
	worst_window: *0.05 | #Part
	worst_class:  *0.40 | #Part
	worst_tenant: *0.10 | #Part
}

#Prices: {
	waste:     *0.17 | number & >=0
	cross:     *0.025 | number & >=0
	late_fail: *0.024 | number & >=0
	probe:     *0.002 | number & >=0
}

// The affected servers are a fraction, drawn by the seed, or those of a zone.
#Trouble: #Silent | #Vanish | #Kill | #Release | #ColdFleet | #Slow | #LateReports | #HeavyTail | #ZoneCut |
	#DispatcherCrash | #DispatcherRestart | #Resets | #Stale | #DiscoverySilent

#When: {at_s: number & >=0, for_s: number & >0}
#Where: {part: *0.15 | #Part, zone?: string}

#Silent:            {kind: "silent", at_s: #When.at_s, for_s: #When.for_s, part: #Where.part, zone?: string, stands: *true | bool}
#Vanish:            {kind: "vanish", at_s: #When.at_s, for_s: #When.for_s, part: #Where.part, zone?: string}
#Kill:              {kind: "kill", at_s: #When.at_s, for_s: #When.for_s, part: #Where.part, zone?: string}
#Release:           {kind: "release", at_s: #When.at_s, for_s: #When.for_s, part: #Where.part, zone?: string, back_s: *1 | number & >=0}
#ColdFleet:         {kind: "cold-fleet", at_s: #When.at_s}
#Slow:              {kind: "slow", at_s: #When.at_s, for_s: #When.for_s, part: *1 | #Part, zone?: string, times: number & >=1}
#LateReports:       {kind: "late-reports", at_s: #When.at_s, for_s: #When.for_s, add_s: number & >0}
#HeavyTail:         {kind: "heavy-tail", at_s: #When.at_s, for_s: #When.for_s, class: string, share: #Part, times: number & >=1}
#ZoneCut:           {kind: "zone-cut", at_s: #When.at_s, for_s: #When.for_s, zone: string}
#DispatcherCrash:   {kind: "dispatcher-crash", at_s: #When.at_s, for_s: #When.for_s, part: *0.34 | #Part}
#DispatcherRestart: {kind: "dispatcher-restart", at_s: #When.at_s, for_s: #When.for_s, part: *0.34 | #Part}
#Resets:            {kind: "resets", at_s: #When.at_s, for_s: #When.for_s, share: #Part}
#Stale:             {kind: "stale", at_s: #When.at_s, for_s: #When.for_s, after_s: number & >0}
#DiscoverySilent:   {kind: "discovery-silent", at_s: #When.at_s, for_s: #When.for_s}

// A fault of a link ("from>to", * matches any text: "controller>k0", "n1>s3", "n*>discovery", "clients>n2") or of a
// process ("n1", "k0", "controller"), at a time or when a message passes a link; docs/lab.md. The run fails if a fault
// never takes effect.
#Fault: {
	link?:    string & =~">"
	process?: string
	do: "delay" | "rate" | "silence" | "cut" | "refuse" | "reset" | "half-close" | "garble" | "loss" | "reorder" |
		"kill" | "stop" | "slow" | "full-tmp"
	way:      *"both" | "there" | "back"
	at_s?:    number & >=0
	when?:    #Passing
	for_s:    *0 | number & >=0          // 0: until the end of the run
	size:     *0 | number & >=0          // ms of delay, bytes per second, fraction of chunks, share of a core
	jitter_ms: *0 | number & >=0
}

#Passing: {
	link: string & =~">"
	way:  *"there" | "back"
	says: *"" | string                   // only messages that contain this text
	unit: *"messages" | "bytes"
	nth:  *1 | int & >=1
}
