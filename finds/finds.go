// Package finds collects the findings of a check of input files and reports
// them together.
//
// A parser continues after a mistake, adds each finding with its position to a
// List, and returns all of them as one error.
//
// # Usage
//
//	var list finds.List
//	list.Add(finds.Position{File: "pools.ini", Line: 4, Key: "serve"}, "want a whole number")
//	if err := list.Err(); err != nil {
//		return fmt.Errorf("checking the configuration: %w", err)
//	}
package finds

import (
	"fmt"
	"sort"
	"strings"
)

type (
	// Position is the position of a finding.
	Position struct {
		// File is the name of the file.
		File string
		// Line counts from 1; 0 stands for the whole file or an unknown line.
		Line int
		// Key is the section or key that the finding is about, empty if there
		// is none.
		Key string
	}

	// Finding is one mistake in a file.
	Finding struct {
		position Position
		text     string
	}

	// List collects findings. The zero value is an empty list.
	List struct {
		items []Finding
	}

	// Error carries all findings of a list.
	Error struct {
		items []Finding
	}
)

// String returns the position as file:line: key.
func (p Position) String() string {
	text := p.File
	if p.Line > 0 {
		text = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text
}

// Position returns the finding's position.
func (f Finding) Position() Position { return f.position }

// Text returns what is wrong and what is expected.
func (f Finding) Text() string { return f.text }

// String returns the finding as one line.
func (f Finding) String() string { return f.position.String() + ": " + f.text }

// Add adds a finding.
func (l *List) Add(position Position, format string, args ...any) {
	l.items = append(l.items, Finding{position: position, text: fmt.Sprintf(format, args...)})
}

// AddAll adds the findings of another list.
func (l *List) AddAll(other *List) { l.items = append(l.items, other.items...) }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.items) }

// Err returns nil for an empty list, else an *Error with all findings, sorted
// by file and line.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	items := append([]Finding(nil), l.items...)
	sort.SliceStable(items, func(i, j int) bool {
		a, b := items[i].position, items[j].position
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &Error{items: items}
}

// Findings returns the findings, sorted by file and line.
func (e *Error) Findings() []Finding { return e.items }

// Error returns the number of findings, then each finding on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.items)+1)
	lines = append(lines, fmt.Sprintf("%d findings", len(e.items)))
	for _, f := range e.items {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n  ")
}
