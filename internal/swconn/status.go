package swconn

import "github.com/pkg/errors"

// ErrInvalidStatus means that a response has a status that is not one of HTTP. It answers no request, whatever its header says.
var ErrInvalidStatus = errors.New("the status of a response is not a number of three digits from 100")

// minStatus is the lowest status of HTTP.
const minStatus = 100

// ValidStatus reports whether a status is one of HTTP. Those from 600 on have no meaning, but are forwarded as they are.
func ValidStatus(status int) bool {
	return status >= minStatus && status <= 999
}

// isValidStatusText reports whether the text after the protocol in a status line begins with a valid status. http.ReadResponse takes any number of
// three characters, also one with a sign.
func isValidStatusText(text string) bool {
	const digits = 3
	if len(text) < digits || text[0] == '0' {
		return false
	}
	for _, character := range []byte(text[:digits]) {
		if character < '0' || character > '9' {
			return false
		}
	}
	return true
}
