// Experiments in virtual time: days x settings x seeds.

#Setting: {
	name: string
	with?: string // a file of records laid over each governor's station
	policy: "GOVERNORS" | "EVEN" | "HANDS_OFF" | "INVERSE" | "SEEING" | *"GOVERNORS"
}

// Looks for the troubles on which a setting loses most against another.
#Search: {
	setting: string
	against: string
	tries: int & >=1 & <=100000 | *60
	troubles: int & >=1 & <=20 | *5 // in each day drawn
	kinds: [...string] // what may be drawn
	part: share & >0 & <=1 | *40% // at most
	size: number & >=0 | *4 // at most
	lasts: time & >=1s | *20s // at most
}

#Experiment: {
	name: string
	days: [...string] // scripts, by files
	settings: [...#Setting] // the others are compared with the first
	seeds: [...int]
	seconds: time & >=0 | *0s // of each day; 0s: all of it
	search?: #Search
}
