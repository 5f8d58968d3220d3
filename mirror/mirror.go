// Package mirror replicates some kinds of the platform's objects to every node.
//
// One node of the fleet, the first by rendezvous hashing, watches the kinds. It
// also lists them at short intervals, since a watch that the store has dropped
// reports no error. After each list it sends the changes to its peers, also when
// there are none, which confirms that their copy is current. A node that
// receives no update in time lists for itself and sends the changes to its peers.
// So the calls to the store don't grow with the fleet, and a node that the store
// rejects stays up to date. Each update says which change came before it, so that a
// node which has missed one lists for itself.
//
// # Usage
//
//	m := mirror.New(store, fleet, bound, logger, kinds...)
//	err := m.Run(ctx)
//	m.Apply(updates) // received from another node
package mirror

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

const (
	// listIntervalShare is the pause between two lists in a small fleet, as a share
	// of the bound given to New.
	listIntervalShare = 0.35
	// rareListStride makes rare kinds, for which the bound does not hold, part of
	// every third round of lists only.
	rareListStride = 3
	// pausePerNode lengthens the pause after a list or a watch for each node, since each
	// is followed by a message to every node.
	pausePerNode = 8 * time.Millisecond
	// backupFactor multiplies the pause of the first node to get how long the second
	// node waits for an update before it lists. Each further node waits pausePerRank
	// longer; a list and its updates take some ten milliseconds.
	backupFactor = 1.5
	pausePerRank = 80 * time.Millisecond
	// maxPauseShare bounds the time that a node waits for updates, as a share of the
	// bound: a node that its peers can't reach must list by itself within the bound.
	maxPauseShare = 0.8
	// startInterval is how often a node that has just started checks its rank while it waits:
	// it takes itself for the second of two until it knows of others.
	startInterval = 250 * time.Millisecond
	// watchWait is how long a watch waits for changes.
	watchWait = 8 * time.Second
	// retryPause is the pause after a failed watch. After failed lists it doubles
	// with each one, up to maxRetryPause.
	retryPause = 200 * time.Millisecond
	// maxRetryPause bounds the pause between two failed lists.
	maxRetryPause = time.Second
	// gapGrace is how long a node that seems to have missed an update waits for it
	// before it lists for itself: updates may overtake each other.
	gapGrace = 300 * time.Millisecond
	// unavailableAfter is how long a copy may be out of date before the store counts
	// as having been unavailable.
	unavailableAfter = 2500 * time.Millisecond
)

