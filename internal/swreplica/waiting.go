package swreplica

// ConnectionsBusy reports whether as many attempts wait for one of this VM's connections to the replica as there may be connections. They wait
// in order of arrival, so an attempt whose order matters should not join them.
func (replica *Replica) ConnectionsBusy() bool {
	base := replica.baseLimit()
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.reserved >= replica.limit.current(base)
}
