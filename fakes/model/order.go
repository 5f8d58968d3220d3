package model

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/server"
)

// fenceConflict is the answer to an order whose fencing token is stale.
type fenceConflict struct {
	Fence uint64 `json:"fence"`
}

// handleOrder executes an order unless its fencing token is stale.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := server.DecodeJSON(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if order.Fence < e.fence && !e.options.IgnoreFence {
		current := e.fence
		e.mu.Unlock()
		server.WriteJSON(w, http.StatusConflict, fenceConflict{Fence: current})
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	e.mu.Unlock()
	var err error
	switch order.Kind {
	case engine.OrderLoad:
		err = e.beginLoad(order.Version)
	case engine.OrderSwitch:
		err = e.switchTo(order.Version)
	case engine.OrderUnload:
		err = e.unload(order.Version)
	default:
		err = fmt.Errorf("unknown order %q", order.Kind)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) beginLoad(version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == version || slices.Contains(e.loaded, version) {
		return nil
	}
	if e.loading != 0 {
		return fmt.Errorf("version %d is being loaded", e.loading)
	}
	e.loading = version
	incarnation := e.incarnation
	e.tasks.Go(func() {
		err := e.fetchWeights(version)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation != incarnation {
			return
		}
		e.loading = 0
		if err == nil {
			e.loaded = append(e.loaded, version)
		}
	})
	return nil
}

// fetchWeights fetches a version from the weight store, or waits for LoadTime if
// there is none.
func (e *Engine) fetchWeights(version uint64) error {
	if e.options.Depot == "" {
		select {
		case <-time.After(e.options.LoadTime):
		case <-e.stop:
		}
		return nil
	}
	address := fmt.Sprintf("%s/v1/weights/%s/%d", e.options.Depot, e.options.Model, version)
	response, err := http.Get(address)
	if err != nil {
		return fmt.Errorf("fetching weights: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fetching weights: %s", response.Status)
	}
	return nil
}

func (e *Engine) switchTo(version uint64) error {
	e.mu.Lock()
	if !slices.Contains(e.loaded, version) {
		e.mu.Unlock()
		return fmt.Errorf("version %d is not loaded", version)
	}
	partial := e.faults.PartialSwitch
	e.faults.PartialSwitch = false
	incarnation := e.incarnation
	e.mu.Unlock()
	select {
	case <-time.After(e.options.SwitchTime):
	case <-e.stop:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return fmt.Errorf("the engine restarted")
	}
	if partial {
		e.version = 0
		return fmt.Errorf("the switch to version %d failed partway", version)
	}
	e.version = version
	return nil
}

func (e *Engine) unload(version uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == version {
		return fmt.Errorf("version %d is being served", version)
	}
	e.loaded = slices.DeleteFunc(e.loaded, func(v uint64) bool { return v == version })
	return nil
}
