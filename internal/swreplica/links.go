package swreplica

import "context"

// links is the time between two losses of this VM's links to a place.
type links struct {
	// connecting ends when no more connections are to be opened, and answering when no more answers are to be expected.
	connecting, answering         context.Context
	stopConnecting, stopAnswering context.CancelFunc
}

func newLinks() *links {
	links := &links{}
	links.connecting, links.stopConnecting = context.WithCancel(context.Background())
	links.answering, links.stopAnswering = context.WithCancel(context.Background())
	return links
}

// whileConnecting returns a context that ends with ctx, and when the links are found to be lost.
func (links *links) whileConnecting(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(links.connecting, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// abandonConnections gives up the connections to the place, on which nothing arrives any more. Requests that may be repeated are told so at once.
// The others wait on, as their response may still arrive.
func (place *place) abandonConnections(links *links) {
	links.stopAnswering()
	for _, replica := range place.listed() {
		replica.empty()
	}
}
