// Package chart runs state machines that are defined in embedded files.
//
// A chart file is INI. Its [chart] section names the chart and its initial
// state. Each other section is a state, each key in it an event and each value
// the next state. A state without events has final = true. Loading an invalid
// chart returns all findings together.
//
// # Usage
//
//	c, err := chart.Load("attempt")
//	m := c.Start()
//	err = m.Fire("grant")
//	m.State() // "granted"
package chart

import (
	"embed"
	"fmt"
	"sort"
	"strings"
	"sync"

	"gopkg.in/ini.v1"

	"github.com/currantloft/currantloft/finds"
)

const (
	chartSection = "chart"
	finalKey     = "final"
)

type (
	// State names a state of a chart.
	State string

	// Event names an event that moves a machine to its next state.
	Event string

	// Chart is a checked state chart.
	Chart struct {
		name    string
		initial State
		states  map[State]map[Event]State
	}

	// Machine is one running instance of a chart. It is safe for concurrent use.
	Machine struct {
		chart *Chart
		mu    sync.Mutex
		state State
	}

	// TransitionError reports an event that the current state does not allow.
	TransitionError struct {
		// Chart is the chart's name.
		Chart string
		// State is the state of the machine.
		State State
		// Event is the rejected event.
		Event Event
	}
)

//go:embed charts/*.ini
var files embed.FS

// Names returns the names of the embedded charts.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".ini"))
	}
	return names
}

// CheckAll loads every embedded chart and returns the first error.
func CheckAll() error {
	for _, name := range Names() {
		if _, err := Load(name); err != nil {
			return err
		}
	}
	return nil
}

// Load reads the embedded chart of this name.
func Load(name string) (*Chart, error) {
	file := "charts/" + name + ".ini"
	data, err := files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading chart %s: %w", name, err)
	}
	return Parse(file, data)
}

// MustLoad is like Load but panics on an error. It is meant for charts that
// CheckAll has checked at startup.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses and checks a chart; findings name it as file.
func Parse(file string, data []byte) (*Chart, error) {
	doc, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, fmt.Errorf("parsing chart %s: %w", file, err)
	}
	header := doc.Section(chartSection)
	c := &Chart{
		name:    header.Key("name").String(),
		initial: State(header.Key("initial").String()),
		states:  make(map[State]map[Event]State),
	}
	var list finds.List
	for _, section := range doc.Sections() {
		if section.Name() == ini.DefaultSection || section.Name() == chartSection {
			continue
		}
		c.addState(file, section, &list)
	}
	c.check(file, &list)
	if err := list.Err(); err != nil {
		return nil, fmt.Errorf("checking chart %s: %w", file, err)
	}
	return c, nil
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Start returns a machine in the initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.initial} }

func (c *Chart) addState(file string, section *ini.Section, list *finds.List) {
	events := make(map[Event]State)
	final := false
	for _, key := range section.Keys() {
		if key.Name() == finalKey {
			final = key.MustBool(false)
			continue
		}
		events[Event(key.Name())] = State(key.String())
	}
	position := finds.Position{File: file, Key: section.Name()}
	if final && len(events) > 0 {
		list.Add(position, "a final state has no events, found %d", len(events))
	}
	if !final && len(events) == 0 {
		list.Add(position, "a state without events needs final = true")
	}
	c.states[State(section.Name())] = events
}

func (c *Chart) check(file string, list *finds.List) {
	if c.name == "" {
		list.Add(finds.Position{File: file, Key: "name"}, "want a name")
	}
	if _, ok := c.states[c.initial]; !ok {
		list.Add(finds.Position{File: file, Key: "initial"}, "no state %q", c.initial)
	}
	for state, events := range c.states {
		for event, next := range events {
			if _, ok := c.states[next]; !ok {
				position := finds.Position{File: file, Key: string(state) + "." + string(event)}
				list.Add(position, "no state %q", next)
			}
		}
	}
	for _, state := range c.unreachable() {
		list.Add(finds.Position{File: file, Key: string(state)}, "no event leads to this state")
	}
}

func (c *Chart) unreachable() []State {
	reached := map[State]bool{c.initial: true}
	queue := []State{c.initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, next := range c.states[state] {
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	var unreached []State
	for state := range c.states {
		if !reached[state] {
			unreached = append(unreached, state)
		}
	}
	sort.Slice(unreached, func(i, j int) bool { return unreached[i] < unreached[j] })
	return unreached
}

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Is reports whether the machine is in the given state.
func (m *Machine) Is(state State) bool { return m.State() == state }

// Fire moves the machine to the next state. If the current state does not allow
// the event, it returns a *TransitionError and the state stays.
func (m *Machine) Fire(event Event) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, ok := m.chart.states[m.state][event]
	if !ok {
		return &TransitionError{Chart: m.chart.name, State: m.state, Event: event}
	}
	m.state = next
	return nil
}

// Error returns the rejected transition as one line.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: no event %s in state %s", e.Chart, e.Event, e.State)
}
