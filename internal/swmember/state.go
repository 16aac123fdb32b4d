package swmember

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// stateBits is the number of bits of a member record's version that hold the state.
const stateBits = 2

// memberValue is the encoded value of a member record.
type memberValue struct {
	_ struct{} `cbor:",toarray"`

	Region     string
	DataCentre string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
}

// memberRecord encodes a member as a record. The record's version combines incarnation and state, in this order, so that
// Record.Supersedes also decides which of two statements about a member wins.
func memberRecord(member Member) Record {
	value, err := swpeer.Marshal(memberValue{
		Region:     member.Region,
		DataCentre: member.DataCentre,
		Peer:       member.Peer,
		Caller:     member.Caller,
	})
	if err != nil {
		panic(err)
	}
	record := Record{Topic: TopicMember, Key: member.Name, Version: memberVersion(member), Value: value}
	if member.State == Dead {
		record.Expires = deadRetention
	}
	return record
}

func memberVersion(member Member) uint64 {
	return member.Incarnation<<stateBits | uint64(member.State)
}

func decodeMember(record Record) (Member, error) {
	var value memberValue
	if err := swpeer.Unmarshal(record.Value, &value); err != nil {
		return Member{}, err
	}
	return Member{
		Name:        record.Key,
		Incarnation: record.Version >> stateBits,
		Region:      value.Region,
		DataCentre:  value.DataCentre,
		Peer:        value.Peer,
		Caller:      value.Caller,
		State:       State(record.Version & (1<<stateBits - 1)),
	}, nil
}

// receive merges records from a peer.
func (directory *Directory) receive(source string, records []Record) {
	if len(records) == 0 {
		return
	}
	directory.applyAccepted(directory.records.merge(source, records))
	directory.refuteFalseRecords()
}

// applyAccepted updates the members and the view with accepted records.
func (directory *Directory) applyAccepted(accepted []Record) {
	if directory.applyMemberRecords(accepted) {
		directory.rebuildView()
	}
}

// publishState publishes a new state of a member.
func (directory *Directory) publishState(member Member, state State) {
	member.State = state
	directory.applyAccepted(directory.records.merge("", []Record{memberRecord(member)}))
	directory.config.Log.Info().Str("Member", member.Name).Stringer("State", state).Msg("member changed state")
}

// applyMemberRecords updates the member table and reports whether it changed.
func (directory *Directory) applyMemberRecords(records []Record) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	changed := false
	for _, record := range records {
		if record.Topic != TopicMember {
			continue
		}
		member, err := decodeMember(record)
		if err != nil {
			directory.config.Log.Warn().Err(err).Str("Member", record.Key).Msg("malformed member record")
			continue
		}
		current, ok := directory.members[member.Name]
		if ok && memberVersion(current) > memberVersion(member) {
			continue
		}
		directory.members[member.Name] = member
		directory.updateSuspicion(member)
		changed = true
	}
	return changed
}

// updateSuspicion starts or ends the suspicion of a member whose record changed. The caller holds the mutex.
func (directory *Directory) updateSuspicion(member Member) {
	if recheck, ok := directory.unresponsive[member.Name]; ok {
		if recheck.incarnation != member.Incarnation || member.State == Dead {
			delete(directory.unresponsive, member.Name)
		}
	}
	if member.State != Suspect || member.DataCentre != directory.self.DataCentre {
		delete(directory.suspicions, member.Name)
		return
	}
	active, ok := directory.suspicions[member.Name]
	if ok && active.incarnation == member.Incarnation {
		return
	}
	directory.suspicions[member.Name] = suspicion{
		incarnation: member.Incarnation,
		deadline:    time.Now().Add(indirectSuspicionFactor * directory.config.SuspicionTimeout),
	}
}

// removeExpiredMembers removes the members whose records expired.
func (directory *Directory) removeExpiredMembers(expired []Record) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, record := range expired {
		if record.Topic != TopicMember {
			continue
		}
		if member, ok := directory.members[record.Key]; ok && memberVersion(member) == record.Version {
			delete(directory.members, record.Key)
		}
	}
}

// declareExpiredSuspectsDead declares the suspects dead that did not refute before their deadline.
func (directory *Directory) declareExpiredSuspectsDead(now time.Time) {
	directory.mutex.Lock()
	var dead []Member
	for name, suspicion := range directory.suspicions {
		if now.Before(suspicion.deadline) {
			continue
		}
		delete(directory.suspicions, name)
		member := directory.members[name]
		if member.Incarnation == suspicion.incarnation && member.State == Suspect {
			dead = append(dead, member)
		}
	}
	directory.mutex.Unlock()
	for _, member := range dead {
		directory.publishState(member, Dead)
	}
}

// refuteFalseRecords publishes this VM's own record with a higher incarnation when the stored record about it is wrong.
func (directory *Directory) refuteFalseRecords() {
	directory.mutex.Lock()
	stored, ok := directory.members[directory.self.Name]
	own := memberRecord(directory.self)
	accurate := memberVersion(stored) <= own.Version && sameAddress(stored, directory.self)
	if !ok || accurate || time.Since(directory.refutedAt) < minRefuteInterval {
		directory.mutex.Unlock()
		return
	}
	directory.self.Incarnation = max(directory.self.Incarnation, stored.Incarnation) + 1
	directory.refutedAt = time.Now()
	own = memberRecord(directory.self)
	directory.mutex.Unlock()
	directory.applyAccepted(directory.records.merge("", []Record{own}))
}

func sameAddress(a, b Member) bool {
	return a.Peer == b.Peer && a.Caller == b.Caller && a.DataCentre == b.DataCentre && a.Region == b.Region
}

// rebuildView publishes a new view of the member table, in which members that do not answer this VM are suspect.
func (directory *Directory) rebuildView() {
	directory.refreshMutex.Lock()
	defer directory.refreshMutex.Unlock()
	directory.mutex.Lock()
	members := make([]Member, 0, len(directory.members))
	for _, member := range directory.members {
		if _, ok := directory.unresponsive[member.Name]; ok && member.State == Alive {
			member.State = Suspect
		}
		members = append(members, member)
	}
	view := NewView(directory.self, members)
	directory.neighbours = chooseNeighbours(view, directory.self)
	directory.mutex.Unlock()
	directory.view.Store(view)
	directory.subscribersMutex.RLock()
	defer directory.subscribersMutex.RUnlock()
	for _, receive := range directory.subscribers {
		receive(view)
	}
}

// chooseNeighbours returns the members that this VM probes: those at distances 1, 2, 4, 8… on a ring ordered by the hash of
// names. Every member is thus probed by as many as it probes, each VM needs few connections, and a record that each member
// forwards to its neighbours reaches all n members in log2(n) steps.
func chooseNeighbours(view *View, self Member) []Member {
	type ringMember struct {
		member Member
		hash   uint64
	}
	members := view.Members(self.DataCentre)
	ringMembers := make([]ringMember, len(members))
	for i, member := range members {
		ringMembers[i] = ringMember{member: member, hash: xxhash.Sum64String(member.Name)}
	}
	slices.SortFunc(ringMembers, func(a, b ringMember) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	own := slices.IndexFunc(ringMembers, func(ringMember ringMember) bool { return ringMember.member.Name == self.Name })
	if own < 0 {
		return nil
	}
	neighbours := make([]Member, 0, bits.Len(uint(len(ringMembers))))
	for step := 1; step < len(ringMembers); step *= 2 {
		neighbours = append(neighbours, ringMembers[(own+step)%len(ringMembers)].member)
	}
	return neighbours
}
