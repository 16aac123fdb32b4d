package swadmission

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// floodSeeds is the number of seeds that TestFloods runs with.
var floodSeeds = flag.Int("flood.seeds", 1, "number of seeds of the floods")

// floodTable makes TestFloodTable print the table in docs/measurements/admission.md.
var floodTable = flag.Bool("flood.table", false, "print the table of floods")

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// synctestTB hides the Deadline method of testing.T, which must not be called in a synctest bubble.
type synctestTB struct{ rapid.TB }
