package swfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

type suspect struct {
	until time.Time
	pause time.Duration
}

// passOver turns to another VM, or to the store, because the one that is followed does not reach the store: it may turn
// away some VMs and serve others.
func (feed *Feed) passOver(peer Peer, overdue time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	feed.failures++
	feed.suspects[peer.Name] = suspect{until: now.Add(staleFor)}
	feed.config.Log.Warn().Str("Peer", peer.Name).Dur("Overdue", overdue).Msg("the VM that is followed does not reach the store")
}

// isolated reports whether this VM is to try the store itself because the VMs ahead do not answer or do not reach it. One
// that knows no configuration yet follows the store at once instead.
func (feed *Feed) isolated(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.failures < maxFailures || now.Before(feed.direct) {
		return false
	}
	if feed.caches[0].current() == 0 {
		feed.direct, feed.failures = now.Add(review/2), 0
		return false
	}
	return true
}

// try reads the first kind from the store itself, if it is time to. It answers the load in which the store is away for all
// VMs: each then tries seldom, and goes back to the VMs ahead once they reach it. Where the store turns away only these, two
// tries that succeed make this VM follow the store.
func (feed *Feed) try(ctx context.Context) {
	feed.mutex.Lock()
	wait := time.Until(feed.trial)
	feed.mutex.Unlock()
	if wait > 0 {
		_ = swtimer.Wait(ctx, min(wait, trialCheck))
		feed.reconsider()
		return
	}
	kind := feed.config.Kinds[0].Name
	objects, revision, err := feed.config.Source.ListObjects(ctx, kind)
	if err == nil {
		feed.receive(0, swfollow.Change{Full: true, Objects: objects, Revision: revision})
	}
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	if err != nil {
		feed.successes = 0
		feed.pause = min(trialMost, max(trialLeast, 2*feed.pause))
		feed.trial = now.Add(time.Duration((0.5 + rand.Float64()) * float64(feed.pause)))
		return
	}
	feed.successes++
	feed.trial = now.Add(trialCheck)
	if feed.successes > 1 {
		feed.successes, feed.failures = 0, 0
		feed.direct = now.Add(directFor)
		feed.config.Log.Warn().Msg("the store answers this VM and not those ahead of it")
	}
}

// reconsider gives the VMs ahead another chance, with one failure less to go.
func (feed *Feed) reconsider() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failures = maxFailures - 1
	for name, known := range feed.suspects {
		if known.pause == 0 {
			delete(feed.suspects, name)
		}
	}
}

// distrust passes a VM over for a while.
func (feed *Feed) distrust(peer Peer, err error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failures++
	known := feed.suspects[peer.Name]
	known.pause = min(suspectMost, max(suspectLeast, 2*known.pause))
	known.until = time.Now().Add(known.pause)
	feed.suspects[peer.Name] = known
	feed.config.Log.Warn().Err(err).Str("Peer", peer.Name).Dur("PassedOver", known.pause).Msg("a VM that is followed does not answer")
}

func (feed *Feed) trust(peer Peer) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	delete(feed.suspects, peer.Name)
	feed.failures, feed.successes, feed.pause = 0, 0, 0
}