type (
	// Kind is one kind of objects that is replicated.
	Kind struct {
		// Name is the kind's name in the store.
		Name string
		// Apply applies a change; unavailable is true if the store was unavailable
		// shortly before.
		Apply func(change object.Change, unavailable bool)
		// Rare makes the kind part of every third round of lists only.
		Rare bool
		// MaxBytes limits the spec of an object, 0 for no limit. A larger one counts as
		// empty and is not passed on: it has no use at any node.
		MaxBytes int
	}

	// Update holds the changes of one kind that one node sends to its peers.
	Update struct {
		Kind string
		// Revision is the store's revision up to which the changes are complete.
		Revision uint64
		// Previous is the revision of the last change before these.
		Previous uint64
		// Unavailable is true if the store was unavailable shortly before.
		Unavailable bool
		// Names is a digest of the names of all objects at Revision, 0 if unknown. A list
		// does not show objects that came and went since the one before; a node that
		// holds such an object sees by the digest that it does.
		Names uint64
		// ReadAt is a time on this node's boot clock before the store was read: the update
		// holds all changes made until then. 0 means unknown, as for updates from watches.
		ReadAt  time.Duration
		Changes []object.Change
	}

	// Fleet gives a mirror access to its peers.
	Fleet interface {
		// Rank returns the node's rank among those that may list, from 0, and their
		// number.
		Rank() (rank, nodes int)
		// Broadcast sends the changes to all peers.
		Broadcast(updates []Update)
	}

	// Mirror holds one node's copy of the kinds. It is safe for concurrent use.
	Mirror struct {
		store     object.Store
		fleet     Fleet
		bound     time.Duration
		listCount int
		logger    *zap.Logger
		// clock returns the time since boot.
		clock func() time.Duration

		mu        sync.Mutex
		kinds     map[string]*kindCopy
		kindOrder []string
		// confirmed signals that updates have confirmed all kinds that are not rare.
		confirmed chan struct{}
		// gapped signals that this node may have missed an update, and wanted that a caller of
		// Confirm waits for a list.
		gapped, wanted chan struct{}
		// advanced is closed, and replaced, when a list or an update has confirmed a copy.
		advanced chan struct{}
		// steadySince is since when the copies have been confirmed without a gap longer than
		// the bound.
		steadySince time.Duration
		// freshAt is when the copy was last known to be up to date. Failing reports that a
		// list or a watch has failed since the last one that succeeded.
		freshAt time.Time
		failing bool
	}

	// kindCopy is the copy of one kind.
	kindCopy struct {
		kind Kind
		// revision is the revision up to which the copy is complete, and changedAt that
		// of the newest change in it.
		revision, changedAt uint64
		// Changes after aheadFrom up to aheadTo have arrived, but those between revision
		// and aheadFrom have not. AheadTo is 0 if none are missing.
		aheadFrom, aheadTo uint64
		// revisions holds the revision of each object, removals that of each removed
		// one.
		revisions map[string]uint64
		removals  map[string]uint64
		// listed is true once the copy is complete, by a list of this node's own.
		listed bool
		// confirmedAt is the boot time up to which the copy is known to hold all changes, 0
		// if unknown. ListedAt is when the last list began.
		confirmedAt, listedAt time.Duration
	}
)

// Merge returns updates that hold the newest change of each object in both lists, whichever
// was sent first. If changes between two updates of a kind are missing, the merged one
// claims only those after the gap to be complete, so that its receivers notice.
func Merge(earlier, later []Update) []Update {
	merged := append([]Update(nil), earlier...)
	for _, update := range later {
		i := slices.IndexFunc(merged, func(m Update) bool { return m.Kind == update.Kind })
		if i < 0 {
			merged = append(merged, update)
			continue
		}
		m := merged[i]
		previous := min(m.Previous, update.Previous)
		if update.Previous > m.Revision || m.Previous > update.Revision {
			previous = max(m.Previous, update.Previous)
		}
		merged[i] = Update{
			Kind: m.Kind, Revision: max(m.Revision, update.Revision), Previous: previous, Unavailable: m.Unavailable || update.Unavailable,
			Names: update.Names, ReadAt: max(m.ReadAt, update.ReadAt), Changes: mergeChanges(m.Changes, update.Changes),
		}
		if m.Revision > update.Revision {
			merged[i].Names = m.Names
		}
	}
	return merged
}

// mergeChanges returns the newest change of each object in both lists, the later one of two
// with the same revision.
func mergeChanges(earlier, later []object.Change) []object.Change {
	changes := slices.Concat(earlier, later)
	newest := make(map[string]int, len(changes))
	for i, change := range changes {
		name := change.Entry.Name
		if j, ok := newest[name]; !ok || change.Entry.Revision >= changes[j].Entry.Revision {
			newest[name] = i
		}
	}
	var merged []object.Change
	for i, change := range changes {
		if newest[change.Entry.Name] == i {
			merged = append(merged, change)
		}
	}
	return merged
}

