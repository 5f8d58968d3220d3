package intact

import (
	"testing"
)

// FuzzHeadInPieces checks that a head means the same however its bytes come.
func FuzzHeadInPieces(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody",
		"HTTP/1.1 200 OK\nA: b\n\nHTTP/1.1 000 OK",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.0 200\r\nA : b\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(1), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, first, second uint8) {
		whole := head{expected: true}
		_, wholeErr := whole.read(text)
		pieces := head{expected: true}
		var err error
		for rest, size := text, int(first); len(rest) > 0 && err == nil; size = int(second) {
			n := min(max(1, size), len(rest))
			_, err = pieces.read(rest[:n])
			rest = rest[n:]
		}
		if (err == nil) != (wholeErr == nil) || err == nil && pieces.expected != whole.expected {
			t.Errorf("%q in pieces of %d and %d: %v and complete %t, want %v and %t", text, first, second, err, !pieces.expected, wholeErr, !whole.expected)
		}
	})
}

// BenchmarkHead measures what checking the head of an answer takes.
func BenchmarkHead(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: application/octet-stream\r\nInstance-Load: 3,0,8\r\nKeep-Alive: timeout=10\r\nContent-Length: 800\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		h := head{expected: true}
		if _, err := h.read(text); err != nil || h.expected {
			b.Fatal(err)
		}
	}
}
