package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

const (
	// partCopies is how many copies of a part of a body there are while it is read: the reply, the
	// object in it, and the part.
	partCopies = 3
	// partAttempts is how often a part is read before the load of its batch ends, so that a call that
	// fails does not cost the parts before it. partRetryDelay is the pause between two attempts.
	partAttempts   = 4
	partRetryDelay = 250 * time.Millisecond
	// sharedLoadTimeout limits a load that serves several readers.
	sharedLoadTimeout = 20 * time.Second
)

// errBodyNotLoaded reports that an item was not sent since its body could not be read.
var errBodyNotLoaded = errors.New("the item's body could not be read from the store")

type (
	// section is a fixed amount of memory for one use, for which its users queue.
	section struct {
		memory   *semaphore.Weighted
		capacity int64
		// large admits one user at a time that needs more than the capacity, in all sections that
		// share it. It is nil for sections that such a user needs besides.
		large *semaphore.Weighted
	}

	// load is a submission that is being read from the store. The keeper's lock guards bytes.
	load struct {
		keeper *Keeper
		head   Head
		ctx    context.Context
		// next is the number of the next part, rest what is left of the last one.
		next int
		rest []byte
		// partBytes is the size of all parts but the last one.
		partBytes int
		// allBodies reports that bodies of other open batches give way.
		allBodies bool
		// bytes is about how much memory the items and the results take so far, and resultBytes
		// that of the results.
		bytes, resultBytes int64
	}
)

// newSection returns a section of the given size, without a limit if that is 0.
func newSection(capacity int64, large *semaphore.Weighted) *section {
	return &section{memory: semaphore.NewWeighted(max(1, capacity)), capacity: capacity, large: large}
}

// acquire waits for memory and returns a function that releases it. A user that needs more than the
// capacity waits until it is the only one.
func (s *section) acquire(ctx context.Context, bytes int64) (release func(), err error) {
	if s.capacity <= 0 || bytes <= 0 {
		return func() {}, nil
	}
	large := bytes > s.capacity && s.large != nil
	if large {
		if err := s.large.Acquire(ctx, 1); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoMemory, err)
		}
	}
	bytes = min(bytes, s.capacity)
	if err := s.memory.Acquire(ctx, bytes); err != nil {
		if large {
			s.large.Release(1)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return sync.OnceFunc(func() {
		s.memory.Release(bytes)
		if large {
			s.large.Release(1)
		}
	}), nil
}

// partBytes returns how many bytes of a body a part has.
func (k *Keeper) partBytes() int { return int(float64(k.deps.ValueBytes) * bodyPartShare) }

// partMemory returns how much memory the read of an object takes.
func (k *Keeper) partMemory() int64 { return partCopies * int64(k.deps.ValueBytes) }

// readPart reads a part of a batch's stored body.
func (k *Keeper) readPart(ctx context.Context, id string, n int) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		record, err := object.GetImmutable(ctx, k.deps.Store, kindBodies, numberedName(id, n))
		if errors.Is(err, object.ErrUnavailable) && attempt < partAttempts && waits.For(ctx, partRetryDelay) == nil {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("reading the body of batch %s: %w", id, err)
		}
		var part bodyPart
		if err := json.Unmarshal(record.Spec, &part); err != nil {
			return nil, fmt.Errorf("decoding the body of batch %s: %w", id, err)
		}
		return part.Raw, nil
	}
}

