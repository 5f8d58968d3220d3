package specs

import (
	"fmt"
	"sort"

	"github.com/currantloft/currantloft/rendez"
)

// TargetCellSize is the target number of endpoints in a cell.
const TargetCellSize = 16

// Cell is a group of endpoints of one backend in one failure domain. One node
// grants all permits for them.
type Cell struct {
	name      string
	backend   string
	domain    string
	endpoints []Endpoint
}

// Name returns the cell's name, unique in the set.
func (c Cell) Name() string { return c.name }

// Backend returns the name of the backend that the cell is part of.
func (c Cell) Backend() string { return c.backend }

// Domain returns the failure domain of the cell's endpoints.
func (c Cell) Domain() string { return c.domain }

// Endpoints returns the cell's endpoints, sorted by name.
func (c Cell) Endpoints() []Endpoint { return c.endpoints }

// Cells groups all endpoints into cells, sorted by name. Adding or removing an
// endpoint moves few others to another cell.
func (s *Set) Cells() []Cell {
	type groupKey struct{ backend, domain string }
	groups := make(map[groupKey][]Endpoint)
	for _, e := range s.Endpoints() {
		key := groupKey{backend: e.Backend(), domain: e.domain}
		groups[key] = append(groups[key], e)
	}
	cells := make(map[string]*Cell)
	for key, endpoints := range groups {
		names := make([]string, (len(endpoints)+TargetCellSize-1)/TargetCellSize)
		for i := range names {
			names[i] = fmt.Sprintf("%s/%s/%d", key.backend, key.domain, i)
		}
		for _, e := range endpoints {
			name, _ := rendez.First(e.name, names)
			if cells[name] == nil {
				cells[name] = &Cell{name: name, backend: key.backend, domain: key.domain}
			}
			cells[name].endpoints = append(cells[name].endpoints, e)
		}
	}
	all := make([]Cell, 0, len(cells))
	for _, c := range cells {
		all = append(all, *c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}
