package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/setup"
	"github.com/currantloft/currantloft/waits"
)

// retireRetryInterval is how often a storage host tries to read requests to empty
// it while the store does not answer.
const retireRetryInterval = 500 * time.Millisecond

// retireWatchWait is how long a watch of such requests waits for changes; a
// request may take some seconds.
const retireWatchWait = 5 * time.Second

// Storage is the process on a host with a disk. It stores nothing durably, so
// that the host can be emptied at any time.
type Storage struct {
	settings *setup.Host
	store    *platform.Store
	logger   *zap.Logger
}

// NewStorage returns a storage process.
func NewStorage(settings *setup.Host, logger *zap.Logger) *Storage {
	return &Storage{settings: settings, logger: logger, store: platform.NewStore(settings.StoreAddress(), intact.NewBudget(share(settings, storeShare)), tally.NoopScope, logger)}
}

// Run answers requests to empty the host until the context ends.
func (s *Storage) Run(ctx context.Context) error {
	event.NodeStarting.Log(s.logger, zap.String("node", s.settings.Name()))
	defer s.store.Close()
	revision := uint64(0)
	for ctx.Err() == nil {
		var err error
		if revision, err = s.answerRequests(ctx, revision); err != nil {
			if ctx.Err() != nil {
				break
			}
			event.WatchFailed.Log(s.logger, zap.String("kind", platform.KindRetirements), zap.Error(err))
			revision = 0
			_ = waits.For(ctx, retireRetryInterval)
		}
	}
	event.NodeStopped.Log(s.logger, zap.String("node", s.settings.Name()))
	return nil
}

// Reload logs changed settings; none of them affects a running process.
func (s *Storage) Reload(settings *setup.Host) {
	event.SettingsReloaded.Log(s.logger, zap.String("node", settings.Name()))
}

// answerRequests lists the requests to empty a host if revision is 0, else waits
// for changes after it. It answers those for this host and returns the revision
// to continue from.
func (s *Storage) answerRequests(ctx context.Context, revision uint64) (uint64, error) {
	var entries []object.Entry
	if revision == 0 {
		listed, at, err := s.store.List(ctx, platform.KindRetirements, object.Fresh)
		if err != nil {
			return 0, fmt.Errorf("listing requests to empty a host: %w", err)
		}
		entries, revision = listed, at
	} else {
		changes, next, err := s.store.Watch(ctx, platform.KindRetirements, revision, retireWatchWait)
		if errors.Is(err, object.ErrHistoryGone) {
			return 0, nil
		}
		if err != nil {
			return 0, fmt.Errorf("watching requests to empty a host: %w", err)
		}
		for _, change := range changes {
			if !change.Removed {
				entries = append(entries, change.Entry)
			}
		}
		revision = next
	}
	for _, entry := range entries {
		if entry.Name == s.settings.Name() && !platform.RetirementDone(entry.Status) {
			if err := s.store.SetStatus(ctx, platform.KindRetirements, entry.Name, platform.EncodeRetired()); err != nil {
				return 0, fmt.Errorf("reporting that the host is empty: %w", err)
			}
			event.StorageHostEmptied.Log(s.logger, zap.String("node", entry.Name))
		}
	}
	return revision, nil
}
