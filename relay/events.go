package relay

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// nameLetters are the characters of a field's name.
	nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	// VersionField is the field with the weight version of an event at which it changes.
	VersionField = "weight-versions"
	// idField is the field with the ID of an event.
	idField = "id"
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

// intField returns the number in a line if it is the given field.
func intField(line []byte, name string) (int, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	return n, err == nil
}
