package event

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestCatalogueMatchesEvents(t *testing.T) {
	text, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	numbers := make(map[int]bool)
	for _, e := range All() {
		if numbers[e.Number()] {
			t.Errorf("number %d is used twice", e.Number())
		}
		numbers[e.Number()] = true
		row := fmt.Sprintf("| %d | `%s` | %s |", e.Number(), e.Name(), e.Level())
		if !strings.Contains(string(text), row) {
			t.Errorf("docs/EVENTS.md lacks the row %s", row)
		}
	}
	if rows := strings.Count(string(text), "\n| ") - 2; rows != len(numbers) {
		t.Errorf("docs/EVENTS.md has %d events, the code has %d", rows, len(numbers))
	}
}

// A log line must stay short, whatever another writer has put into a name or a value.
func TestLongFieldsAreCut(t *testing.T) {
	long := strings.Repeat("é", 1<<20)
	core, logs := observer.New(zap.DebugLevel)
	ObjectUnreadable.Log(zap.New(core), zap.String("kind", long), zap.Error(errors.New(long)), zap.String("short", "é"))
	fields := logs.All()[0].ContextMap()
	for _, name := range []string{"kind", "error"} {
		text := fmt.Sprint(fields[name])
		if len(text) > maxFieldBytes+len(cutMark) || !strings.HasPrefix(text, "éé") || !strings.HasSuffix(text, "é"+cutMark) {
			t.Errorf("%s has %d bytes: %.20q", name, len(text), text)
		}
	}
	if fields["short"] != "é" {
		t.Errorf("got %q", fields["short"])
	}
}
