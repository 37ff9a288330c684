// An experiment: constants of the decision module that are overridden in the simulation model only. The dispatcher
// never reads it.
#File: #Experiment

#Experiment: {
	name:   *"" | string
	decide: [string]: number
}
