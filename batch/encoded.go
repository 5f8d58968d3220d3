package batch

import "unicode/utf8"

// Sizes of escapes in JSON: \n, and \u000a.
const (
	shortEscapeBytes = 2
	longEscapeBytes  = 6
)

// encodedBytes returns the size of a text within a JSON string, as encoding/json writes it.
func encodedBytes(text string) int {
	size := 0
	for i := 0; i < len(text); {
		c, n := utf8.DecodeRuneInString(text[i:])
		switch {
		case c == '"', c == '\\', c == '\n', c == '\r', c == '\t', c == '\b', c == '\f':
			size += shortEscapeBytes
		case c < ' ', c == '<', c == '>', c == '&', c == '\u2028', c == '\u2029', c == utf8.RuneError && n == 1:
			size += longEscapeBytes
		default:
			size += n
		}
		i += n
	}
	return size
}
