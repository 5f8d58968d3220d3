// Package finds collects findings about an input and reports them together.
//
// A reader of an outside document keeps going after a mistake, adds each one
// to a List with its place, and returns the whole list once.
//
// # Usage
//
//	var list finds.List
//	list.Add(finds.Place{File: "pools.ini", Line: 4, Key: "serve"}, "want a whole number")
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
	// Place says where in an input a finding stands.
	Place struct {
		// File is the name of the document.
		File string
		// Line counts from 1; 0 means the document as a whole.
		Line int
		// Key is the section or key concerned, empty where there is none.
		Key string
	}

	// Finding is one mistake in an input.
	Finding struct {
		place Place
		text  string
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

// String returns the place as file:line: key.
func (p Place) String() string {
	text := p.File
	if p.Line > 0 {
		text = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text
}

// Place returns where the finding stands.
func (f Finding) Place() Place { return f.place }

// Text returns what is wrong and what is expected.
func (f Finding) Text() string { return f.text }

// String returns the finding as one line.
func (f Finding) String() string { return f.place.String() + ": " + f.text }

// Add records a finding.
func (l *List) Add(place Place, format string, args ...any) {
	l.items = append(l.items, Finding{place: place, text: fmt.Sprintf(format, args...)})
}

// Join records the findings of another list.
func (l *List) Join(other *List) { l.items = append(l.items, other.items...) }

// Len returns how many findings were recorded.
func (l *List) Len() int { return len(l.items) }

// Err returns nil for an empty list, else an *Error with all findings in order
// of their place.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	items := append([]Finding(nil), l.items...)
	sort.SliceStable(items, func(i, j int) bool {
		a, b := items[i].place, items[j].place
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &Error{items: items}
}

// Findings returns the findings in order of their place.
func (e *Error) Findings() []Finding { return e.items }

// Error returns all findings, a line each.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.items)+1)
	lines = append(lines, fmt.Sprintf("%d findings", len(e.items)))
	for _, f := range e.items {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n  ")
}
