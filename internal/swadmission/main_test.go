package swadmission

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// floodSeeds is the number of seeds with which TestFloods runs.
var floodSeeds = flag.Int("flood.seeds", 1, "number of seeds of the floods")

// floodTable makes TestFloodTable print its table for docs/measurements/admission.md.
var floodTable = flag.Bool("flood.table", false, "print the table of floods")

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// bubbleTB hides the test's deadline, which cannot be asked for inside a synctest bubble.
type bubbleTB struct{ rapid.TB }
