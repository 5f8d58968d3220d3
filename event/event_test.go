package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
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
