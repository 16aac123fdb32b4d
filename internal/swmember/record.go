package swmember

import "time"

// Topics of records.
const (
	// TopicDocument announces the version of a platform object; the key is Kind/Name.
	TopicDocument = "Document"
	// TopicQuarantine spreads suspicion of a fingerprint; the key is the fingerprint.
	TopicQuarantine = "Quarantine"
	// TopicDraining spreads that a backend server takes no new work; the key is the server.
	TopicDraining = "Draining"
	// TopicSuccessor spreads which VM holds the keys of one that left; the key is the issuer's Name/Incarnation, the value
	// the successor's name.
	TopicSuccessor = "Successor"
)

// Record is one fact that gossip spreads to every VM. Of two records with the same topic and key the one with the
// higher version stands; of equal versions the one whose value is greater byte by byte.
type Record struct {
	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// Expires is how much longer the record stands; zero is for ever.
	Expires time.Duration
}