// New returns a mirror of the kinds. Bound is the time in which a change must
// reach every node.
func New(store object.Store, fleet Fleet, bound time.Duration, logger *zap.Logger, kinds ...Kind) *Mirror {
	m := &Mirror{
		store: store, fleet: fleet, bound: bound, logger: logger, kinds: make(map[string]*kindCopy), confirmed: make(chan struct{}, 1),
		gapped: make(chan struct{}, 1), wanted: make(chan struct{}, 1), advanced: make(chan struct{}), clock: waits.Boottime,
	}
	for _, kind := range kinds {
		m.kinds[kind.Name] = &kindCopy{kind: kind, revisions: make(map[string]uint64), removals: make(map[string]uint64)}
		m.kindOrder = append(m.kindOrder, kind.Name)
	}
	return m
}

// Run keeps the copy up to date until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.listLoop(ctx); return nil })
	for _, kind := range m.kindOrder {
		group.Go(func() error { m.watchLoop(ctx, kind); return nil })
	}
	return group.Wait()
}

// ListPause returns how long a node of the given rank waits for updates before it
// lists.
func ListPause(bound time.Duration, rank, nodes int) time.Duration {
	interval := time.Duration(listIntervalShare*float64(bound)) + time.Duration(nodes)*pausePerNode
	if rank == 0 {
		return interval
	}
	return min(time.Duration(maxPauseShare*float64(bound)), time.Duration(float64(interval)*backupFactor)+time.Duration(rank-1)*pausePerRank)
}

// WatchPause returns how long a node waits after a watch has returned changes before
// it watches again. Changes that come meanwhile are returned together.
//
// It is designed for fleets in which dozens of endpoints change their entries each
// second: each watch is a call of the store and a message to each of the nodes.
func WatchPause(nodes int) time.Duration { return time.Duration(nodes) * pausePerNode }

// listLoop lists whenever no update has confirmed the copy for the pause of its rank. The
// pause is counted from when the store was read, not from when the update arrived. The
// node of rank 0 lists after each pause or confirmation, and a node without a list of its
// own does so too.
func (m *Mirror) listLoop(ctx context.Context) {
	failures, lists := 0, 0
	for ctx.Err() == nil {
		if m.listKinds(ctx, true) {
			failures = 0
			lists++
		} else {
			failures++
		}
		for ctx.Err() == nil {
			rank, nodes := m.fleet.Rank()
			pause := max(0, ListPause(m.bound, rank, nodes)-m.unconfirmedFor())
			if failures > 0 {
				pause = min(maxRetryPause, retryPause<<min(failures, 4))
			}
			step := pause
			if failures == 0 && lists == 1 {
				step = min(pause, startInterval)
			}
			timer := time.NewTimer(step)
			gotUpdate := false
			select {
			case <-ctx.Done():
			case <-m.confirmed:
				gotUpdate, failures = true, 0
			case <-m.gapped:
				gotUpdate = true
				m.fillGap(ctx)
			case <-m.wanted:
				gotUpdate = true
				m.listKinds(ctx, false)
			case <-timer.C:
				if step < pause {
					continue
				}
			}
			timer.Stop()
			// Updates hold only changes: without a list of its own a node would lack all
			// objects that don't change after its start.
			if !gotUpdate || rank == 0 || lists == 0 {
				break
			}
		}
	}
}

// unconfirmedFor returns how long ago the copy of the kinds that are not rare was last
// confirmed or listed.
func (m *Mirror) unconfirmedFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock() - m.confirmedUpTo()
}

// confirmedUpTo returns the boot time at which the least current copy of the kinds that
// are not rare was confirmed or listed. The caller holds the lock.
func (m *Mirror) confirmedUpTo() time.Duration {
	return m.earliest(func(c *kindCopy) time.Duration { return max(c.confirmedAt, c.listedAt) })
}

// earliest returns the earliest of the times of the kinds that are not rare. The caller
// holds the lock.
func (m *Mirror) earliest(at func(*kindCopy) time.Duration) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, c := range m.kinds {
		if !c.kind.Rare {
			earliest = min(earliest, at(c))
		}
	}
	return earliest
}

