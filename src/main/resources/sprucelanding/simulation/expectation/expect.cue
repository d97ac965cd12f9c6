// What staff expect of the routing, checked against the governor's own decisions without traffic.

// One thing that happens. One: a replica by its position, or a zone by its name; without it every one is tried.
#Event: {
	what: "dies" | "drains" | "returns" | "zoneLost" | "zoneReturns" | "busy" | "more" | "restarts"
	one?: string // of busy, returns and zoneReturns, if left out: those of the event before
	after: time & >=0 & <=60s | *2s // the event before, or the begin
	size: number & >0 | *1 // util for busy, times as much for more
}

#Expectation: {
	name: string
	events: [...#Event] // none: of the calm fleet
	product?: string // none: of each
	expect: "noTraffic" | "aLine" | "zonePart" | "follows" | "gentle" | "letIn"
	zone?: string // of zonePart; none: of each
	atMost: number & >=0 | share | *1000
	atLeast: number & >=0 | share | *0
	within: time & >=0 & <=60s | *4s // after the last event; from then on it must hold (gentle: until then)
	holds: time & >=500ms & <=60s | *6s
}

// Failures one after the other, that no expectation names: each sequence of so many is tried against all of calm.
#Search: {
	kinds: [...("dies" | "drains" | "zoneLost")]
	depth: int & >=1 & <=3 | *2
	apart: time & >=0 & <=60s | *4s
	most: int & >=1 & <=100000 | *2000 // sequences, drawn evenly if there are more
}

#Expectations: {
	name: string
	day: string // a script: its fleet, products and rules
	expectations: [...#Expectation]
	search?: #Search
}
