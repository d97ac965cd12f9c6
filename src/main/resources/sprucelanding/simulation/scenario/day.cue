// A scripted day on loopback.

#Kind: {
	name: string
	cores: int & >=1
	speed: number & >0 // of a core, 1 being usual
	slots: int & >=1 // txns that run at a time
	room: int & >=0 // txns that wait
	part: share // of the replicas
}

#Product: {
	name: string
	part: share // of the txns
	work: time & >0 // mean, on a core of speed 1
	sla: time & >0
	expiry: time & >0
	revenue: number & >0
	retry: "safe" | "once"
	kinds?: [...string]
}

// What strikes, when, how long, which part of those it can strike, and how hard.
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
		devices: share | *0% // take NETCONF edits, the others speak xDS
		stateOfTheWorld: share | *25% // the others take changes
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
		shared: bool | *false // they share the fleet, and take over from one another
		lease: time & >=300 | *1500ms
		room: int & >=1 | *64
		hints: bool | *false
	}
	// Troubles drawn by the seed, one after the other, until a time.
	random?: {
		every: time & >=100
		from: time | *5s
		until: time
		lasts: time & >0 // half of it to one and a half
		what: [...string]
	}
	txns: rate & >0 // in all
	clients: {
		retries: int & >=0 | *2
		pause: time | *100ms
		tryShare: share & >0 | *80%
	}
	roster: {
		notices: time | *2s // until a death is listed
		adds: time | *500ms // until a start is listed
	}
	rules: {
		grace: time | *4s
		bare: time | *6s
		tip: number | *3
		fall: time | *2s
	}
	troubles: [...#Trouble]
}
