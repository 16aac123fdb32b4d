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

// memberValue is the value of a member record.
type memberValue struct {
	_ struct{} `cbor:",toarray"`

	Region     string
	DataCentre string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
}

// memberRecord encodes a member. Its version orders statements by incarnation and then by state, so that the rule for
// records is the rule for members.
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
		record.Expires = deadFor
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

// receive takes records from a peer.
func (directory *Directory) receive(source string, records []Record) {
	if len(records) == 0 {
		return
	}
	directory.publish(directory.board.merge(source, records))
	directory.answerRumours()
}

// publish brings the view up to date with accepted records.
func (directory *Directory) publish(accepted []Record) {
	if directory.learn(accepted) {
		directory.refresh()
	}
}

// state publishes what this VM believes of a member.
func (directory *Directory) state(member Member, state State) {
	member.State = state
	directory.publish(directory.board.merge("", []Record{memberRecord(member)}))
	directory.config.Log.Info().Str("Member", member.Name).Stringer("State", state).Msg("member changed state")
}

// learn takes member records into the table and reports whether there were any.
func (directory *Directory) learn(records []Record) bool {
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
		present, ok := directory.members[member.Name]
		if ok && memberVersion(present) > memberVersion(member) {
			continue
		}
		directory.members[member.Name] = member
		directory.settle(member)
		changed = true
	}
	return changed
}

// settle starts or ends suspicions under the lock.
func (directory *Directory) settle(member Member) {
	if unanswered, ok := directory.unanswered[member.Name]; ok {
		if unanswered.incarnation != member.Incarnation || member.State == Dead {
			delete(directory.unanswered, member.Name)
		}
	}
	if member.State != Suspect || member.DataCentre != directory.self.DataCentre {
		delete(directory.suspicions, member.Name)
		return
	}
	present, ok := directory.suspicions[member.Name]
	if ok && present.incarnation == member.Incarnation {
		return
	}
	directory.suspicions[member.Name] = suspicion{
		incarnation: member.Incarnation,
		deadline:    time.Now().Add(witnessFactor * directory.config.SuspicionTimeout),
	}
}

// forget drops members whose records expired.
func (directory *Directory) forget(expired []Record) {
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

// buryUnrefuted declares suspects dead whose time to refute is over.
func (directory *Directory) buryUnrefuted(now time.Time) {
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
		directory.state(member, Dead)
	}
}

// answerRumours refutes what others wrongly say of this VM by a higher incarnation.
func (directory *Directory) answerRumours() {
	directory.mutex.Lock()
	rumour, ok := directory.members[directory.self.Name]
	own := memberRecord(directory.self)
	accurate := memberVersion(rumour) <= own.Version && sameAddress(rumour, directory.self)
	if !ok || accurate || time.Since(directory.refuted) < refuteEvery {
		directory.mutex.Unlock()
		return
	}
	directory.self.Incarnation = max(directory.self.Incarnation, rumour.Incarnation) + 1
	directory.refuted = time.Now()
	own = memberRecord(directory.self)
	directory.mutex.Unlock()
	directory.publish(directory.board.merge("", []Record{own}))
}

func sameAddress(a, b Member) bool {
	return a.Peer == b.Peer && a.Caller == b.Caller && a.DataCentre == b.DataCentre && a.Region == b.Region
}

// refresh builds the view from the table.
func (directory *Directory) refresh() {
	directory.refreshMutex.Lock()
	defer directory.refreshMutex.Unlock()
	directory.mutex.Lock()
	members := make([]Member, 0, len(directory.members))
	for _, member := range directory.members {
		if _, ok := directory.unanswered[member.Name]; ok && member.State == Alive {
			member.State = Suspect
		}
		members = append(members, member)
	}
	view := NewView(directory.self, members)
	directory.ring = ring(view, directory.self)
	directory.mutex.Unlock()
	directory.view.Store(view)
	directory.subscribersMutex.RLock()
	defer directory.subscribersMutex.RUnlock()
	for _, receive := range directory.subscribers {
		receive(view)
	}
}

// ring returns the members that this VM probes: those 1, 2, 4, 8… places on in the order of the hashes of names. So
// every member is probed by as many as it probes, few connections are in use, and a record that each passes on to its
// ring reaches all of n members in log2(n) steps.
func ring(view *View, self Member) []Member {
	type place struct {
		member Member
		hash   uint64
	}
	members := view.Members(self.DataCentre)
	places := make([]place, len(members))
	for i, member := range members {
		places[i] = place{member: member, hash: xxhash.Sum64String(member.Name)}
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	own := slices.IndexFunc(places, func(place place) bool { return place.member.Name == self.Name })
	if own < 0 {
		return nil
	}
	neighbours := make([]Member, 0, bits.Len(uint(len(places))))
	for step := 1; step < len(places); step *= 2 {
		neighbours = append(neighbours, places[(own+step)%len(places)].member)
	}
	return neighbours
}
