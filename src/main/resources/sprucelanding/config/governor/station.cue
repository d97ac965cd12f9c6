// The configuration that a governor reads at its start.

#Address: string

#Product: {
	name: string
	retry: "safe" | "once" // safe: a request may run twice; once: a request never runs twice
	sla: time & >0
	revenue: number & >0
	kinds?: [...string] // endpoint types that can serve the class; not given: all
	zones?: [...string]
	homeOnly: bool | *false // true: only endpoints in the proxy's own zone serve the class
}

#Peer: {
	number: int & >=0 & <=31
	at: #Address
}

#Station: {
	name: string
	seed: int | *1
	zones: [...string]
	kinds: [...string]
	products: [...#Product]
	admits: "share" | "rate" | *"share"

	xds: {
		at: #Address // listening address, host:port
		largest: int & >=1024 & <=64000000 | *1048576 // limit of a message from a proxy, in bytes
	}
	netconf?: {
		at: #Address // address that devices connect to (Call Home)
		key: string // file with the governor's private key; file mode 600
		devices: string // file with the pinned host keys; each line has a device name and its public key in OpenSSH format
		user: string | *"sprucelanding"
		largest: int & >=1024 & <=64000000 | *1048576 // limit of a message from a device, in bytes
		answers: time & >0 | *3s // time after which an operation counts as unanswered
		confirms: time & >=1s | *5s // time after which a device reverts an unconfirmed commit
		locks: time & >0 | *10s // time after which the governor stops waiting for a lock that another session holds
		atOnce: int & >=1 | *32 // devices edited at a time; the same number of devices may be edited in addition for removals
	}
	roster: {
		at: #Address
		from?: string // local address to connect from
		pushed: bool | *true
		softRemoval: bool | *false // true: an endpoint stays in use while it responds, even if it is missing from the list
		coldFrom: share & >0 & <=1 | *20%
		warmAfter: time & >=0 | *18s
		keep?: string // file that stores the last endpoint list
	}
	channel: {
		lines: rate & >0 | *3000/s
		head: number & >=0 | *6
		most: int & >=1 | *5000 // table entries that may wait to be sent
		messages: int & >=0 | *0 // limit of messages to one proxy within span; 0: no limit
		span: time & >0 | *10s
		leftBehind: time & >0 | *3s // time without an answer after which a proxy counts as behind
		patience: time & >0 | *15s // time without an answer after which the stream of the proxy is closed
		grace: time & >0 | *4s // time within which proxies must have stopped sending to a removed endpoint
	}
	streams: {
		atOnce: int & >=1 | *64 // streams that receive their first resources at a time
		most: int & >=1 | *4096
		turn: time & >0 | *10s // time that a stream waits for its first resources before it is rejected
	}
	reports: {
		every: time & >=50 | *1s
		lines: rate & >0 | *1500/s
	}
	probes: {
		allowed: bool | *true
		timeout: time & >0 | *400ms
	}
	capture?: {
		file: string // capture of inputs and orders for show and replay; each start begins a new capture
		most: int & >=1 & <=100000 | *2048 // size in MiB beyond which the capture ends
		waits: int & >=2 | *64 // blocks of 64 KiB that may wait for the disk; further blocks are dropped
	}
	peers: { // the governors that share the fleet; a governor without others controls the whole fleet
		number: int & >=0 & <=31 | *0 // number of this governor; the governors are numbered from 0
		zone?: string // zone of this governor; proxies of another zone that has a governor are the first to be redirected
		at?: #Address // address that receives the datagrams of the other governors
		others: [...#Peer]
		key?: string // file with the keys that all governors share; file mode 600
		keep?: string // file that stores the highest epoch; the file must outlive the process
		lease: time & >=300 & <=10000 | *1500ms // time for which a majority allows the governor to write
		room: int & >=1 | *64 // number of proxies that this governor has capacity for
		hints: bool | *false // true: evidence from the proxies of other governors is used all the time
	}
}
