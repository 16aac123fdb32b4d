package swrule

import (
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swtypo"
)

// suggest returns the known word that word probably misspells, or a list of all known words.
func suggest(word string, known []string) string {
	if nearest := swtypo.Nearest(word, known); nearest != "" {
		return nearest
	}
	last := len(known) - 1
	return strings.Join(known[:last], ", ") + " or " + known[last]
}
