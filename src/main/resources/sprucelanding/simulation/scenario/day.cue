// A scenario: a fleet on the loopback interface, its clients, and the faults that are injected into it.

#Kind: {
	name: string
	cores: int & >=1
	speed: number & >0 // speed of a core; 1 is the usual speed
	slots: int & >=1 // requests that run at a time
	room: int & >=0 // requests that may wait
	part: share // share of the endpoints
}

#Product: {
	name: string
	part: share // share of the requests
	work: time & >0 // mean work of a request on a core of speed 1
	sla: time & >0
	expiry: time & >0
	revenue: number & >0
	retry: "safe" | "once"
	kinds?: [...string]
}

// A fault: its time, its duration, its kind, the share of the possible targets that it affects, and its severity.
#Trouble: {
	at: time & >=0
	lasts: time & >=0 | *0s
	what: "crash" | "hang" | "slow" | "errors" | "pauses" | "neighbour" | "flapping" | "ageing" | "connections" |
		"oneSided" | "wrongList" | "lateList" | "listGone" | "zoneCut" | "zoneLoss" | "burst" | "shrink" |
		"proxyCrash" | "governorCrash" | "governorPause" | "governorStall" | "governorStop" | "governorCut" |
		"peersCut" | "peersLose" | "alone" |
		"lockHeld" | "mute" | "drift" | "midUpdate" | "lateAck" | "reject" | "readsNothing"
	part: share & >0 & <=1 | *10%
	size: number & >=0 | *1
	zone?: string
}

#Day: {
	name: string
	seed: int | *1
	lasts: time & >=1s
	zones: [...string]
	kinds: [...#Kind]
	products: [...#Product]
	replicas: {
		count: int & >=1 & <=200
		coldFrom: share & >0 | *20%
		warmAfter: time & >0 | *12s
		connections: int & >=1 | *400
	}
	proxies: {
		count: int & >=1 & <=4000
		standing: int & >=1 | *6
		devices: share | *0% // share that takes NETCONF edits; the others use xDS
		stateOfTheWorld: share | *25% // share that uses the state-of-the-world variant of xDS; the others use the delta variant
		pick: "weighted" | "round" | "two" | *"two"
		ejectsAfter: int & >=0 | *5
		ejectsFor: time | *4s
	}
	governors: {
		count: int & >=0 & <=32
		lines: rate & >0 | *6000/s
		head: number | *6
		most: int | *9000
		messages: int | *0
		span: time | *10s
		shared: bool | *false // true: the governors share the fleet and take over proxies from each other
		lease: time & >=300 | *1500ms
		room: int & >=1 | *64
		hints: bool | *false
	}
	// Faults that the seed draws, one after the other, until a given time.
	random?: {
		every: time & >=100
		from: time | *5s
		until: time
		lasts: time & >0 // mean duration; each one is drawn between half and one and a half times this value
		what: [...string]
	}
	txns: rate & >0 // requests per second of all clients together
	clients: {
		retries: int & >=0 | *2
		pause: time | *100ms
		tryShare: share & >0 | *80%
	}
	roster: {
		notices: time | *2s // time until the end of an endpoint appears in the list
		adds: time | *500ms // time until the start of an endpoint appears in the list
	}
	rules: {
		grace: time | *4s
		bare: time | *6s
		tip: number | *3
		fall: time | *2s
	}
	troubles: [...#Trouble]
}
