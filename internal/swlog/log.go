// Package swlog builds the logger: JSON lines with Pascal-case names, which never hold up who writes them.
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

// bufferedLines is the number of lines that wait for a reader that is slow: a second of the most that a VM logs.
const bufferedLines = 2048

// fieldNames guards the field names of zerolog, which are package variables.
var fieldNames sync.Once

// Config holds what a logger is built from.
type Config struct {
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// VM and DataCentre stand in every line.
	VM         string
	DataCentre string
}

// NonBlocking returns a writer that passes lines on from a goroutine of its own. While out takes none, lines are dropped, and a
// line that tells their number follows. Close passes on what waits.
func NewNonBlockingWriter(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, bufferedLines, 0, func(missed int) {
		fmt.Fprintf(out, "{\"Level\":\"warn\",\"Dropped\":%d,\"Message\":\"log lines were dropped, as their reader is too slow\"}\n", missed)
	})
}

// New returns a logger. It returns an error for a level that does not exist.
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
	fieldNames.Do(func() {
		zerolog.TimestampFieldName = "Time"
		zerolog.LevelFieldName = "Level"
		zerolog.MessageFieldName = "Message"
		zerolog.ErrorFieldName = "Error"
		zerolog.TimeFieldFormat = time.RFC3339Nano
		zerolog.DurationFieldUnit = time.Millisecond
	})
}
