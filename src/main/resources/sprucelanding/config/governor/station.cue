// What a governor is told at its start.

#Address: string

#Product: {
	name: string
	retry: "safe" | "once" // safe: may run twice; once: never
	sla: time & >0
	revenue: number & >0
	kinds?: [...string] // none: all
	zones?: [...string]
	homeOnly: bool | *false // only replicas of the proxy's own zone
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
		at: #Address // host:port
		largest: int & >=1024 & <=64000000 | *1048576 // bytes of a message from a proxy
	}
	netconf?: {
		at: #Address // where devices dial in (Call Home)
		key: string // file of the own private key, mode 600
		devices: string // file of pinned host keys, a line each: name, then the public key as OpenSSH writes it
		user: string | *"sprucelanding"
		largest: int & >=1024 & <=64000000 | *1048576 // bytes of a message from a device
		answers: time & >0 | *3s // until an operation counts as unanswered
		confirms: time & >=1s | *5s // until a device takes back a commit on trial
		locks: time & >0 | *10s // until a lock held by others is given up
		atOnce: int & >=1 | *32 // devices edited at a time; as many again for removals
	}
	roster: {
		at: #Address
		from?: string // own address to dial from
		pushed: bool | *true
		softRemoval: bool | *false // dropped from the list alone does not bind
		coldFrom: share & >0 & <=1 | *20%
		warmAfter: time & >=0 | *18s
		keep?: string // file for the last list
	}
	channel: {
		lines: rate & >0 | *3000/s
		head: number & >=0 | *6
		most: int & >=1 | *5000 // lines that may wait
		messages: int & >=0 | *0 // to one proxy within span; 0: no limit
		span: time & >0 | *10s
		leftBehind: time & >0 | *3s // unanswered, until a proxy counts as behind
		patience: time & >0 | *15s // unanswered, until its stream is cut
		grace: time & >0 | *4s // within which proxies must have stopped sending to what left
	}
	streams: {
		atOnce: int & >=1 | *64 // being laid at a time
		most: int & >=1 | *4096
		turn: time & >0 | *10s // waited for, until a stream is turned away
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
		file: string // what was told and ordered, for show and replay; written anew at each start
		most: int & >=1 & <=100000 | *2048 // MiB, past which it ends
		waits: int & >=2 | *64 // blocks of 64 KiB that may wait for the disk, before some are dropped
	}
	peers: { // the governors that share the fleet; without others it has the fleet alone
		number: int & >=0 & <=31 | *0 // its own among all, which are numbered from 0
		zone?: string // its own: proxies of others that have a governor of theirs are sent on first
		at?: #Address // where it hears the others, by datagrams
		others: [...#Peer]
		key?: string // file of the keys that all share, mode 600
		keep?: string // file for the highest epoch, which must outlive it
		lease: time & >=300 & <=10000 | *1500ms // for which a majority lets it write
		room: int & >=1 | *64 // proxies that it is made for
		hints: bool | *false // what others' proxies met is taken in all along
	}
}
