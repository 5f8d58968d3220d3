package weight

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

const fenceKind = "fences"

type (
	// fenceRecord is the platform's record of a cell's fencing number.
	fenceRecord struct {
		OperationID string `json:"operation"`
		Fence       uint64 `json:"fence"`
		Holder      string `json:"holder"`
	}

	// fence is a number that this node holds, 0 for none.
	fence struct {
		mu     sync.Mutex
		number uint64
	}
)

// Operation returns the id of the last write.
func (r fenceRecord) Operation() string { return r.OperationID }

// fence returns the number that this node holds for the cell, or takes one
// above every earlier one.
func (s *Supervisor) fence(ctx context.Context, cell string) (uint64, error) {
	f := s.fenceOf(cell)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number != 0 {
		return f.number, nil
	}
	name := strings.ReplaceAll(cell, "/", ".")
	var found fenceRecord
	version, err := object.GetRecord(ctx, s.parts.Platform, fenceKind, name, &found)
	if err != nil {
		return 0, fmt.Errorf("reading the fence of %s: %w", cell, err)
	}
	self := s.parts.Members.View().Self()
	next := fenceRecord{
		OperationID: fmt.Sprintf("%s-%d", self, time.Now().UnixNano()),
		Fence:       found.Fence + 1,
		Holder:      self,
	}
	if _, err := object.PutRecord(ctx, s.parts.Platform, fenceKind, name, next, version); err != nil {
		return 0, fmt.Errorf("taking the fence of %s: %w", cell, err)
	}
	f.number = next.Fence
	event.FenceTaken.Log(s.parts.Logger, zap.String("cell", cell), zap.Uint64("fence", next.Fence))
	return f.number, nil
}

// dropFence forgets a number that an endpoint refused.
func (s *Supervisor) dropFence(cell string, number uint64) {
	f := s.fenceOf(cell)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.number == number {
		f.number = 0
	}
}

func (s *Supervisor) fenceOf(cell string) *fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fences[cell]
	if f == nil {
		f = &fence{}
		s.fences[cell] = f
	}
	return f
}
