// The operator's own file: what the platform's JSON does not say. Everything has a default; all that is new is off.
#File: #Operator

#Operator: {
	log: #Log
}

#Log: {
	format: *"plain" | "logfmt" | "json"
	level:  *"info" | "debug" | "warning" | "error"
}
