package permit

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

// rankCells returns the cells to try, best first. A request with a prefix goes
// to the cell that rendezvous hashing of the prefix ranks first, unless that
// cell is saturated and the second is less loaded. A request without a prefix
// goes to the less loaded of two random cells. A request that must run alone
// always goes to the cells that its fingerprint ranks first.
func (d *Dispatcher) rankCells(cells []specs.Cell, request Request) []specs.Cell {
	byName := make(map[string]specs.Cell, len(cells))
	names := make([]string, 0, len(cells))
	for _, cell := range cells {
		byName[cell.Name()] = cell
		names = append(names, cell.Name())
	}
	key := strconv.FormatUint(request.Prefix, 16)
	if request.Alone {
		key = strconv.FormatUint(request.Fingerprint, 16)
	} else if request.Prefix == 0 {
		key = strconv.FormatUint(rand.Uint64(), 16)
	}
	top := rendez.Top(key, names, maxCells(request))
	if len(top) >= 2 && !request.Alone {
		first, second := d.utilization(top[0]), d.utilization(top[1])
		if first > second && (request.Prefix == 0 || first > utilizationLimit) {
			top[0], top[1] = top[1], top[0]
		}
	}
	ordered := make([]specs.Cell, 0, len(top))
	for _, name := range top {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// maxCells returns how many cells to try. An interactive caller should be
// refused quickly and at low cost; a trainer's sample may queue in more cells
// and uses the first free slot.
func maxCells(request Request) int {
	if request.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		return maxCellsPerCaller
	}
	return maxCellsPerSample
}

// utilization returns the queued and running requests of a cell relative to its
// capacity, as last reported. A cell counts as idle without a report, with one
// older than loadTTL, or with one that has no capacity.
func (d *Dispatcher) utilization(cell string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	reported, ok := d.loads[cell]
	if !ok || time.Since(reported.at) > loadTTL || reported.load.Capacity == 0 {
		return 0
	}
	return float64(reported.load.Queued+reported.load.InFlight) / float64(reported.load.Capacity)
}

func (d *Dispatcher) recordLoad(cell string, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads[cell] = reportedLoad{load: load, at: time.Now()}
}