// confirm records that the copy of a kind holds all changes made before a boot time. The
// caller holds the lock.
func (m *Mirror) confirm(c *kindCopy, at time.Duration) {
	if at <= c.confirmedAt {
		return
	}
	if at-c.confirmedAt > m.bound {
		m.steadySince = at
	}
	c.confirmedAt = at
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// Confirm returns once the copies of the kinds that are not rare hold all changes that were
// made before the call, for which it lists. It returns how long they had been current
// before, without a gap longer than the bound.
func (m *Mirror) Confirm(ctx context.Context) (time.Duration, error) {
	called := m.clock()
	for {
		m.mu.Lock()
		steady, advanced := called-m.steadySince, m.advanced
		confirmed := m.earliest(func(c *kindCopy) time.Duration { return c.confirmedAt }) >= called
		m.mu.Unlock()
		if confirmed {
			return max(0, steady), nil
		}
		signal(m.wanted)
		select {
		case <-advanced:
		case <-ctx.Done():
			return 0, fmt.Errorf("confirming the copies of the store: %w", ctx.Err())
		}
	}
}

// fillGap lists for this node alone, unless the missing update arrives meanwhile.
func (m *Mirror) fillGap(ctx context.Context) {
	if waits.For(ctx, gapGrace) != nil {
		return
	}
	m.mu.Lock()
	var missing []string
	for _, kind := range m.kindOrder {
		if m.kinds[kind].aheadTo > 0 {
			missing = append(missing, kind)
		}
	}
	m.mu.Unlock()
	if len(missing) == 0 {
		return
	}
	event.UpdateMissed.Log(m.logger, zap.Strings("kinds", missing))
	m.listKinds(ctx, false)
}

// listKinds lists all kinds that are due, applies the changes and, if wanted, sends
// them to the peers. It reports whether all lists succeeded. The first lists may be
// out of date: the first update tells whether something is missing, and the peers get
// nothing of them.
func (m *Mirror) listKinds(ctx context.Context, broadcast bool) bool {
	unavailable := m.unavailable()
	first := false
	updates := make([]Update, 0, len(m.kindOrder))
	m.listCount++
	for _, kind := range m.kindOrder {
		due, freshness := m.listDue(kind)
		if !due {
			continue
		}
		listedAt := m.clock()
		first = first || freshness == object.Stale
		entries, revision, err := m.store.List(ctx, kind, freshness)
		if err != nil {
			if ctx.Err() == nil {
				event.WatchFailed.Log(m.logger, zap.String("kind", kind), zap.Error(err))
				m.recordFailure()
			}
			return false
		}
		update := m.applyList(kind, entries, revision, unavailable)
		if freshness == object.Fresh {
			update.ReadAt = listedAt
		}
		m.recordList(kind, listedAt, freshness)
		updates = append(updates, update)
	}
	if broadcast && !first {
		m.fleet.Broadcast(updates)
	}
	return true
}

// listDue reports whether a kind is to be listed in this round, and how fresh the list
// must be.
func (m *Mirror) listDue(kind string) (bool, object.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	if !c.listed {
		return true, object.Stale
	}
	return !c.kind.Rare || c.aheadTo > 0 || m.listCount%rareListStride == 0, object.Fresh
}

func (m *Mirror) unavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.freshAt.IsZero() && time.Since(m.freshAt) > unavailableAfter
}

// recordFailure records that a list or a watch has failed.
func (m *Mirror) recordFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = true
}

// endFailure records that a watch has succeeded, and reports whether the store was
// unavailable before: calls had failed, and the copy is older than a list allows. Without a
// failed call it may be that old in a large fleet.
func (m *Mirror) endFailure() bool {
	unavailable := m.unavailable()
	m.mu.Lock()
	defer m.mu.Unlock()
	unavailable = unavailable && m.failing
	m.failing = false
	return unavailable
}

