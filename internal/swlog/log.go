// Package swlog builds the logger, which writes JSON lines with Pascal-case keys, and a writer that never blocks the code that
// logs.
package swlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the number of lines buffered for a slow reader: what a VM logs in one second at its highest rate.
const maxBufferedLines = 2048

// fieldNamesOnce guards the key names of zerolog, which are package variables.
var fieldNamesOnce sync.Once

// Config holds what a logger is built from.
type Config struct {
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// VM and DataCentre are added to every line.
	VM         string
	DataCentre string
}

// NewNonBlockingWriter returns a writer that buffers lines and writes them to out from its own goroutine. Lines are dropped while
// the buffer is full, and a line with their number follows. Close writes the buffered lines.
func NewNonBlockingWriter(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, maxBufferedLines, 0, func(missed int) {
		fmt.Fprintf(out, "{\"Level\":\"warn\",\"Dropped\":%d,\"Message\":\"log lines were dropped because the reader of the log is too slow\"}\n", missed)
	})
}

// New returns a logger. It returns an error if the level is unknown.
func New(config Config) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(config.Level)
	if err != nil {
		return zerolog.Logger{}, errors.Wrap(err, "parse log level")
	}
	setFieldNames()
	logger := zerolog.New(config.Out).Level(level).With().Timestamp().
		Str("VM", config.VM).Str("DataCentre", config.DataCentre).Logger()
	return logger, nil
}

func setFieldNames() {
	fieldNamesOnce.Do(func() {
		zerolog.TimestampFieldName = "Time"
		zerolog.LevelFieldName = "Level"
		zerolog.MessageFieldName = "Message"
		zerolog.ErrorFieldName = "Error"
		zerolog.TimeFieldFormat = time.RFC3339Nano
		zerolog.DurationFieldUnit = time.Millisecond
	})
}
