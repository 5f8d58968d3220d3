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
	// fenceRecord is the platform's record of a cell's fencing token.
	fenceRecord struct {
		OperationID string `json:"operation"`
		Fence       uint64 `json:"fence"`
		Holder      string `json:"holder"`
	}

	// cellFence is the fencing token that this node holds for a cell, 0 for none.
	cellFence struct {
		mu    sync.Mutex
		token uint64
	}
)

// Operation returns the id of the last write.
func (r fenceRecord) Operation() string { return r.OperationID }

// acquireFence returns the fencing token that this node holds for the cell. If
// it holds none, it acquires one in the platform that is higher than all
// earlier ones.
func (s *Supervisor) acquireFence(ctx context.Context, cell string) (uint64, error) {
	f := s.fenceOf(cell)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.token != 0 {
		return f.token, nil
	}
	name := strings.ReplaceAll(cell, "/", ".")
	var current fenceRecord
	version, err := object.GetRecord(ctx, s.deps.Platform, fenceKind, name, &current)
	if err != nil {
		return 0, fmt.Errorf("reading the fence of %s: %w", cell, err)
	}
	self := s.deps.Members.View().Self()
	record := fenceRecord{
		OperationID: fmt.Sprintf("%s-%d", self, time.Now().UnixNano()),
		Fence:       current.Fence + 1,
		Holder:      self,
	}
	if _, err := object.PutRecord(ctx, s.deps.Platform, fenceKind, name, record, version); err != nil {
		return 0, fmt.Errorf("taking the fence of %s: %w", cell, err)
	}
	f.token = record.Fence
	event.FenceTaken.Log(s.deps.Logger, zap.String("cell", cell), zap.Uint64("fence", record.Fence))
	return f.token, nil
}

// invalidateFence drops a fencing token that an endpoint refused.
func (s *Supervisor) invalidateFence(cell string, token uint64) {
	f := s.fenceOf(cell)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.token == token {
		f.token = 0
	}
}

func (s *Supervisor) fenceOf(cell string) *cellFence {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fences[cell]
	if f == nil {
		f = &cellFence{}
		s.fences[cell] = f
	}
	return f
}