// applyList applies the differences between a list and the copy, and returns them as
// an update.
func (m *Mirror) applyList(kind string, entries []object.Entry, upTo uint64, unavailable bool) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	var changes []object.Change
	seen := make(map[string]bool, len(entries))
	newest, torn := uint64(0), false
	for _, entry := range entries {
		seen[entry.Name] = true
		if c.listed && entry.Revision > upTo {
			// It changed between two pages of the list. The watch or the next list brings it
			// with all others that did.
			torn = true
			continue
		}
		newest = max(newest, entry.Revision)
		changes = append(changes, object.Change{Entry: entry})
	}
	names := digest(maps.Keys(seen))
	if torn {
		names = 0
	}
	for name, revision := range c.revisions {
		if !seen[name] && revision <= upTo {
			changes = append(changes, object.Change{Entry: object.Entry{Name: name, Revision: upTo}, Removed: true})
		}
	}
	m.freshAt, m.failing = time.Now(), false
	previous := c.changedAt
	applied := c.apply(changes, unavailable)
	if c.listed {
		c.complete(upTo)
	} else {
		// The list may be older than its revision says. An empty one shows nothing to
		// go by.
		if newest == 0 {
			newest = upTo
		}
		c.complete(min(newest, upTo))
		c.changedAt = max(c.changedAt, upTo)
		c.listed = true
	}
	return Update{
		Kind: kind, Revision: upTo, Previous: previous, Unavailable: unavailable, Names: names, Changes: applied,
	}
}

// digest returns a digest of a set of names.
func digest(names iter.Seq[string]) uint64 {
	sum := uint64(0)
	for name := range names {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}

// complete records that the copy is complete up to a revision.
func (c *kindCopy) complete(upTo uint64) {
	c.revision = max(c.revision, upTo)
	if c.revision >= c.aheadFrom {
		c.revision = max(c.revision, c.aheadTo)
		c.aheadFrom, c.aheadTo = 0, 0
	}
}

// receive records an update that follows a change which may be missing here. It
// reports whether something is missing.
func (c *kindCopy) receive(update Update) bool {
	missingUpTo := update.Previous
	if missingUpTo <= c.revision {
		comparable := c.listed && c.revision <= update.Revision && update.Names != 0
		if !comparable || update.Names == digest(maps.Keys(c.revisions)) {
			c.complete(update.Revision)
			return false
		}
		missingUpTo = update.Revision
	}
	if c.aheadTo == 0 || missingUpTo > c.aheadTo {
		c.aheadFrom = missingUpTo
	}
	c.aheadTo = max(c.aheadTo, update.Revision)
	return true
}

// Listed reports whether the copy of a kind has been complete once. Before that it
// may lack objects that have not changed since this node started.
func (m *Mirror) Listed(kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	return c != nil && c.listed
}

// recordList records that a list of a kind that began at a boot time is in the copy. A
// fresh list confirms the copy.
func (m *Mirror) recordList(kind string, at time.Duration, freshness object.Freshness) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	c.listedAt = max(c.listedAt, at)
	if freshness == object.Fresh {
		m.confirm(c, at)
	}
}

// Age returns for how long the copy of a kind may lack changes: since the last fresh list
// began whose result is in the copy, by this node's own call or by an update with nothing
// missing. It counts time in which the system was suspended.
func (m *Mirror) Age(kind string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	if c == nil || c.confirmedAt == 0 {
		return math.MaxInt64
	}
	return max(0, m.clock()-c.confirmedAt)
}

// unknown returns the changes that may be missing in the copy. An object that changed
// before the revision up to which the copy is complete, and is not in it, has been
// removed since.
func (c *kindCopy) unknown(changes []object.Change) []object.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(change object.Change) bool {
		return c.listed && change.Entry.Revision <= c.revision
	})
}

