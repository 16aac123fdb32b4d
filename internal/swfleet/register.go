package swfleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// registerFirst and registerMost bound the pause between tries to register.
	registerFirst = 100 * time.Millisecond
	registerMost  = time.Second
)

// Writer writes objects of the project's own kinds.
type Writer interface {
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, kind, name string, value []byte) error
	// DeleteObject removes an object; one that does not exist is no error.
	DeleteObject(ctx context.Context, kind, name string) error
}

// Register writes this VM's object, as often as it takes, and returns once it is there or the context ends.
func (fleet *Fleet) Register(ctx context.Context, writer Writer, log zerolog.Logger) error {
	value, err := fleet.self.Encode()
	if err != nil {
		return err
	}
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{First: registerFirst, Max: registerMost})
	for {
		err := writer.PutObject(ctx, KindVM, fleet.self.Name, value)
		if err == nil {
			log.Info().Stringer("Peer", fleet.self.Peer).Msg("registered at the platform's store")
			return nil
		}
		log.Warn().Err(err).Msg("not registered at the platform's store yet")
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
}
