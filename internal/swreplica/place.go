package swreplica

// Region returns the region in which the replica stands; empty for a data centre that the settings do not name.
func (replica *Replica) Region() string {
	return replica.entry.Load().Region
}

// DataCentre returns the data centre in which the replica stands.
func (replica *Replica) DataCentre() string {
	return replica.entry.Load().DataCentre
}
