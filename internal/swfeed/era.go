package swfeed

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
)

// ObserveEra makes this VM list all kinds anew if it follows the store and its copies are of an earlier era.
func (feed *Feed) ObserveEra(era uint64) {
	feed.mutex.Lock()
	former := feed.era
	if era <= former {
		feed.mutex.Unlock()
		return
	}
	feed.era = era
	followers := feed.followers
	if former > 0 {
		feed.newEraAt = time.Now()
	}
	feed.mutex.Unlock()
	if former > 0 {
		feed.config.Log.Warn().Uint64("Former", former).Uint64("Era", era).Msg("the platform's store has come back from an older copy")
	}
	for _, follower := range followers {
		follower.ListAnew(era)
	}
}

// observePeerEra makes this VM list all kinds anew if a peer knows an era that it does not. The peer may be wrong, so this VM does so only
// once for each era.
func (feed *Feed) observePeerEra(era uint64) {
	feed.mutex.Lock()
	var followers []*swfollow.Follower
	if era > feed.era && era > feed.peerEra {
		feed.peerEra = era
		followers = feed.followers
	}
	feed.mutex.Unlock()
	for _, follower := range followers {
		follower.ListAnew(era)
	}
}

func (feed *Feed) currentEra() uint64 {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	return feed.era
}

// setFollowers sets the followers that ObserveEra makes list anew.
func (feed *Feed) setFollowers(followers []*swfollow.Follower) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.followers = followers
}

// logNewEra logs once that all copies are of a new era.
func (feed *Feed) logNewEra() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.newEraAt.IsZero() {
		return
	}
	revisions := zerolog.Dict()
	for i, cache := range feed.caches {
		position := cache.currentPosition()
		if position.Era < feed.era {
			return
		}
		revisions.Uint64(feed.config.Kinds[i].Name, position.Revision)
	}
	took := time.Since(feed.newEraAt)
	feed.newEraAt = time.Time{}
	feed.config.Log.Info().Uint64("Era", feed.era).Dict("Revisions", revisions).Dur("Took", took).Msg("all copies are of the store's new era")
}