// apply applies the changes that are newer than the copy, and returns them.
func (c *kindCopy) apply(changes []object.Change, unavailable bool) []object.Change {
	var applied []object.Change
	for _, change := range changes {
		name, revision := change.Entry.Name, change.Entry.Revision
		current, exists := c.revisions[name]
		switch {
		case change.Removed && exists && revision >= current:
			delete(c.revisions, name)
			c.removals[name] = revision
		case change.Removed && !exists && revision > c.removals[name]:
			// A peer may hold the object.
			c.removals[name] = revision
			applied = append(applied, change)
			c.changedAt = max(c.changedAt, revision)
			continue
		case !change.Removed && revision > current && revision > c.removals[name]:
			c.revisions[name] = revision
		default:
			continue
		}
		if limit := c.kind.MaxBytes; limit > 0 && len(change.Entry.Spec) > limit {
			change.Entry.Spec = nil
		}
		c.kind.Apply(change, unavailable)
		applied = append(applied, change)
		c.changedAt = max(c.changedAt, revision)
	}
	return applied
}

// Apply applies the changes that another node sent. The updates may have been on their way
// for any time: when they arrive tells nothing of how current they are.
func (m *Mirror) Apply(updates []Update) {
	m.mu.Lock()
	missing, upTo := false, m.confirmedUpTo()
	for _, update := range updates {
		c := m.kinds[update.Kind]
		if c == nil {
			continue
		}
		c.apply(c.unknown(update.Changes), update.Unavailable)
		known := c.revision
		incomplete := c.receive(update)
		missing = incomplete && c.listed || missing
		if update.Revision >= known {
			m.freshAt = time.Now()
		} else if update.Names != 0 {
			event.UpdateOutdated.Log(m.logger, zap.String("kind", update.Kind), zap.Uint64("revision", update.Revision),
				zap.Uint64("copy_revision", known))
		}
		// A future time was stated before this node's system started again.
		if !incomplete && c.listed && update.ReadAt <= m.clock() {
			m.confirm(c, update.ReadAt)
		}
	}
	confirmed := m.confirmedUpTo() > upTo
	m.mu.Unlock()
	if confirmed {
		signal(m.confirmed)
	}
	if missing {
		signal(m.gapped)
	}
}

// signal wakes the receiver of a channel that holds one signal.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// watchLoop watches a kind while this node has rank 0.
func (m *Mirror) watchLoop(ctx context.Context, kind string) {
	revision := uint64(0)
	for ctx.Err() == nil {
		if rank, nodes := m.fleet.Rank(); rank > 0 {
			revision = 0
			_ = waits.For(ctx, ListPause(m.bound, 0, nodes))
			continue
		}
		if revision == 0 {
			m.mu.Lock()
			revision = m.kinds[kind].revision
			m.mu.Unlock()
			if revision == 0 {
				_ = waits.For(ctx, retryPause)
				continue
			}
		}
		changes, next, err := m.store.Watch(ctx, kind, revision, watchWait)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, object.ErrHistoryGone) {
				event.WatchFailed.Log(m.logger, zap.String("kind", kind), zap.Uint64("revision", revision), zap.Error(err))
				m.recordFailure()
			}
			revision = 0
			_ = waits.For(ctx, retryPause)
			continue
		}
		revision = next
		if update := m.applyWatch(kind, changes, next, m.endFailure()); len(update.Changes) > 0 {
			m.fleet.Broadcast([]Update{update})
			_, nodes := m.fleet.Rank()
			_ = waits.For(ctx, WatchPause(nodes))
		}
	}
}

// applyWatch applies the changes that a watch has returned, and returns them as an
// update. The watch continues from next. Unavailable reports that the store did not answer
// before.
func (m *Mirror) applyWatch(kind string, changes []object.Change, next uint64, unavailable bool) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	previous := c.changedAt
	applied := c.apply(changes, unavailable)
	c.complete(next)
	return Update{Kind: kind, Revision: next, Previous: previous, Unavailable: unavailable, Changes: applied}
}
