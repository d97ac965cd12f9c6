#Room: {
	beds: int & >=1 & <=9
	full: share | *90%
}

#Inn: {
	name: string
	opens: time & >0
	rooms: [...#Room]
	mood: "calm" | "loud" | *"calm"
	keeper: {
		name: string
		strict: bool | *false
	}
}
