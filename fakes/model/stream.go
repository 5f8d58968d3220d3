package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/stand"
)

type (
	// CacheEvent tells that a prompt's prefix was stored or evicted.
	CacheEvent struct {
		// Seq counts events; a missing number is a gap.
		Seq int `json:"seq"`
		// Prefix is the hash of the prompt.
		Prefix string `json:"prefix"`
		// Stored is false for an eviction.
		Stored bool `json:"stored"`
	}

	// madeToken is one token and the version that made it.
	madeToken struct {
		text    string
		version uint64
	}

	// stream is one answer being made.
	stream struct {
		request engine.Request
		length  int
		slow    int
		debt    int
		ready   time.Time

		mu       sync.Mutex
		made     []madeToken
		every    int
		count    int
		done     bool
		failed   bool
		changed  chan struct{}
		attached time.Time
		readers  int
	}
)

func newStream(request engine.Request, options Options) *stream {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d", request.Prompt, request.Seed))
	s := &stream{
		request:  request,
		length:   request.MaxTokens,
		count:    len(request.Generated),
		slow:     1,
		changed:  make(chan struct{}),
		attached: time.Now(),
		every:    max(1, options.Chunk),
	}
	if !options.FixedLength && request.MaxTokens > 1 {
		s.length = request.MaxTokens/2 + int(h%uint64(request.MaxTokens/2+1))
	}
	attempt := xxhash.Sum64String(request.Stream)
	if int(attempt%100) < options.StragglerPercent {
		s.slow = stragglerFactor
	}
	return s
}

// maxTokenKey is what a token's text or its key beside the prompt takes at most,
// in bytes.
const maxTokenKey = 64

// Token returns the token that a weight version makes at an index.
func Token(prompt string, seed uint64, index int, version uint64) string {
	key := make([]byte, 0, len(prompt)+maxTokenKey)
	key = append(append(key, prompt...), '|')
	key = append(strconv.AppendUint(key, seed, 10), '|')
	key = append(strconv.AppendInt(key, int64(index), 10), '|')
	key = strconv.AppendUint(key, version, 10)
	h := xxhash.Sum64(key)
	text := make([]byte, 0, maxTokenKey)
	for shift := 12; shift >= 0; shift -= 4 {
		text = append(text, "0123456789abcdef"[h>>shift&0xf])
	}
	text = strconv.AppendUint(append(text, '.'), version, 10)
	return string(append(text, ' '))
}

func (s *stream) add(token string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made = append(s.made, madeToken{text: token, version: version})
	s.count++
	s.done = s.count >= s.length
	// Followers take whole chunks, so that waking them for less is in vain.
	if s.done || len(s.made)%s.every == 0 {
		s.signal()
	}
}

func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	s.signal()
}

func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) attach(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += by
	s.attached = time.Now()
}

func (s *stream) orphaned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.attached) > orphanLife
}

// from returns what was made from the index on, joined by version.
func (s *stream) from(index int) (chunks []engine.Chunk, done, failed bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := len(s.request.Generated)
	start := min(max(0, index-base), len(s.made))
	for i, made := range s.made[start:] {
		last := len(chunks) - 1
		if last >= 0 && chunks[last].Version == made.version {
			chunks[last].Tokens = append(chunks[last].Tokens, made.text)
			continue
		}
		chunks = append(chunks, engine.Chunk{First: base + start + i, Tokens: []string{made.text}, Version: made.version})
	}
	return chunks, s.done, s.failed, s.changed
}

