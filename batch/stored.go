package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
)

const (
	// partShare is the share of an object that a part of a body takes, since
	// JSON writes bytes in base64.
	partShare = 0.7
	// cacheBatches is how many batches that others keep are held in memory.
	cacheBatches = 4
)

type (
	// cache holds what was read of batches that other nodes keep.
	cache struct {
		batches map[string]*stored
		order   []string
	}

	// stored is what was read of one batch. Chunks never change.
	stored struct {
		results []Result
		chunks  int
		items   []Item
	}
)

func newCache() *cache { return &cache{batches: make(map[string]*stored)} }

func (c *cache) get(id string) *stored {
	if s := c.batches[id]; s != nil {
		return s
	}
	if len(c.order) >= cacheBatches {
		delete(c.batches, c.order[0])
		c.order = c.order[1:]
	}
	s := &stored{}
	c.batches[id] = s
	c.order = append(c.order, id)
	return s
}

func chunkName(id string, n int) string { return fmt.Sprintf("%s.%04d", id, n) }

func decodeHead(record object.Entry) (Head, error) {
	var head Head
	if err := json.Unmarshal(record.Spec, &head); err != nil {
		return Head{}, fmt.Errorf("decoding the head of batch %s: %w", record.Name, err)
	}
	if head.ID == "" {
		return Head{}, fmt.Errorf("the head of batch %s names no batch", record.Name)
	}
	return head, nil
}

// storeBody writes the submission as it came, in parts that fit the store.
func (k *Keeper) storeBody(ctx context.Context, s Submission) (parts int, err error) {
	most := int(float64(k.parts.ValueBytes) * partShare)
	for start := 0; start < len(s.Raw) || parts == 0; start += most {
		spec, err := json.Marshal(bodyPart{Raw: s.Raw[start:min(len(s.Raw), start+most)]})
		if err != nil {
			return 0, fmt.Errorf("encoding a body: %w", err)
		}
		if err := k.create(ctx, kindBodies, chunkName(s.ID, parts), spec); err != nil {
			return 0, err
		}
		parts++
	}
	return parts, nil
}

// create makes an object that may exist already: the same content was sent
// before.
func (k *Keeper) create(ctx context.Context, kind, name string, spec []byte) error {
	_, err := object.CreateSure(ctx, k.parts.Store, kind, name, spec)
	var exists *object.ExistsError
	if errors.As(err, &exists) {
		return nil
	}
	return err
}

// submission reads a batch's body back.
func (k *Keeper) submission(ctx context.Context, head Head) (Submission, error) {
	var raw []byte
	for n := range head.Parts {
		record, err := object.GetLasting(ctx, k.parts.Store, kindBodies, chunkName(head.ID, n))
		if err != nil {
			return Submission{}, fmt.Errorf("reading the body of batch %s: %w", head.ID, err)
		}
		var part bodyPart
		if err := json.Unmarshal(record.Spec, &part); err != nil {
			return Submission{}, fmt.Errorf("decoding the body of batch %s: %w", head.ID, err)
		}
		raw = append(raw, part.Raw...)
	}
	return k.parts.Decode(head.ID, head.Host, head.Path, raw)
}

// chunkAt reads one chunk; ErrNotFound says that it isn't there yet.
func (k *Keeper) chunkAt(ctx context.Context, id string, n int) (chunk, error) {
	record, err := object.GetLasting(ctx, k.parts.Store, kindChunks, chunkName(id, n))
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

// load reads all that lasts of a batch.
func (k *Keeper) load(ctx context.Context, head Head) (j *job, ended bool, err error) {
	_, err = object.GetLasting(ctx, k.parts.Store, kindEnds, head.ID)
	if err == nil {
		return nil, true, nil
	}
	if !errors.Is(err, object.ErrNotFound) {
		return nil, false, err
	}
	s, err := k.submission(ctx, head)
	if err != nil {
		return nil, false, err
	}
	j = k.newJob(head, s)
	for {
		c, err := k.chunkAt(ctx, head.ID, j.book.Chunks())
		if errors.Is(err, object.ErrNotFound) {
			k.loadBegun(ctx, head.ID)
			return j, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		j.book.Commit(c.Results)
	}
}

// readStored reads results of a batch that no reachable node keeps.
func (k *Keeper) readStored(ctx context.Context, head Head, after int) (Page, error) {
	k.mu.Lock()
	s := *k.cache.get(head.ID)
	k.mu.Unlock()
	for len(s.results) <= after {
		c, err := k.chunkAt(ctx, head.ID, s.chunks)
		if errors.Is(err, object.ErrNotFound) {
			break
		}
		if err != nil {
			return Page{}, fmt.Errorf("%w: %w", ErrUnsure, err)
		}
		s.results = append(s.results[:len(s.results):len(s.results)], c.Results...)
		s.chunks++
	}
	k.mu.Lock()
	if kept := k.cache.get(head.ID); kept.chunks < s.chunks {
		kept.results, kept.chunks = s.results, s.chunks
	}
	k.mu.Unlock()
	book := Book{lasting: s.results}
	page := book.Page(after, pageBytes)
	page.Total = head.Items
	return page, nil
}

func (k *Keeper) routeOf(head Head) routes.Route {
	if table := k.parts.Routes(); table != nil {
		if route, ok := table.Match(head.Host, head.Path); ok {
			return route
		}
	}
	return routes.Route{}
}
