package swedit

import (
	"fmt"
	"regexp"
	"strconv"
)

// header is the first line of a rule file that names the version it was taken from.
var header = regexp.MustCompile(`^#[ \t]*Version:[ \t]*([0-9]{1,19})[ \t]*(?:\r?\n|$)`)

// HeaderVersion returns the version that the first line of a rule file names, as in "# Version: 41".
func HeaderVersion(text string) (version uint64, ok bool) {
	parts := header.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(parts[1], 10, 64)
	return version, err == nil
}

// Body returns a rule file without the line that names its version.
func StripHeader(text string) string {
	return text[len(header.FindString(text)):]
}

// SetHeader returns a rule file whose first line names version, which it adds when it is missing.
func SetHeader(text string, version uint64) string {
	return fmt.Sprintf("# Version: %d\n%s", version, StripHeader(text))
}

// updateHeader names version in the first line where the file names one already.
func updateHeader(text string, version uint64) string {
	if _, ok := HeaderVersion(text); !ok {
		return text
	}
	return SetHeader(text, version)
}