// start lets a request in, whatever the load.
func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if err := stand.Read(r, &request); err != nil || request.MaxTokens < 1 || request.Stream == "" {
		http.Error(w, "want stream, prompt and max_tokens", http.StatusBadRequest)
		return
	}
	s := newStream(request, e.options)
	e.mu.Lock()
	if e.streams[request.Stream] != nil {
		e.mu.Unlock()
		http.Error(w, "the stream id is taken", http.StatusConflict)
		return
	}
	e.lastStart = time.Now()
	e.streams[request.Stream] = s
	e.records[request.Stream] = &Record{}
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	if strings.Contains(request.Prompt, CrashMark) {
		e.tasks.Go(e.Crash)
	}
	e.nudge()
	e.follow(w, r, s, len(request.Generated))
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || err != nil {
		http.NotFound(w, r)
		return
	}
	e.follow(w, r, s, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.drop(r.PathValue("id"), s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// drop forgets a stream; the caller holds the engine's lock.
func (e *Engine) drop(id string, s *stream) {
	delete(e.streams, id)
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	s.fail()
}

// follow writes a stream to one connection.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	s.attach(1)
	defer s.attach(-1)
	e.mu.Lock()
	epoch := e.hushed
	e.mu.Unlock()
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	encoder := json.NewEncoder(w)
	for {
		chunks, done, failed, changed := s.from(from)
		if failed {
			panic(http.ErrAbortHandler)
		}
		if !done && tokensIn(chunks) < e.options.Chunk {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		e.waitIfHushed(r, epoch)
		for i, chunk := range chunks {
			chunk.Done = done && i == len(chunks)-1
			if encoder.Encode(chunk) != nil {
				return
			}
			from += len(chunk.Tokens)
		}
		if done && len(chunks) == 0 {
			_ = encoder.Encode(engine.Chunk{First: from, Done: true})
		}
		flusher.Flush()
		if done {
			return
		}
	}
}

// waitIfHushed holds a connection that was open when the engine went silent.
func (e *Engine) waitIfHushed(r *http.Request, epoch int) {
	e.mu.Lock()
	silent := e.hushed > epoch
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func tokensIn(chunks []engine.Chunk) int {
	n := 0
	for _, c := range chunks {
		n += len(c.Tokens)
	}
	return n
}

func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// decode is the batch loop: one token for each running stream a step.
func (e *Engine) decode() {
	for {
		pause, busy := e.decodeStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-e.stop:
			timer.Stop()
			return
		}
	}
}

func (e *Engine) decodeStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.dropOrphans()
	now := time.Now()
	var left []*stream
	for _, s := range e.running {
		if now.Before(s.ready) || e.owesTime(s) {
			left = append(left, s)
			continue
		}
		token := Token(s.request.Prompt, s.request.Seed, s.count, e.version)
		e.note(s, token)
		s.add(token, e.version)
		if s.done {
			e.records[s.request.Stream].Done = true
			continue
		}
		left = append(left, s)
	}
	e.running = left
	slow := max(1, e.faults.Slow)
	pause := time.Duration(float64(e.options.Token) * slow * (1 + batchCost*float64(len(e.running))))
	return pause, len(e.running)+len(e.waiting) > 0
}

// owesTime makes stragglers miss most steps.
func (e *Engine) owesTime(s *stream) bool {
	s.debt++
	return s.debt%s.slow != 0
}

// note keeps the engine's own account.
func (e *Engine) note(s *stream, token string) {
	record := e.records[s.request.Stream]
	n := len(record.Ranges)
	if n > 0 && record.Ranges[n-1].Version == e.version {
		record.Ranges[n-1].Tokens = append(record.Ranges[n-1].Tokens, token)
		return
	}
	record.Ranges = append(record.Ranges, engine.Chunk{First: s.count, Tokens: []string{token}, Version: e.version})
}

// admit fills the batch; a prompt whose prefix is not cached is prefilled first.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.ready = time.Now()
		if !e.touchCache(s.request.Prompt) {
			s.ready = s.ready.Add(time.Duration(len(s.request.Prompt)) * prefillPerByte)
		}
		e.running = append(e.running, s)
	}
}

func (e *Engine) dropOrphans() {
	for id, s := range e.streams {
		if s.orphaned() {
			e.drop(id, s)
		}
	}
}

// touchCache reports whether the prompt is cached, and caches it.
func (e *Engine) touchCache(prompt string) bool {
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	if at := slices.Index(e.cache, prefix); at >= 0 {
		e.cache = append(slices.Delete(e.cache, at, at+1), prefix)
		e.cacheHits++
		return true
	}
	if len(e.cache) >= e.options.CachedPrefixes {
		e.addEvent(CacheEvent{Prefix: e.cache[0]})
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	e.addEvent(CacheEvent{Prefix: prefix, Stored: true})
	return false
}

// addEvent keeps an event; now and then one is lost, which leaves a gap.
func (e *Engine) addEvent(event CacheEvent) {
	e.eventSeq++
	event.Seq = e.eventSeq
	if e.eventSeq%eventGapEvery != 0 {
		e.events = append(e.events, event)
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	for _, event := range e.events {
		if event.Seq > after {
			events = append(events, event)
		}
	}
	stand.Reply(w, http.StatusOK, events)
}

// TrueVersions returns the weight version that made each token of a text, read
// from the tokens themselves.
func TrueVersions(text string) []uint64 {
	var versions []uint64
	for _, token := range strings.Fields(text) {
		_, version, _ := strings.Cut(token, ".")
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil
		}
		versions = append(versions, n)
	}
	return versions
}
