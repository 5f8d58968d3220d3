package relay

import (
	"bytes"
	"strings"
)

const (
	// nameLetters are the characters of a field's name.
	nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	// dataField is the only field that may come without a colon, as an empty line of data.
	dataField = "data"
)

// IsEventField reports whether a line is a field of an event: a name in lower case, a colon and
// a value. The head or the text of an error that an endpoint writes into a stream is none.
func IsEventField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found {
		return string(name) == dataField
	}
	return len(name) > 0 && strings.Trim(string(name), nameLetters) == ""
}