// Read reads the body as it was submitted.
func (l *load) Read(p []byte) (int, error) {
	for len(l.rest) == 0 {
		if l.next >= l.head.BodyParts {
			return 0, io.EOF
		}
		part, err := l.keeper.readPart(l.ctx, l.head.ID, l.next)
		if err != nil {
			return 0, err
		}
		if l.next == 0 {
			l.partBytes = len(part)
		}
		l.rest = part
		l.next++
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// add counts an item of the submission. Its bodies are dropped unless there is room for them beside
// everything else.
func (l *load) add(it *Item) error {
	k := l.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	index, bodies := it.IndexBytes(), it.bodyBytes()
	if !k.makeRoom(l.head.ID, index, l.allBodies) {
		return ErrNoMemory
	}
	l.bytes += index
	if all, _ := k.memoryOf(l.head.ID); k.deps.MemoryBytes > 0 && all.total()+bodies > k.deps.MemoryBytes {
		it.dropBodies()
		return nil
	}
	l.bytes += bodies
	return nil
}

// beginLoad returns a load whose memory counts until endLoad. The caller ends it in the same critical
// section in which it stores what was loaded, so that nothing counts twice or not at all.
func (k *Keeper) beginLoad(ctx context.Context, head Head, allBodies bool) *load {
	l := &load{keeper: k, head: head, ctx: ctx, allBodies: allBodies, partBytes: k.partBytes()}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading[l] = struct{}{}
	return l
}

// endLoad ends a load. The caller holds the lock.
func (k *Keeper) endLoad(l *load) { delete(k.loading, l) }

// submission reads and decodes a batch's stored body, part by part. Bodies of items for which there
// is no memory stay in the store.
func (l *load) submission() (Submission, error) {
	s, err := l.keeper.deps.DecodeFrom(l.head.ID, l.head.Host, l.head.Path, l, l.add)
	s.partBytes = l.partBytes
	return s, err
}

// index returns a batch's submission from the cache or the store. All that need it at the same time
// share a load. Bodies of some items may be in the store only.
func (k *Keeper) index(ctx context.Context, head Head) (*Submission, error) {
	k.mu.Lock()
	index := k.cache.get(head.ID).index
	k.mu.Unlock()
	if index != nil {
		return index, nil
	}
	return shareLoad(ctx, k, "index/"+head.ID, func(ctx context.Context) (*Submission, error) {
		release, err := k.loads.acquire(ctx, k.partMemory())
		if err != nil {
			return nil, err
		}
		defer release()
		l := k.beginLoad(ctx, head, false)
		s, err := l.submission()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.endLoad(l)
		if err != nil {
			return nil, err
		}
		cached := k.cache.get(head.ID)
		cached.index, cached.indexBytes = &s, l.bytes
		return &s, nil
	})
}

// loadItem reads an item whose bodies are in the store only. All that need it at the same time share
// a load.
func (k *Keeper) loadItem(ctx context.Context, batch string, it Item, partBytes int) (Item, error) {
	return shareLoad(ctx, k, "item/"+batch+"/"+it.ID, func(ctx context.Context) (Item, error) {
		release, err := k.loads.acquire(ctx, k.partMemory()+2*int64(it.RawBytes))
		if err != nil {
			return Item{}, err
		}
		defer release()
		raw := make([]byte, 0, it.RawBytes)
		for n := it.Offset / partBytes; len(raw) < it.RawBytes; n++ {
			part, err := k.readPart(ctx, batch, n)
			if err != nil {
				return Item{}, err
			}
			from, to := max(0, it.Offset-n*partBytes), min(len(part), it.Offset+it.RawBytes-n*partBytes)
			if from >= to {
				return Item{}, fmt.Errorf("the body of batch %s ends before item %s", batch, it.ID)
			}
			raw = append(raw, part[from:to]...)
		}
		found, err := k.deps.DecodeItem(raw)
		if err != nil {
			return Item{}, fmt.Errorf("decoding item %s of batch %s: %w", it.ID, batch, err)
		}
		if found.ID != it.ID {
			return Item{}, fmt.Errorf("the body of batch %s has item %s in place of %s", batch, found.ID, it.ID)
		}
		it.Body, it.Reward.Body, it.unloaded = found.Body, found.Reward.Body, false
		return it, nil
	})
}

// itemToSend returns an item with its bodies. The release function is called once it has been sent.
func (k *Keeper) itemToSend(ctx context.Context, j *job, i int) (it Item, release func(), err error) {
	k.mu.Lock()
	it = j.submission.Items[i]
	k.mu.Unlock()
	if !it.unloaded {
		return it, func() {}, nil
	}
	release, err = k.sends.acquire(ctx, int64(it.RawBytes))
	if err == nil {
		if it, err = k.loadItem(ctx, j.head.ID, it, j.submission.partBytes); err != nil {
			release()
		}
	}
	if err != nil {
		return Item{}, nil, fmt.Errorf("%w: %w", errBodyNotLoaded, err)
	}
	return it, release, nil
}

// shareLoad calls load once for all callers that need the same at the same time. A load that has
// begun goes on without them.
func shareLoad[T any](ctx context.Context, k *Keeper, key string, load func(ctx context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	begun := k.begin(func() {
		loaded, err, _ := k.shared.Do(key, func() (any, error) {
			ctx, cancel := context.WithTimeout(k.ctx, sharedLoadTimeout)
			defer cancel()
			return load(ctx)
		})
		value, _ := loaded.(T)
		results <- result{value: value, err: err}
	})
	var none T
	if !begun {
		return none, context.Canceled
	}
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case r := <-results:
		return r.value, r.err
	}
}
