package swedit

import (
	"fmt"
	"regexp"
	"strconv"
)

// versionLine matches the first line of a rule file that names the version on which the file is based.
var versionLine = regexp.MustCompile(`^#[ \t]*Version:[ \t]*([0-9]{1,19})[ \t]*(?:\r?\n|$)`)

// HeaderVersion returns the version that the first line of a rule file names, as in "# Version: 41". ok is false without one.
func HeaderVersion(text string) (version uint64, ok bool) {
	parts := versionLine.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	version, err := strconv.ParseUint(parts[1], 10, 64)
	return version, err == nil
}

// StripHeader returns a rule file without the line that names its version.
func StripHeader(text string) string {
	return text[len(versionLine.FindString(text)):]
}

// SetHeader returns a rule file whose first line names version. It adds or replaces that line.
func SetHeader(text string, version uint64) string {
	return fmt.Sprintf("# Version: %d\n%s", version, StripHeader(text))
}

// updateHeader returns a rule file whose first line names version if it named a version before.
func updateHeader(text string, version uint64) string {
	if _, ok := HeaderVersion(text); !ok {
		return text
	}
	return SetHeader(text, version)
}
