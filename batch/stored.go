package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
)

// bodyPartShare is the share of an object's maximum size that a part of a body may take, since JSON
// encodes bytes in base64.
const bodyPartShare = 0.7

func numberedName(id string, n int) string { return fmt.Sprintf("%s.%04d", id, n) }

func decodeHead(record object.Entry) (Head, error) {
	var head Head
	if err := json.Unmarshal(record.Spec, &head); err != nil {
		return Head{}, fmt.Errorf("decoding the head of batch %s: %w", record.Name, err)
	}
	if head.ID == "" || head.ID != record.Name {
		return Head{}, fmt.Errorf("the head of batch %s names batch %q", record.Name, head.ID)
	}
	return head, nil
}

// storeBody writes the raw submission, split into parts that fit the store.
func (k *Keeper) storeBody(ctx context.Context, s Submission) (parts int, err error) {
	maxBytes := k.partBytes()
	for start := 0; start < len(s.Raw) || parts == 0; start += maxBytes {
		spec, err := json.Marshal(bodyPart{Raw: s.Raw[start:min(len(s.Raw), start+maxBytes)]})
		if err != nil {
			return 0, fmt.Errorf("encoding a body: %w", err)
		}
		if err := k.createIfAbsent(ctx, kindBodies, numberedName(s.ID, parts), spec); err != nil {
			return 0, err
		}
		parts++
	}
	return parts, nil
}

// createIfAbsent creates an object. One that exists already has the same
// content, written by an earlier submission.
func (k *Keeper) createIfAbsent(ctx context.Context, kind, name string, spec []byte) error {
	_, err := object.CreateConfirmed(ctx, k.deps.Store, kind, name, spec)
	var exists *object.ExistsError
	if errors.As(err, &exists) {
		return nil
	}
	return err
}

// readChunk reads one chunk. It returns object.ErrNotFound if the chunk does
// not exist yet.
func (k *Keeper) readChunk(ctx context.Context, id string, n int) (chunk, error) {
	record, err := object.GetImmutable(ctx, k.deps.Store, kindChunks, numberedName(id, n))
	if err != nil {
		return chunk{}, err
	}
	return decodeChunk(record)
}

func decodeChunk(record object.Entry) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(record.Spec, &c); err != nil {
		return chunk{}, fmt.Errorf("decoding chunk %s: %w", record.Name, err)
	}
	return c, nil
}

// loadJob builds a job from everything that is stored of a batch, as far as there is memory for it. Ended
// reports that the batch has ended; there is no job then. It also loads the checkpoint into the
// cache of partial output. The job's memory counts as that of the load until endLoad.
func (k *Keeper) loadJob(l *load) (j *job, ended bool, err error) {
	ctx, head := l.ctx, l.head
	askedAt := k.deps.Clock()
	_, err = object.GetImmutable(ctx, k.deps.Store, kindEnds, head.ID)
	if err == nil {
		return nil, true, nil
	}
	if !errors.Is(err, object.ErrNotFound) {
		return nil, false, err
	}
	if head.TeamUnknown && k.hasTeams() {
		if head.Team, err = k.storedTeam(ctx, head.ID); err != nil {
			return nil, false, err
		}
	}
	s, err := l.submission()
	if err != nil {
		return nil, false, err
	}
	j = k.newJob(head, s)
	j.permission.confirm(askedAt)
	for {
		c, err := k.readChunk(ctx, head.ID, j.results.Chunks())
		if errors.Is(err, object.ErrNotFound) {
			k.loadCheckpoint(ctx, head.ID)
			return j, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		j.results.Commit(c.Results)
		k.countResults(l, j)
	}
}

// countResults counts the results of a job that is being loaded. If there is no memory for their
// texts, these stay in the store.
func (k *Keeper) countResults(l *load, j *job) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.bytes -= l.resultBytes
	if l.resultBytes = 0; k.makeRoom(l.head.ID, j.results.Bytes(), false) {
		l.resultBytes = j.results.Bytes()
		l.bytes += l.resultBytes
		return
	}
	j.results.EvictTexts()
}

// readFromStore reads results of a batch that no reachable node owns, or whose owner does not have
// them in memory.
func (k *Keeper) readFromStore(ctx context.Context, head Head, after int) (Page, error) {
	for {
		k.mu.Lock()
		h := k.batches[head.ID]
		if h == nil {
			k.mu.Unlock()
			return Page{}, fmt.Errorf("%w: its results can't be read any more", ErrUndetermined)
		}
		k.learnEnds(h)
		results, n := k.cache.get(head.ID).resultsFrom(after, h.ends), h.ends.chunkOf(after)
		k.mu.Unlock()
		page := Page{Total: head.Items, Next: after}
		if len(results) > 0 {
			page.fill(results, maxPageBytes)
			return page, nil
		}
		c, err := shareLoad(ctx, k, fmt.Sprint("chunk/", head.ID, "/", n), func(ctx context.Context) (chunk, error) {
			release, err := k.loads.acquire(ctx, k.partMemory())
			if err != nil {
				return chunk{}, err
			}
			defer release()
			return k.readChunk(ctx, head.ID, n)
		})
		if errors.Is(err, object.ErrNotFound) {
			return page, nil
		}
		if err != nil {
			return Page{}, fmt.Errorf("%w: %w", ErrUndetermined, err)
		}
		if results := k.cacheChunk(h, n, after, c.Results); len(results) > 0 {
			page.fill(results, maxPageBytes)
			return page, nil
		}
	}
}

// cacheChunk caches the results of a chunk if there is room for them, and returns those from a position on.
func (k *Keeper) cacheChunk(h *knownBatch, n, after int, results []Result) []Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.ends.learn(n, len(results))
	if k.makeRoom(h.head.ID, resultsBytes(results), false) {
		k.cache.get(h.head.ID).put(n, results)
	}
	first := h.ends.start(n)
	if after < first || after >= first+len(results) {
		return nil
	}
	return results[after-first:]
}

// learnEnds records where the chunks end that this node has written as the keeper. The caller holds the
// lock.
func (k *Keeper) learnEnds(h *knownBatch) {
	if j := k.jobs[h.head.ID]; j != nil && len(j.results.ends) > len(h.ends) {
		h.ends = slices.Clone(j.results.ends)
	}
}

func (k *Keeper) routeOf(head Head) routes.Route {
	if table := k.deps.Routes(); table != nil {
		if route, ok := table.Match(head.Host, head.Path); ok {
			return route
		}
	}
	return routes.Route{}
}
