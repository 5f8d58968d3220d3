package permit

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

// order returns the cells to try, the best first: the one that the prefix
// ranks first, unless it is busy and the second is less so. Requests without a
// prefix take the less busy of two random cells.
func (d *Desk) order(cells []specs.Cell, ask Ask) []specs.Cell {
	byName := make(map[string]specs.Cell, len(cells))
	names := make([]string, 0, len(cells))
	for _, cell := range cells {
		byName[cell.Name()] = cell
		names = append(names, cell.Name())
	}
	key := strconv.FormatUint(ask.Prefix, 16)
	if ask.Alone {
		key = strconv.FormatUint(ask.Fingerprint, 16)
	} else if ask.Prefix == 0 {
		key = strconv.FormatUint(rand.Uint64(), 16)
	}
	top := rendez.Top(key, names, cellsFor(ask))
	if len(top) >= 2 && !ask.Alone {
		first, second := d.busy(top[0]), d.busy(top[1])
		if first > second && (ask.Prefix == 0 || first > busyLimit) {
			top[0], top[1] = top[1], top[0]
		}
	}
	ordered := make([]specs.Cell, 0, len(top))
	for _, name := range top {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// cellsFor returns how many cells to try. A caller's refusal should come soon
// and cost little; a trainer's sample may wait wherever a place comes free first.
func cellsFor(ask Ask) int {
	if ask.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		return cellsPerCaller
	}
	return cellsPerSample
}

// busy returns the share of a cell's capacity that was taken when it was last
// heard of; old news counts as idle.
func (d *Desk) busy(cell string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen, ok := d.loads[cell]
	if !ok || time.Since(seen.at) > loadLife || seen.load.Capacity == 0 {
		return 0
	}
	return float64(seen.load.Queued+seen.load.InFlight) / float64(seen.load.Capacity)
}

func (d *Desk) noteLoad(cell string, load Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads[cell] = seenLoad{load: load, at: time.Now()}
}
